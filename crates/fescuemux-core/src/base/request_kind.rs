//! Why an ingress chose a backend server.

/// Kind of an attempt, as the ingress tells the guard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// The server is serving.
    #[default]
    Normal,
    /// No serving server has room.
    LastResort,
    /// The request tries whether the server has recovered.
    Trial,
}
