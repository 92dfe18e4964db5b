//! Kind of an attempt to serve a request at a backend server.

/// Kind of an attempt to serve a request at a backend server. The ingress sends it along to the
/// instance of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// An ordinary attempt on a server that the ingress considers serving.
    #[default]
    Normal,
    /// An attempt on a server that is steered or in probation, because no serving server is below
    /// the load limit.
    LastResort,
    /// An attempt that tests whether the server has recovered.
    Trial,
}
