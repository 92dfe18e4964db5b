//! Whether a request ran on a backend server.

use std::fmt;

/// Whether a request ran on a backend server. Errors of all layers carry a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// The request did not run and never will. Only with this verdict may a request that is not
    /// idempotent be retried.
    NotRun,
    /// The request may have run, may be running, or may still start.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the name used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Parses a name returned by [`Verdict::as_str`].
    pub fn parse(text: &str) -> Option<Verdict> {
        match text {
            "not-run" => Some(Verdict::NotRun),
            "may-have-run" => Some(Verdict::MayHaveRun),
            "ran" => Some(Verdict::Ran),
            _ => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
