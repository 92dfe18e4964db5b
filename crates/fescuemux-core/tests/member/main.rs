//! Tests of membership: network faults in a simulation, precedence of records, and an exhaustive
//! exploration of a small fleet.

mod explore;
mod faults;
mod followers;
mod net;
mod records;
mod view;
