//! Parsers of single values, which check that the value is permitted.

use crate::{ClusterKey, PermittedValues, Token};
use serde_json::Value;
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Permitted lengths of a name, in characters.
const NAME_LENGTHS: std::ops::RangeInclusive<usize> = 1..=64;
/// Permitted lengths of a token, in characters.
const TOKEN_LENGTHS: std::ops::RangeInclusive<usize> = 16..=128;

/// The parsed value, or the reason why it is not permitted.
pub(crate) type ParseResult<T> = Result<T, &'static str>;

pub(crate) fn text(value: &Value) -> ParseResult<&str> {
    value.as_str().ok_or("is not a text")
}

pub(crate) fn name(value: &Value) -> ParseResult<SmolStr> {
    let text = text(value)?;
    if !NAME_LENGTHS.contains(&text.len()) {
        return Err("has the wrong length");
    }
    let is_permitted = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    if !text.bytes().all(is_permitted) {
        return Err("contains other characters");
    }
    Ok(text.into())
}

pub(crate) fn number(value: &Value, min: u64, max: u64) -> ParseResult<u64> {
    let number = value.as_u64().ok_or("is not a whole number")?;
    if !(min..=max).contains(&number) {
        return Err("is out of range");
    }
    Ok(number)
}

pub(crate) fn address(value: &Value, permitted: &PermittedValues) -> ParseResult<SocketAddr> {
    let addr: SocketAddr = text(value)?.parse().map_err(|_| "is not an IP address and port")?;
    match permitted {
        PermittedValues::LoopbackAddr if !addr.ip().is_loopback() => {
            Err("is not a loopback address")
        }
        PermittedValues::ReachableAddr if addr.ip().is_unspecified() => {
            Err("is an unspecified address")
        }
        PermittedValues::ReachableAddr if addr.port() == 0 => Err("has port 0"),
        _ => Ok(addr),
    }
}

pub(crate) fn cluster_key(value: &Value) -> ParseResult<ClusterKey> {
    ClusterKey::parse(text(value)?).ok_or("is not a key")
}

pub(crate) fn token(value: &Value) -> ParseResult<Token> {
    let text = text(value)?;
    if !TOKEN_LENGTHS.contains(&text.len()) {
        return Err("has the wrong length");
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("contains other characters");
    }
    Ok(Token::new(text))
}
