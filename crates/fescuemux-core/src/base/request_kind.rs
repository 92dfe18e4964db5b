//! Reason why an ingress chose a backend server.

/// Kind of an attempt, sent along to the instance of the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// An ordinary attempt on a server that the ingress considers serving.
    #[default]
    Normal,
    /// No serving server is below the load limit, so the ingress chose a server that is steered or
    /// in probation.
    LastResort,
    /// The request tests whether the server has recovered.
    Trial,
}
