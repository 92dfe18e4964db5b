//! Tests of the runs, of the broken versions and of the checkers.

mod broken;
mod checkers;
mod found;
mod seeds;
