//! The daemon: edges that own sockets, threads and the clock, and drive the decisions of
//! `fescuemux-core`.

mod http;
mod stop;
