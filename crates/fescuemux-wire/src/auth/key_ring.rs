//! The shared keys of the fleet.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

type HmacSha256 = Hmac<Sha256>;

/// HMAC-SHA256 value.
pub type MacTag = [u8; 32];

/// Shared keys. The first key signs and every key verifies, so that keys can be rotated in three
/// steps: add the new key last everywhere, move it first everywhere, remove the old key.
#[derive(Clone)]
pub struct KeyRing {
    keys: Arc<[[u8; 32]]>,
}

impl KeyRing {
    /// Returns a ring of `keys`, or `None` when there is none.
    pub fn new(keys: Vec<[u8; 32]>) -> Option<KeyRing> {
        if keys.is_empty() { None } else { Some(KeyRing { keys: keys.into() }) }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the ring is empty, which [`KeyRing::new`] rules out.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Signs the concatenation of `parts`, each preceded by its length.
    pub fn sign(&self, parts: &[&[u8]]) -> MacTag {
        tag(&self.keys[0], parts)
    }

    /// Returns whether `expected` is the tag of `parts` under any key, in constant time per key.
    pub fn verify(&self, parts: &[&[u8]], expected: &[u8]) -> bool {
        self.keys.iter().any(|key| authenticate(key, parts).verify_slice(expected).is_ok())
    }

    /// Returns rings of one key each, for peers that must find out which key the other side uses.
    pub(crate) fn singles(&self) -> impl Iterator<Item = KeyRing> + '_ {
        self.keys.iter().map(|key| KeyRing { keys: Arc::new([*key]) })
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.keys.len())
    }
}

fn tag(key: &[u8; 32], parts: &[&[u8]]) -> MacTag {
    authenticate(key, parts).finalize().into_bytes().into()
}

fn authenticate(key: &[u8; 32], parts: &[&[u8]]) -> HmacSha256 {
    let mut mac = HmacSha256::new_from_slice(key).expect("HMAC takes keys of any length");
    for part in parts {
        // The length keeps neighbouring parts from being shifted into each other.
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}
