//! Table of the keys of all customers.

use super::{CallerAccount, CallerKeysError};
use crate::base::{CallerId, HashMap, HashSet};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// Keys of all customers, as digests. `Debug` shows neither keys nor digests.
#[derive(Clone)]
pub struct CallerKeys {
    /// Digests by their first eight bytes.
    accounts: HashMap<u64, Vec<(KeyDigest, Arc<CallerAccount>)>>,
    customer_count: usize,
    key_count: usize,
}

impl CallerKeys {
    /// Returns the table of customers and their keys.
    ///
    /// # Errors
    /// Fails if a customer or a key occurs twice, or a key is empty.
    pub fn new<'a>(
        customers: impl IntoIterator<Item = (CallerAccount, Vec<&'a str>)>,
    ) -> Result<CallerKeys, CallerKeysError> {
        let mut table =
            CallerKeys { accounts: HashMap::default(), customer_count: 0, key_count: 0 };
        let mut ids: HashSet<CallerId> = HashSet::default();
        for (account, keys) in customers {
            if !ids.insert(account.id.clone()) {
                return Err(CallerKeysError::DuplicateCustomer(account.id));
            }
            let account = Arc::new(account);
            for key in keys {
                table.insert(key, &account)?;
            }
        }
        table.customer_count = ids.len();
        Ok(table)
    }

    fn insert(&mut self, key: &str, account: &Arc<CallerAccount>) -> Result<(), CallerKeysError> {
        let customer = account.id.clone();
        if key.is_empty() {
            return Err(CallerKeysError::EmptyKey(customer));
        }
        if let Some(other) = self.lookup(key.as_bytes()) {
            return Err(CallerKeysError::DuplicateKey { customer, other: other.id.clone() });
        }
        let digest = digest(key.as_bytes());
        self.accounts.entry(bucket(&digest)).or_default().push((digest, account.clone()));
        self.key_count += 1;
        Ok(())
    }

    /// Returns the customer that a key identifies.
    ///
    /// The time of a lookup depends on the key only by way of its digest: the bucket is found by
    /// a part of the digest, and the digests of the bucket are compared in constant time. To learn
    /// from it how close a guess came, one would have to invert SHA-256.
    pub fn lookup(&self, key: &[u8]) -> Option<Arc<CallerAccount>> {
        let digest = digest(key);
        let bucket = self.accounts.get(&bucket(&digest))?;
        let found = bucket.iter().find(|(other, _)| bool::from(other.ct_eq(&digest)));
        found.map(|(_, account)| account.clone())
    }

    /// Returns the account of each key.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<CallerAccount>> {
        self.accounts.values().flatten().map(|(_, account)| account)
    }

    /// Returns the number of customers.
    pub fn customer_count(&self) -> usize {
        self.customer_count
    }

    /// Returns the number of keys of all customers.
    pub fn key_count(&self) -> usize {
        self.key_count
    }
}

impl fmt::Debug for CallerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerKeys")
            .field("customer_count", &self.customer_count)
            .field("key_count", &self.key_count)
            .finish_non_exhaustive()
    }
}

fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

fn bucket(digest: &KeyDigest) -> u64 {
    let (first, _) = digest.split_first_chunk().expect("a digest has more than eight bytes");
    u64::from_le_bytes(*first)
}
