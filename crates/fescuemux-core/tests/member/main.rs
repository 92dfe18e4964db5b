//! Tests of membership: faults on a seeded message queue, record order, and an exhaustive
//! exploration of a small fleet.

mod explore;
mod faults;
mod net;
mod records;
mod view;
