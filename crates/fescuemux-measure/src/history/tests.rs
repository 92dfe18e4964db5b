//! Tests of simulated runs, injected bugs and checkers.

mod broken;
mod checkers;
mod found;
mod seeds;
