//! Handshake of connections for remote procedure calls. Both sides prove that they have a shared
//! key and derive a session key, so that frames cannot be replayed on another connection.

use super::key_ring::KeyRing;
use rand::TryRngCore;
use rand::rngs::OsRng;
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Protocol name and version. A change of the wire format needs a new version.
const MAGIC: &[u8; 8] = b"fsmxrpc1";
const NONCE_BYTES: usize = 16;
const TAG_BYTES: usize = 32;

/// Role of the local side of a connection. Tags differ by direction, so that frames cannot be
/// reflected to their sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Client,
    Server,
}

/// Session key and local role of one connection.
#[derive(Clone, Debug)]
pub struct Session {
    /// Key ring that holds only the session key.
    pub(super) session_key_ring: KeyRing,
    pub(super) role: Role,
}

/// Error of the handshake.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("connection failed during the handshake: {0}")]
    Io(#[from] io::Error),
    /// The peer uses another protocol or protocol version.
    #[error("the peer does not speak protocol fsmxrpc1")]
    ProtocolMismatch,
    /// The peer did not prove that it has a shared key.
    #[error("the peer holds none of the shared keys")]
    NoSharedKey,
}

/// Performs the handshake as the client.
///
/// # Errors
///
/// Returns an error if the connection fails or the peer does not prove that it has a shared key.
pub async fn connect<S>(stream: &mut S, keys: &KeyRing) -> Result<Session, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let nonce = nonce()?;
    let mut hello = Vec::with_capacity(MAGIC.len() + NONCE_BYTES);
    hello.extend_from_slice(MAGIC);
    hello.extend_from_slice(&nonce);
    stream.write_all(&hello).await?;

    let mut response = [0; NONCE_BYTES + TAG_BYTES];
    stream.read_exact(&mut response).await?;
    let (peer_nonce, proof) = response.split_at(NONCE_BYTES);
    let key = keys
        .single_key_rings()
        .find(|key| key.verify(&[b"server", &nonce, peer_nonce], proof))
        .ok_or(HandshakeError::NoSharedKey)?;
    stream.write_all(&key.sign(&[b"client", &nonce, peer_nonce])).await?;
    Ok(session(&key, Role::Client, &nonce, peer_nonce))
}

/// Performs the handshake as the server.
///
/// # Errors
///
/// Returns an error if the connection fails, the peer uses another protocol, or the peer does not
/// prove that it has a shared key.
pub async fn accept<S>(stream: &mut S, keys: &KeyRing) -> Result<Session, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut hello = [0; MAGIC.len() + NONCE_BYTES];
    stream.read_exact(&mut hello).await?;
    let (magic, peer_nonce) = hello.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(HandshakeError::ProtocolMismatch);
    }
    let nonce = nonce()?;
    let mut response = Vec::with_capacity(NONCE_BYTES + TAG_BYTES);
    response.extend_from_slice(&nonce);
    response.extend_from_slice(&keys.sign(&[b"server", peer_nonce, &nonce]));
    stream.write_all(&response).await?;

    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    let key = keys
        .single_key_rings()
        .find(|key| key.verify(&[b"client", peer_nonce, &nonce], &proof))
        .ok_or(HandshakeError::NoSharedKey)?;
    Ok(session(&key, Role::Server, peer_nonce, &nonce))
}

fn session(key: &KeyRing, role: Role, client_nonce: &[u8], server_nonce: &[u8]) -> Session {
    let session_key = key.sign(&[b"session", client_nonce, server_nonce]);
    let session_key_ring = KeyRing::new(vec![session_key]).expect("one key is given");
    Session { session_key_ring, role }
}

fn nonce() -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    OsRng.try_fill_bytes(&mut nonce).map_err(io::Error::other)?;
    Ok(nonce)
}
