//! What a backend server says about itself in its responses.

/// Limit of requests that a backend server names in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The response names no limit, which ends an earlier one.
    #[default]
    None,
    /// Requests per second that the server takes from all instances together; finite and not
    /// negative.
    PerSecond(f64),
    /// The response names a limit that cannot be read. An earlier one holds on.
    Unreadable,
}

/// What a [`ServerNotice`] or a relayed one changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// The limit is another one.
    pub limit: bool,
    /// The server was not known to leave.
    pub leaving: bool,
}

/// What a backend server says about itself in a response, beside the response to the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Limit of requests.
    pub limit: NamedLimit,
    /// Whether the server leaves and must get no more requests.
    pub leaving: bool,
}
