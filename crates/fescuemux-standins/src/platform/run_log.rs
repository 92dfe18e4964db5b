//! What application servers ran.

use std::sync::{Arc, Mutex, PoisonError};

/// One run of a request at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the request.
    pub request_id: String,
    /// Id of the server.
    pub server: String,
    /// Method and path.
    pub target: String,
    /// Service beside which the request began, as the fleet says.
    pub caller: String,
    /// Milliseconds that the request says it has left.
    pub deadline_ms: Option<u64>,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// Whether the server had reported itself as leaving before.
    pub after_drain_ack: bool,
}

/// Runs of all servers that share the log, in their order.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    runs: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Adds a run.
    pub fn add(&self, run: Execution) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// Returns all runs so far.
    pub fn all(&self) -> Vec<Execution> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of runs of a request.
    pub fn count(&self, request_id: &str) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|run| run.request_id == request_id).count()
    }
}
