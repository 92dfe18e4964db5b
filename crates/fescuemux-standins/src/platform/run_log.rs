//! Records of the requests that application servers ran.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Execution of a request by an application server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the request.
    pub request_id: String,
    /// Id of the server.
    pub server: String,
    /// Start of the execution.
    pub started_at: Instant,
    /// Method and request target.
    pub target: String,
    /// Service of the machine that the request came from, as the fleet's `caller` header states.
    pub caller: String,
    /// Remaining time in milliseconds, from the request's deadline header.
    pub deadline_ms: Option<u64>,
    /// All headers as received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Whether a heartbeat that reported the server as draining was acknowledged before the
    /// request ran.
    pub after_drain_ack: bool,
}

impl Execution {
    /// Returns all values of a header, given in lower case.
    pub fn header_values(&self, name: &str) -> Vec<&str> {
        let found = self.headers.iter().filter(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str()).collect()
    }
}

/// Executions of all servers that share the log, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Adds an execution.
    pub fn add(&self, execution: Execution) {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).push(execution);
    }

    /// Returns a copy of all executions so far.
    pub fn all(&self) -> Vec<Execution> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns copies of the executions of a request.
    pub fn of_request(&self, request_id: &str) -> Vec<Execution> {
        let executions = self.executions.lock().unwrap_or_else(PoisonError::into_inner);
        executions.iter().filter(|execution| execution.request_id == request_id).cloned().collect()
    }

    /// Returns how often a request was executed.
    pub fn count(&self, request_id: &str) -> usize {
        let executions = self.executions.lock().unwrap_or_else(PoisonError::into_inner);
        executions.iter().filter(|execution| execution.request_id == request_id).count()
    }
}
