//! Checks single values against their permitted range.

use crate::{ClusterKey, PermittedValues, Token};
use serde_json::Value;
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Lengths of a name, in characters.
const NAME_LENGTHS: std::ops::RangeInclusive<usize> = 1..=64;
/// Lengths of a token, in characters.
const TOKEN_LENGTHS: std::ops::RangeInclusive<usize> = 16..=128;

/// A checked value, or what is wrong with it.
pub(crate) type Parsed<T> = Result<T, &'static str>;

pub(crate) fn text(value: &Value) -> Parsed<&str> {
    value.as_str().ok_or("is not a text")
}

pub(crate) fn name(value: &Value) -> Parsed<SmolStr> {
    let text = text(value)?;
    if !NAME_LENGTHS.contains(&text.len()) {
        return Err("has the wrong length");
    }
    let permitted = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    if !text.bytes().all(permitted) {
        return Err("contains other characters");
    }
    Ok(text.into())
}

pub(crate) fn number(value: &Value, min: u64, max: u64) -> Parsed<u64> {
    let number = value.as_u64().ok_or("is not a whole number")?;
    if !(min..=max).contains(&number) {
        return Err("is out of range");
    }
    Ok(number)
}

pub(crate) fn address(value: &Value, permitted: &PermittedValues) -> Parsed<SocketAddr> {
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

pub(crate) fn key(value: &Value) -> Parsed<ClusterKey> {
    ClusterKey::parse(text(value)?).ok_or("is not a key")
}

pub(crate) fn token(value: &Value) -> Parsed<Token> {
    let text = text(value)?;
    if !TOKEN_LENGTHS.contains(&text.len()) {
        return Err("has the wrong length");
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("contains other characters");
    }
    Ok(Token::new(text))
}
