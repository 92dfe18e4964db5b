//! Target of the load.

use std::net::SocketAddr;
use std::str::FromStr;

/// A named target. Its addresses are used round-robin.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) addresses: Vec<SocketAddr>,
}

impl FromStr for Target {
    type Err = String;

    /// Parses `NAME=ADDR[,ADDR...]`.
    fn from_str(text: &str) -> Result<Target, String> {
        let (name, addresses) = text.split_once('=').ok_or("expected NAME=ADDR[,ADDR...]")?;
        let is_permitted = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if name.is_empty() || !name.chars().all(is_permitted) {
            return Err("expected a name of letters, digits and -".to_owned());
        }
        let addresses = addresses
            .split(',')
            .map(|addr| addr.parse().map_err(|_| format!("{addr:?} is not an IP address and port")))
            .collect::<Result<_, _>>()?;
        Ok(Target { name: name.to_owned(), addresses })
    }
}
