//! Pipelined requests of a connection that have started before their turn.

use super::message_tracker::MessageTracker;
use super::pipelined_head::{closes_connection, is_same_head, parse_head, pipelined_request};
use super::request::lookup_route;
use super::{InFlightCount, ResponseBody, handle};
use crate::node::Node;
use fescuemux_core::pipelining::{ConnectionState, EarlyStart};
use http::Response;
use http::request::Parts;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Waker;
use std::time::Instant;
use tokio::sync::Notify;
use tokio::task::{JoinError, JoinHandle, spawn_local};

/// Failure that closes a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("the request differs from the one that has started early")]
    OtherRequest,
    #[error(transparent)]
    Task(#[from] JoinError),
}

/// State of a connection that its I/O, its service and its task share.
pub(super) struct Pipeline {
    node: Rc<Node>,
    pub(super) tracker: RefCell<MessageTracker>,
    /// Requests that have started early, in their order on the connection.
    early_requests: RefCell<VecDeque<EarlyRequest>>,
    /// Whether the connection closes with the response to a request that has started.
    is_closing: Cell<bool>,
    /// Whether the connection counts as one with early requests in the metrics.
    is_counted: Cell<bool>,
    /// Whether a request may start early that could not when last examined.
    recheck: Cell<bool>,
    /// Time at which hyper got the first bytes of a head whose end it does not have.
    pub(super) head_started_at: Cell<Option<Instant>>,
    /// Wakes the task that reads, when hyper may have the next request.
    pub(super) read_waker: RefCell<Option<Waker>>,
    /// Notifies the connection's task that a request has started, or that a head has arrived in part.
    pub(super) changed: Notify,
}

impl Pipeline {
    /// Returns the state of a new connection.
    pub(super) fn new(node: Rc<Node>) -> Pipeline {
        Pipeline {
            node,
            tracker: RefCell::new(MessageTracker::new()),
            early_requests: RefCell::default(),
            is_closing: Cell::new(false),
            is_counted: Cell::new(false),
            recheck: Cell::new(false),
            head_started_at: Cell::new(None),
            read_waker: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns whether requests have started early whose turn has not come.
    pub(super) fn has_early_requests(&self) -> bool {
        !self.early_requests.borrow().is_empty()
    }

    /// Records that hyper has parsed the head of a request. Returns the request if it has started
    /// early.
    ///
    /// # Errors
    /// Fails if hyper has parsed another request than the one that has started. The connection must
    /// be closed then: a request whose early run is given up may have run, so that it must not be
    /// refused as one that has not run.
    pub(super) fn on_request(
        &self,
        parts: &Parts,
        body: &Incoming,
    ) -> Result<Option<EarlyRequest>, ConnectionError> {
        let body_len = match body.is_end_stream() {
            true => Some(0),
            false => body.size_hint().exact(),
        };
        self.head_started_at.set(None);
        self.recheck.set(true);
        if closes_connection(parts.version, &parts.headers) {
            self.is_closing.set(true);
        }
        let mut tracker = self.tracker.borrow_mut();
        let mut early_requests = self.early_requests.borrow_mut();
        let request = match tracker.on_request(body_len) {
            true => early_requests.pop_front(),
            false => None,
        };
        let is_other = request.as_ref().is_some_and(|early| !is_same_head(&early.parts, parts))
            || tracker.early_heads() != early_requests.len();
        if is_other {
            early_requests.clear();
        }
        self.update_metrics(!early_requests.is_empty());
        if is_other { Err(ConnectionError::OtherRequest) } else { Ok(request) }
    }

    fn update_metrics(&self, has_early_requests: bool) {
        let change = i64::from(has_early_requests) - i64::from(self.is_counted.get());
        if change != 0 {
            self.is_counted.set(has_early_requests);
            self.node.metrics.early_connections.add(change);
        }
    }

    /// Records that the response to the request in progress is complete.
    pub(super) fn on_response_end(&self) {
        self.tracker.borrow_mut().on_response_end();
        if let Some(waker) = self.read_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Records that bytes have been read behind the request in progress.
    pub(super) fn on_read_ahead(&self) {
        self.recheck.set(true);
    }

    /// Records that hyper has a head in part.
    pub(super) fn on_partial_head(&self) {
        if self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(self.node.now()));
            self.changed.notify_one();
        }
    }

    /// Starts the requests that have been read and may start early.
    pub(super) fn start_early(&self) {
        if !self.recheck.replace(false) {
            return;
        }
        let mut tracker = self.tracker.borrow_mut();
        let mut early_requests = self.early_requests.borrow_mut();
        loop {
            let connection = ConnectionState {
                early_requests: early_requests.len(),
                is_closing: self.is_closing.get() || *self.node.stopping.borrow(),
            };
            if tracker.unread().is_empty() || !self.node.early_starts.borrow().has_room(connection)
            {
                return;
            }
            let Some(head) = tracker.next_head() else { return };
            let len = head.len();
            let request = parse_head(head).and_then(|parts| {
                let config = self.node.config.borrow().clone()?;
                let is_idempotent = lookup_route(&config, &parts)?.class.is_idempotent();
                Some((pipelined_request(&parts, is_idempotent), parts))
            });
            let start = request.map_or(Err(EarlyStart::InOrder), |(request, parts)| {
                match self.node.early_starts.borrow_mut().on_request(connection, request) {
                    EarlyStart::Now => Ok(parts),
                    start => Err(start),
                }
            });
            match start {
                Ok(parts) => {
                    tracker.on_started_early(len);
                    early_requests.push_back(EarlyRequest::start(&self.node, parts));
                    self.node.metrics.early_requests.inc();
                    self.update_metrics(true);
                }
                Err(EarlyStart::InOrder) => return tracker.on_left_in_order(),
                Err(_) => return,
            }
        }
    }
}

impl Drop for Pipeline {
    fn drop(&mut self) {
        self.update_metrics(false);
    }
}

/// Request that has started before its turn. Dropping it ends its work.
pub(super) struct EarlyRequest {
    parts: Parts,
    task: EarlyTask,
}

impl EarlyRequest {
    /// Starts a request that the process's [`EarlyStarts`] let start.
    ///
    /// [`EarlyStarts`]: fescuemux_core::pipelining::EarlyStarts
    fn start(node: &Rc<Node>, parts: Parts) -> EarlyRequest {
        let in_flight_count = InFlightCount::new(node.clone());
        let handled = handle(node.clone(), parts.clone(), None, node.now());
        // The request is in flight until its turn, because its response must still be delivered.
        let task = spawn_local(async move { (handled.await, in_flight_count) });
        EarlyRequest { parts, task: EarlyTask { node: node.clone(), task } }
    }

    /// Returns the response.
    ///
    /// # Errors
    /// Fails if the request's task has panicked.
    pub(super) async fn finish(mut self) -> Result<Response<ResponseBody>, JoinError> {
        let (response, _in_flight_count) = (&mut self.task.task).await?;
        Ok(response)
    }
}

/// Task of a request that has started early.
struct EarlyTask {
    node: Rc<Node>,
    task: JoinHandle<(Response<ResponseBody>, InFlightCount)>,
}

impl Drop for EarlyTask {
    fn drop(&mut self) {
        self.task.abort();
        self.node.early_starts.borrow_mut().on_end();
    }
}
