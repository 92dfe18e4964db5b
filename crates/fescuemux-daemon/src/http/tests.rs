//! Unit tests of the HTTP transport.

mod smuggling;
