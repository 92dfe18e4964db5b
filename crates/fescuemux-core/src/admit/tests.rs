//! Tests of admission.

mod callers;
mod limit;
mod queue;
mod queue_model;
mod slots;
