//! Opening of a connection for remote procedures: both sides prove that they hold the shared key
//! and derive a key for this connection alone, so that no frame can be replayed on another one.

use super::key_ring::KeyRing;
use rand::TryRngCore;
use rand::rngs::OsRng;
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Protocol name and version. Changing the wire format changes it.
const MAGIC: &[u8; 8] = b"fsmxrpc1";
const NONCE_BYTES: usize = 16;
const TAG_BYTES: usize = 32;

/// Which side of the connection a codec speaks for. Frames of the two directions carry different
/// tags, so that a frame cannot be reflected to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Client,
    Server,
}

/// Key and side of one connection.
#[derive(Clone, Debug)]
pub struct Session {
    pub(super) key: KeyRing,
    pub(super) side: Side,
}

/// Failure to open a connection.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("connection failed during the handshake: {0}")]
    Io(#[from] io::Error),
    /// The peer does not speak this protocol or this version of it.
    #[error("the peer does not speak protocol fsmxrpc1")]
    ProtocolMismatch,
    /// The peer does not hold a shared key.
    #[error("the peer holds none of the shared keys")]
    NoSharedKey,
}

/// Opens a connection as the calling side.
///
/// # Errors
///
/// Returns an error when the connection fails or the peer does not prove that it holds a key.
pub async fn connect<S>(stream: &mut S, keys: &KeyRing) -> Result<Session, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let nonce = nonce()?;
    let mut hello = Vec::with_capacity(MAGIC.len() + NONCE_BYTES);
    hello.extend_from_slice(MAGIC);
    hello.extend_from_slice(&nonce);
    stream.write_all(&hello).await?;

    let mut answer = [0; NONCE_BYTES + TAG_BYTES];
    stream.read_exact(&mut answer).await?;
    let (peer_nonce, proof) = answer.split_at(NONCE_BYTES);
    let key = keys
        .singles()
        .find(|key| key.verify(&[b"server", &nonce, peer_nonce], proof))
        .ok_or(HandshakeError::NoSharedKey)?;
    stream.write_all(&key.sign(&[b"client", &nonce, peer_nonce])).await?;
    Ok(session(&key, Side::Client, &nonce, peer_nonce))
}

/// Opens a connection as the called side.
///
/// # Errors
///
/// Returns an error when the connection fails, the peer speaks another protocol, or it does not
/// prove that it holds a key.
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
    let mut answer = Vec::with_capacity(NONCE_BYTES + TAG_BYTES);
    answer.extend_from_slice(&nonce);
    answer.extend_from_slice(&keys.sign(&[b"server", peer_nonce, &nonce]));
    stream.write_all(&answer).await?;

    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    let key = keys
        .singles()
        .find(|key| key.verify(&[b"client", peer_nonce, &nonce], &proof))
        .ok_or(HandshakeError::NoSharedKey)?;
    Ok(session(&key, Side::Server, peer_nonce, &nonce))
}

fn session(key: &KeyRing, side: Side, client_nonce: &[u8], server_nonce: &[u8]) -> Session {
    let derived = key.sign(&[b"session", client_nonce, server_nonce]);
    let key = KeyRing::new(vec![derived]).expect("one key is given");
    Session { key, side }
}

fn nonce() -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    OsRng.try_fill_bytes(&mut nonce).map_err(io::Error::other)?;
    Ok(nonce)
}
