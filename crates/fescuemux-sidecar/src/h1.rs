//! HTTP/1.1 client over one connection, for backend servers and the store.
//!
//! HTTP libraries take the first response on a connection for the response to the last request.
//! Faulty servers send extra, late and malformed responses, so this module returns each response
//! head, and the code that uses it decides to which request the response belongs.
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
