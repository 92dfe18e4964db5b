//! Tests of retries and hedging.

mod budget_model;
mod decisions;
