//! HTTP/1.1 client over one connection, for backend servers and the store.
//!
//! HTTP libraries take the first response on a connection for the response to the last request.
//! Faulty servers send extra and late responses, so this module returns each response head, and the
//! code that uses it decides to which request the response belongs. [`fescuemux_http`] decodes the
//! responses.
//!
//! Must not know what requests mean.

mod connection;

pub use connection::{Connection, RequestWriter, ResponseReader};
pub use fescuemux_http::{
    Framing, RequestHead, RequestMethod, ResponseDecoder, ResponseError, ResponseHead,
};
