//! The answer to "did this request run?".

use std::fmt;

/// States whether a request ran on a backend server. Every error of every layer carries one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// The request did not run and never will. Only this verdict permits a retry of work that
    /// is not idempotent.
    NotRun,
    /// The request may have run, may still be running, or may yet start.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the spelling used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Parses the spelling of [`Verdict::as_str`].
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
