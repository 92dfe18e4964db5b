//! Limits of a process and their shares.

/// Memory of the process at rest: code, runtime, directory and configuration. A sidecar of a fleet of
/// two holds 5.4 MB; the rest is for the directory of a large fleet and for metrics.
const BASE_BYTES: u64 = 24 << 20;

/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Memory and sockets that are used even if the limits leave less, because a process with less
/// serves no request.
const MIN_BUFFER_BYTES: u64 = 8 << 20;
const MIN_SOCKETS: usize = 64;

/// Memory of a connection of a client: 24.5 kB in the process while a request head is incomplete, as
/// measured (15 kB while idle), and 16 KiB in the kernel.
const CONNECTION_BYTES: u64 = 40 << 10;

/// Memory of a connection from another instance, whose frames have up to 128 KiB.
const PEER_CONNECTION_BYTES: u64 = 128 << 10;

/// Limits of a process, as far as they are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory_bytes: Option<u64>,
    /// Number of descriptors.
    pub max_descriptors: Option<usize>,
}

/// What memory is held for. Each class has a share of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryClass {
    /// Bodies of requests that are large or of unknown length.
    Bulk,
    /// Bodies of requests that are announced as small.
    Small,
    /// Bodies of requests of the machine's own backend server.
    Own,
    /// Responses.
    Response,
}

impl MemoryClass {
    /// All classes.
    pub const ALL: [MemoryClass; 4] =
        [MemoryClass::Bulk, MemoryClass::Small, MemoryClass::Own, MemoryClass::Response];

    /// Largest body, in bytes, that counts as small.
    pub const MAX_SMALL_BYTES: u64 = 16 << 10;
}

impl MemoryClass {
    /// Returns the name of the class in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemoryClass::Bulk => "bulk",
            MemoryClass::Small => "small",
            MemoryClass::Own => "own",
            MemoryClass::Response => "answer",
        }
    }
}

/// Listener by which a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionKind {
    /// Callers.
    Caller,
    /// Other instances.
    Peer,
    /// Reports of the backend server.
    Control,
    /// Readiness checks.
    Ready,
    /// Metrics.
    Metrics,
}

impl ConnectionKind {
    /// All kinds.
    pub const ALL: [ConnectionKind; 5] = [
        ConnectionKind::Caller,
        ConnectionKind::Peer,
        ConnectionKind::Control,
        ConnectionKind::Ready,
        ConnectionKind::Metrics,
    ];

    /// Returns the name of the kind in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ConnectionKind::Caller => "caller",
            ConnectionKind::Peer => "peer",
            ConnectionKind::Control => "control",
            ConnectionKind::Ready => "ready",
            ConnectionKind::Metrics => "metrics",
        }
    }
}

impl ProcessLimits {
    /// Returns the number of bytes that the buffers of a class may take, if memory is limited.
    ///
    /// A quarter is left to the allocator, because freed buffers leave gaps. Of the rest, the classes
    /// get 17 of 32 parts and connections 15.
    pub fn class_bytes(&self, class: MemoryClass) -> Option<u64> {
        let share = match class {
            MemoryClass::Bulk => 9,
            MemoryClass::Response => 4,
            MemoryClass::Small | MemoryClass::Own => 2,
        };
        Some(self.buffer_bytes()? * share / 32)
    }

    /// Returns the maximum number of connections of a kind, if memory or descriptors are limited.
    ///
    /// Three eighths of the descriptors remain for connections that the process opens: to guards,
    /// to its backend server and to the store.
    pub fn max_connections(&self, kind: ConnectionKind) -> Option<usize> {
        let (share, bytes, memory_share) = match kind {
            ConnectionKind::Caller => (10, CONNECTION_BYTES, 8),
            ConnectionKind::Peer => (8, PEER_CONNECTION_BYTES, 4),
            ConnectionKind::Control => (2, CONNECTION_BYTES, 1),
            ConnectionKind::Ready | ConnectionKind::Metrics => (1, CONNECTION_BYTES, 1),
        };
        let sockets =
            self.max_descriptors.map(|max| max.saturating_sub(FILE_DESCRIPTORS).max(MIN_SOCKETS));
        let by_descriptors = sockets.map(|sockets| sockets * share / 32);
        let by_memory =
            self.buffer_bytes().map(|total| (total * memory_share / 32 / bytes) as usize);
        let max = by_descriptors.into_iter().chain(by_memory).min()?;
        Some(max.max(1))
    }

    fn buffer_bytes(&self) -> Option<u64> {
        let above_base = self.memory_bytes?.saturating_sub(BASE_BYTES);
        Some((above_base / 4 * 3).max(MIN_BUFFER_BYTES))
    }
}
