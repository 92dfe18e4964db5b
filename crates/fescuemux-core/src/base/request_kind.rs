//! Reason why an ingress chose a backend server.

/// Kind of an attempt, sent along to the server's instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// The server is serving.
    #[default]
    Normal,
    /// No serving server has a free slot.
    LastResort,
    /// The request tests whether the server has recovered.
    Trial,
}
