//! Measurements of the decision parts on a virtual clock.
//!
//! Must not know sockets.

pub mod overload;
