//! Shared keys of the fleet, with support for rotation.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

type HmacSha256 = Hmac<Sha256>;

/// HMAC-SHA256 tag.
pub type MacTag = [u8; 32];

/// Non-empty list of shared keys. The first key signs; a tag of any of the keys is accepted. To
/// rotate keys, append the new key on all daemons, then move it to the front, then remove the old
/// key. Complete each of these three steps on all daemons before the next step.
#[derive(Clone)]
pub struct KeyRing {
    keys: Arc<[[u8; 32]]>,
}

impl KeyRing {
    /// Returns a ring of `keys`, or `None` if `keys` is empty.
    pub fn new(keys: Vec<[u8; 32]>) -> Option<KeyRing> {
        if keys.is_empty() { None } else { Some(KeyRing { keys: keys.into() }) }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the ring is empty. Always false, see [`KeyRing::new`].
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the tag of the concatenation of `parts`, each preceded by its length.
    pub fn sign(&self, parts: &[&[u8]]) -> MacTag {
        tag(&self.keys[0], parts)
    }

    /// Returns whether `claimed_tag` is the tag of `parts` under any key. The comparison with each
    /// key takes constant time.
    pub fn verify(&self, parts: &[&[u8]], claimed_tag: &[u8]) -> bool {
        self.keys.iter().any(|key| mac_state(key, parts).verify_slice(claimed_tag).is_ok())
    }

    /// Returns one ring per key, for determining which key a peer uses.
    pub(crate) fn single_key_rings(&self) -> impl Iterator<Item = KeyRing> + '_ {
        self.keys.iter().map(|key| KeyRing { keys: Arc::new([*key]) })
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.keys.len())
    }
}

fn tag(key: &[u8; 32], parts: &[&[u8]]) -> MacTag {
    mac_state(key, parts).finalize().into_bytes().into()
}

fn mac_state(key: &[u8; 32], parts: &[&[u8]]) -> HmacSha256 {
    let mut mac = HmacSha256::new_from_slice(key).expect("HMAC takes keys of any length");
    for part in parts {
        // Without lengths, bytes could be moved between adjacent parts under the same tag.
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}
