//! Customers and the keys with which their requests are authenticated.
//!
//! Must not know sockets, header names or how configurations are stored.

mod caller_account;

pub use caller_account::CallerAccount;
