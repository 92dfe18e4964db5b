//! HTTP/1.1 client over one connection, for backend servers and the store.
//!
//! A library client takes the first answer on a connection for the answer to the last request.
//! Faulty servers send extra, late and broken answers, so the reader here hands out each head
//! and the caller decides whose it is.
//!
//! Must not know what requests mean.

mod body;
mod connection;
mod error;
mod head;

pub use body::{BodyReader, Framing};
pub use connection::{Connection, ResponseReader};
pub use error::H1Error;
pub use head::{RequestHead, ResponseHead};
