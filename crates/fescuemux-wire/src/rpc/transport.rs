//! Authenticated transport for `tarpc`.

use crate::auth::{HandshakeError, KeyRing, MacCodec, accept, connect};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::{self, Transport};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame. A chunk of configuration is at most 1 MB, the largest value of the store.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Transport of one connection.
pub type RpcTransport<S, Item, SinkItem> = Transport<S, Item, SinkItem, MacCodec<Item, SinkItem>>;

/// Opens the calling side of a connection.
///
/// # Errors
///
/// Returns an error when the peer does not prove that it holds a shared key.
pub async fn connect_transport<S, Item, SinkItem>(
    mut stream: S,
    keys: &KeyRing,
) -> Result<RpcTransport<S, Item, SinkItem>, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let session = connect(&mut stream, keys).await?;
    Ok(serde_transport::new(framed(stream), MacCodec::new(session)))
}

/// Opens the called side of a connection.
///
/// # Errors
///
/// Returns an error when the peer does not prove that it holds a shared key.
pub async fn accept_transport<S, Item, SinkItem>(
    mut stream: S,
    keys: &KeyRing,
) -> Result<RpcTransport<S, Item, SinkItem>, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let session = accept(&mut stream, keys).await?;
    Ok(serde_transport::new(framed(stream), MacCodec::new(session)))
}

fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}
