//! Permitted values of a field.

use std::fmt;

/// Permitted values of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermittedValues {
    /// 1 to 64 characters of a-z, 0-9 and `-`.
    Name,
    /// Address to listen on; port 0 selects any free port.
    ListenAddr,
    /// Address to listen on that only this machine can reach.
    LoopbackAddr,
    /// Address that other processes connect to; the IP is specified and the port is not 0.
    ReachableAddr,
    /// 64 hexadecimal digits.
    ClusterKey,
    /// 16 to 128 visible ASCII characters, because a bearer token is sent in a header.
    Token,
    /// Whole number within inclusive bounds.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// List whose length is within inclusive bounds.
    List {
        /// Smallest length.
        min: usize,
        /// Largest length.
        max: usize,
        /// Permitted values of each entry; `None` for objects, which have fields of their own.
        entry: Option<&'static PermittedValues>,
    },
}

impl PermittedValues {
    /// Returns whether the values are or contain secrets, which must not appear in logs or errors.
    /// This holds for each list of objects, because a field of an object may be a secret.
    pub fn is_secret(&self) -> bool {
        match self {
            PermittedValues::ClusterKey | PermittedValues::Token => true,
            PermittedValues::List { entry, .. } => entry.is_none_or(PermittedValues::is_secret),
            _ => false,
        }
    }
}

impl fmt::Display for PermittedValues {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PermittedValues::Name => f.write_str("1 to 64 characters of a-z, 0-9 and -"),
            PermittedValues::ListenAddr => f.write_str("IP address and port"),
            PermittedValues::LoopbackAddr => f.write_str("loopback IP address and port"),
            PermittedValues::ReachableAddr => {
                f.write_str("specified IP address and port from 1 to 65535")
            }
            PermittedValues::ClusterKey => f.write_str("64 hexadecimal digits"),
            PermittedValues::Token => f.write_str("16 to 128 visible ASCII characters"),
            PermittedValues::Number { min, max } => write!(f, "{min} to {max}"),
            PermittedValues::OneOf(texts) => f.write_str(&texts.join(", ")),
            PermittedValues::List { min, max, entry: Some(entry) } => {
                write!(f, "{min} to {max} different entries, each {entry}")
            }
            PermittedValues::List { min, max, entry: None } => {
                write!(f, "{min} to {max} objects")
            }
        }
    }
}
