//! Fair shares of a queue between customers.
//!
//! Loads that this answers:
//! - One customer sends many times its usual rate to a service whose slots are all in use. Without
//!   shares, most waiting requests are its own, and the requests of all others wait behind them or
//!   are refused because the queue is full.
//! - Customers of very different sizes compete for a few slots: shares follow their allowances.
//! - Only one customer has requests: it gets every slot, as no slot stays idle for a share.
//!
//! Must not know sockets, message formats or why requests wait.

mod fair_share;
mod fair_shares;

pub use fair_share::FairShare;
pub use fair_shares::FairShares;
