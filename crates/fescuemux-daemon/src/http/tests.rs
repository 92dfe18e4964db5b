//! Tests of the HTTP edges.

mod smuggling;
