//! Authenticated transport for `tarpc`.

use crate::auth::{HandshakeError, KeyRing, MacCodec, accept, connect};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::{self, Transport};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum frame size in bytes. Configuration chunks have at most 1 MB, the maximum value size of
/// the store.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Authenticated transport of one connection.
pub type RpcTransport<S, Item, SinkItem> = Transport<S, Item, SinkItem, MacCodec<Item, SinkItem>>;

/// Opens a connection as the client.
///
/// # Errors
///
/// Returns an error if the connection fails or the peer does not prove that it has a shared key.
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

/// Opens a connection as the server.
///
/// # Errors
///
/// Returns an error if the connection fails or the peer does not prove that it has a shared key.
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
