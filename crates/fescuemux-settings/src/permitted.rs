//! Permitted values of a field.

use std::fmt;

/// Permitted values of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permitted {
    /// 1 to 64 characters of a-z, 0-9 and `-`.
    Name,
    /// An address to listen on; port 0 takes any free port.
    Listen,
    /// An address to listen on that only this machine reaches.
    Loopback,
    /// An address that others connect to.
    Reachable,
    /// 64 hexadecimal digits.
    Key,
    /// 16 to 128 visible ASCII characters, as a bearer token travels in a header.
    Token,
    /// Whole number between two inclusive bounds.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// One of the texts.
    OneOf(&'static [&'static str]),
    /// List whose length is between two inclusive bounds.
    List {
        /// Smallest length.
        min: usize,
        /// Largest length.
        max: usize,
        /// Permitted values of each entry; entries that are objects have fields of their own.
        of: Option<&'static Permitted>,
    },
}

impl Permitted {
    /// Returns whether values must stay out of logs and errors.
    pub fn is_secret(&self) -> bool {
        match self {
            Permitted::Key | Permitted::Token => true,
            Permitted::List { of, .. } => of.is_none_or(Permitted::is_secret),
            _ => false,
        }
    }
}

impl fmt::Display for Permitted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Permitted::Name => f.write_str("1 to 64 characters of a-z, 0-9 and -"),
            Permitted::Listen => f.write_str("IP address and port"),
            Permitted::Loopback => f.write_str("loopback IP address and port"),
            Permitted::Reachable => f.write_str("specified IP address and port from 1 to 65535"),
            Permitted::Key => f.write_str("64 hexadecimal digits"),
            Permitted::Token => f.write_str("16 to 128 visible ASCII characters"),
            Permitted::Number { min, max } => write!(f, "{min} to {max}"),
            Permitted::OneOf(texts) => f.write_str(&texts.join(", ")),
            Permitted::List { min, max, of: Some(of) } => {
                write!(f, "{min} to {max} different entries, each {of}")
            }
            Permitted::List { min, max, of: None } => write!(f, "{min} to {max} objects"),
        }
    }
}
