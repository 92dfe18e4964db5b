//! Customers and the keys with which their requests are authenticated.
//!
//! Load patterns that this module handles:
//! - Requests with known, unknown, malformed and missing keys, on public routes and on others.
//! - Nested requests, which carry no key, also from parents that the process does not know: parents
//!   that were sent by an earlier process, and parents whose exchange with the server was broken off.
//! - Configurations that add, move and remove keys, or that are not valid.
//!
//! Must not know sockets, header names or how configurations are stored.

mod authentication;
mod caller_account;
mod caller_keys_error;
mod key_table;
mod unfinished_parents;

pub use authentication::{KeyContext, KeyRefusal, PresentedKey};
pub use caller_account::CallerAccount;
pub use caller_keys_error::CallerKeysError;
pub use key_table::CallerKeys;
pub use unfinished_parents::UnfinishedParents;
