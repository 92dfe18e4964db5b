//! Decision logic of the proxy fleet: fault detection, ejection, routing, admission, retries,
//! deduplication, membership and configuration.
//!
//! Every module takes typed inputs, including the current time, and returns typed outputs. The
//! crate must not know threads, sockets, global state, a clock of its own or any wire format, so
//! that a daemon, a test or a benchmark can run the same code.
//!
//! # Example
//!
//! Routes one request and records its answer:
//!
//! ```
//! use fescuemux_core::base::{Cx, Phase, Verdict};
//! use fescuemux_core::route::{
//!     AttemptAnswer, Endpoint, ServerHealth, RequestKind, RouteQuery, Router, RouterConfig,
//!     ServerLoad,
//! };
//! use std::time::{Duration, Instant};
//!
//! let mut cx = Cx::new(Instant::now(), 1);
//! let mut router =
//!     Router::new(RouterConfig::new("ingress-1".into(), "rack-a".into(), "north".into()));
//! let endpoint = Endpoint {
//!     server: "lookup-1".into(),
//!     service: "lookup".into(),
//!     instance: "instance-1".into(),
//!     domain: "rack-a".into(),
//!     region: "north".into(),
//!     slots: 4,
//!     phase: Phase::Ready,
//!     incarnation: 1,
//!     health: ServerHealth::Serving,
//! };
//! router.upsert(&mut cx, endpoint);
//!
//! let service = "lookup".into();
//! let choice = router.choose(&mut cx, &RouteQuery::first_attempt(&service, true)).unwrap();
//! assert_eq!(choice.server, "lookup-1");
//! assert_eq!(choice.kind, RequestKind::Normal);
//!
//! router.on_sent(&mut cx, &choice);
//! cx.now += Duration::from_millis(25);
//! let answered = AttemptAnswer {
//!     verdict: Verdict::Ran,
//!     latency: Duration::from_millis(25),
//!     load: Some(ServerLoad { busy: 1, slots: 4, queued: 0 }),
//!     health: Some(ServerHealth::Steered),
//! };
//! router.on_answer(&mut cx, &choice.server, answered);
//!
//! // The server's instance steers requests away; without another server, this one is a last resort.
//! let choice = router.choose(&mut cx, &RouteQuery::first_attempt(&service, true)).unwrap();
//! assert_eq!(choice.kind, RequestKind::LastResort);
//! ```

pub mod admit;
pub mod allowances;
pub mod base;
pub mod caller_keys;
pub mod config;
pub mod dedup;
pub mod detect;
pub mod eject;
pub mod fair_queue;
pub mod locality;
pub mod member;
pub mod memory;
pub mod pipelining;
pub mod placement;
pub mod retry;
pub mod route;
