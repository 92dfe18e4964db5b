//! Replays of loads over several failure domains on virtual time, and the alternatives to the
//! locality policy on the same loads.

mod decisions;
mod fleet;
mod loads;
mod replay;
mod strategy;
