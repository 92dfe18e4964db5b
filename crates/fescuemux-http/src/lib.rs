//! Reader of HTTP/1.1 responses.
//!
//! Servers in trouble send malformed and truncated responses. [`ResponseDecoder`] never reports the
//! end of a response unless the response told its end or, without a length, its stream was seen to
//! end cleanly. What the decoder cannot understand is an error; nothing is skipped or repaired.
//!
//! The decoder does no input or output. [`CheckedStream`] applies it to the connections of an HTTP
//! library, and [`blocking`] is a client for calls from threads.
//!
//! [`DiscardRest`] serves the other side: it keeps a response from being lost when it comes before
//! the whole request.
//!
//! Must not know what requests mean.

pub mod blocking;
mod body;
mod checked_stream;
mod decoder;
mod discard_rest;
mod error;
mod head;
mod request;

pub use body::{StreamEnd, is_unclean_end};
pub use checked_stream::{CheckedStream, ExchangeHandle};
pub use decoder::{Decoded, Part, RequestMethod, ResponseDecoder};
pub use discard_rest::DiscardRest;
pub use error::ResponseError;
pub use head::{Framing, ResponseHead};
pub use request::RequestHead;
