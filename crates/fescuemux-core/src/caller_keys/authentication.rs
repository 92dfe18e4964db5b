//! Decision whether a request may run with the key that it presents.

use super::{CallerAccount, CallerKeys};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// What a request presents as its key. `Debug` shows no key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey<'a> {
    /// No key.
    Missing,
    /// One key.
    Key(&'a [u8]),
    /// Something that cannot be read as one key, such as two keys.
    Unreadable,
}

impl fmt::Debug for PresentedKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PresentedKey::Missing => "Missing",
            PresentedKey::Key(_) => "Key(..)",
            PresentedKey::Unreadable => "Unreadable",
        })
    }
}

/// What is known of a request besides its key.
#[derive(Clone, Copy, Debug)]
pub struct KeyContext {
    /// Whether the route of the request needs no key.
    pub public: bool,
    /// Whether the id of the request derives from that of a request running at the local backend
    /// server.
    pub nested: bool,
    /// Time for which a parent that this process does not know of may still run, or `None` if the
    /// request cannot be nested in such a parent.
    pub unknown_parent_for: Option<Duration>,
}

/// Reason why a request must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The key is not that of a customer.
    UnknownKey,
    /// The request has no key and is not nested.
    MissingKey,
    /// The request has no key, and whether it is nested will be known after this time.
    UnknownParent {
        /// Time until it is known.
        retry_in: Duration,
    },
}

impl CallerKeys {
    /// Returns the customer of a request that may run, or `None` if it has no customer.
    ///
    /// A nested request carries no key. A request with a key is therefore not nested, even if its id
    /// looks like it, and must be authenticated by its key.
    ///
    /// # Errors
    /// Returns why the request must not run.
    pub fn authenticate(
        &self,
        key: PresentedKey<'_>,
        cx: KeyContext,
    ) -> Result<Option<Arc<CallerAccount>>, KeyRefusal> {
        match key {
            PresentedKey::Key(key) => self.lookup(key).map(Some).ok_or(KeyRefusal::UnknownKey),
            PresentedKey::Unreadable => Err(KeyRefusal::UnknownKey),
            PresentedKey::Missing if cx.public || cx.nested => Ok(None),
            PresentedKey::Missing => Err(match cx.unknown_parent_for {
                Some(retry_in) => KeyRefusal::UnknownParent { retry_in },
                None => KeyRefusal::MissingKey,
            }),
        }
    }
}
