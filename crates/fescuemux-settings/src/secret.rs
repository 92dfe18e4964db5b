//! Secrets, whose debug output is redacted.

use std::fmt;

/// Key shared by all daemons.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; ClusterKey::BYTES]);

impl ClusterKey {
    /// Length of a key in bytes.
    pub const BYTES: usize = 32;

    /// Parses exactly 64 hexadecimal digits.
    pub(crate) fn parse(text: &str) -> Option<ClusterKey> {
        let digits: Vec<u8> = text
            .chars()
            .map(|digit| digit.to_digit(16).map(|digit| digit as u8))
            .collect::<Option<_>>()?;
        let bytes: Vec<u8> =
            digits.chunks(2).map(|pair| pair.iter().fold(0, append_digit)).collect();
        let key = bytes.try_into().ok()?;
        (digits.len() == 2 * ClusterKey::BYTES).then_some(ClusterKey(key))
    }

    /// Returns the bytes of the key.
    pub fn as_bytes(&self) -> &[u8; ClusterKey::BYTES] {
        &self.0
    }
}

fn append_digit(byte: u8, digit: &u8) -> u8 {
    (byte << 4) | digit
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(redacted)")
    }
}

/// Bearer token of an operator.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    pub(crate) fn new(text: &str) -> Token {
        Token(text.to_owned())
    }

    /// Returns the text of the token.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(redacted)")
    }
}
