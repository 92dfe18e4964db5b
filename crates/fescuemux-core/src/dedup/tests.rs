//! Tests of at-most-once execution.

mod home_fence;
mod key_registry;
mod request_table;
mod roster;
