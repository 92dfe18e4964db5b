//! Decision to start a pipelined request early.

/// Limits on requests that have started early and whose turn has not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelineLimits {
    /// Maximum number on a connection.
    pub per_connection: usize,
    /// Maximum number in the process.
    pub per_process: usize,
}

impl Default for PipelineLimits {
    /// Returns 16 requests on a connection and 128 in the process. Each holds at most about 256 KiB
    /// of its response, so that 32 MiB of the smallest instance's 160 MB are held at most.
    fn default() -> PipelineLimits {
        PipelineLimits { per_connection: 16, per_process: 128 }
    }
}

/// Properties of a pipelined request that decide when it may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelinedRequest {
    /// Whether the route of the request allows that it runs twice.
    pub is_idempotent: bool,
    /// Whether the request has a body, or may have one.
    pub has_body: bool,
    /// Whether the request expects an interim response or asks for another protocol.
    pub needs_negotiation: bool,
    /// Whether the connection ends with the response.
    pub closes_connection: bool,
}

/// State of a connection that has a request in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionState {
    /// Number of requests that have started early and whose turn has not come.
    pub early_requests: usize,
    /// Whether the connection will close with the response to a request that has started, or because
    /// the process is stopping.
    pub is_closing: bool,
}

/// Decision on a pipelined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyStart {
    /// The request starts now.
    Now,
    /// The request may start when fewer requests have started early.
    Later,
    /// The request starts when those ahead have their responses, and none behind it starts before.
    InOrder,
}

/// Requests of a process that have started early.
#[derive(Debug, Default)]
pub struct EarlyStarts {
    limits: PipelineLimits,
    started: usize,
}

impl EarlyStarts {
    /// Returns the initial state.
    pub fn new(limits: PipelineLimits) -> EarlyStarts {
        EarlyStarts { limits, started: 0 }
    }

    /// Returns whether any request of the connection may start early. It is cheaper to ask than to
    /// parse a request first.
    pub fn has_room(&self, connection: ConnectionState) -> bool {
        !connection.is_closing
            && connection.early_requests < self.limits.per_connection
            && self.started < self.limits.per_process
    }

    /// Decides on the next request of a connection. After [`EarlyStart::Now`], the request counts as
    /// started until [`EarlyStarts::on_end`].
    pub fn on_request(
        &mut self,
        connection: ConnectionState,
        request: PipelinedRequest,
    ) -> EarlyStart {
        let PipelinedRequest { is_idempotent, has_body, needs_negotiation, closes_connection } =
            request;
        if !is_idempotent || has_body || needs_negotiation || closes_connection {
            return EarlyStart::InOrder;
        }
        if !self.has_room(connection) {
            return EarlyStart::Later;
        }
        self.started += 1;
        EarlyStart::Now
    }

    /// Records that the turn of a request has come that had started early, or that the request was
    /// dropped.
    pub fn on_end(&mut self) {
        self.started -= 1;
    }
}
