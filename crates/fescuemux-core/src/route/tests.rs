//! Tests of the router.

mod breaker;
mod kinds;
mod model;
mod slow_start;
mod support;
mod updates;
