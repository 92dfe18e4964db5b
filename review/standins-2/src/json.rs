//! A small JSON reader and writer: the stand-ins use no libraries.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Returns the text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => drop(write!(out, "\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

pub fn parse(text: &[u8]) -> Option<Json> {
    let mut at = 0;
    let value = value(text, &mut at)?;
    skip(text, &mut at);
    (at == text.len()).then_some(value)
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn eat(text: &[u8], at: &mut usize, what: &[u8]) -> Option<()> {
    text[*at..].starts_with(what).then(|| *at += what.len())
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(text, at);
                if eat(text, at, b"}").is_some() {
                    return Some(Json::Table(table));
                }
                if !table.is_empty() {
                    eat(text, at, b",")?;
                    skip(text, at);
                }
                let name = string(text, at)?;
                skip(text, at);
                eat(text, at, b":")?;
                table.insert(name, value(text, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                if eat(text, at, b"]").is_some() {
                    return Some(Json::List(list));
                }
                if !list.is_empty() {
                    eat(text, at, b",")?;
                }
                list.push(value(text, at)?);
            }
        }
        b'"' => string(text, at).map(Json::Text),
        b't' => eat(text, at, b"true").map(|()| Json::Bool(true)),
        b'f' => eat(text, at, b"false").map(|()| Json::Bool(false)),
        b'n' => eat(text, at, b"null").map(|()| Json::Null),
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    eat(text, at, b"\"")?;
    let mut out = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *text.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

/// Returns the bytes as standard base64 text with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
