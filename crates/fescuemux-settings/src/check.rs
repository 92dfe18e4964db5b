//! Checks the fields of a settings file and collects the problems.

use crate::parse::{self, ParseResult};
use crate::wire::{RawField, UnknownFields};
use crate::{DefaultValue, Field, PermittedValues, Problem};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Checks fields and collects their problems. A method that returns `None` has recorded a
/// problem.
#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) problems: Vec<Problem>,
}

impl Checker {
    /// Parses a field, or its default if it is absent.
    pub(crate) fn parse_field<T>(
        &mut self,
        field: &Field,
        raw: RawField,
        parse: impl FnOnce(&Value) -> ParseResult<T>,
    ) -> Option<T> {
        self.parse_field_at(field.path.to_owned(), field, raw, parse)
    }

    /// Parses a field inside a list entry, whose `path` holds the index of the entry.
    pub(crate) fn parse_field_at<T>(
        &mut self,
        path: String,
        field: &Field,
        raw: RawField,
        parse: impl FnOnce(&Value) -> ParseResult<T>,
    ) -> Option<T> {
        let Some(value) = raw.0.or_else(|| default_value(field)) else {
            self.problems.push(Problem::missing(path, &field.permitted));
            return None;
        };
        match parse(&value) {
            Ok(parsed) => Some(parsed),
            Err(reason) => {
                self.reject(path, &value, reason, &field.permitted);
                None
            }
        }
    }

    pub(crate) fn parse_number(&mut self, field: &Field, raw: RawField) -> Option<u64> {
        let PermittedValues::Number { min, max } = field.permitted else {
            unreachable!("{} is declared as a number", field.path);
        };
        self.parse_field(field, raw, |value| parse::number(value, min, max))
    }

    pub(crate) fn parse_size(&mut self, field: &Field, raw: RawField) -> Option<usize> {
        self.parse_number(field, raw).and_then(|number| usize::try_from(number).ok())
    }

    pub(crate) fn parse_duration(&mut self, field: &Field, raw: RawField) -> Option<Duration> {
        self.parse_number(field, raw).map(Duration::from_millis)
    }

    pub(crate) fn parse_address(&mut self, field: &Field, raw: RawField) -> Option<SocketAddr> {
        self.parse_field(field, raw, |value| parse::address(value, &field.permitted))
    }

    /// Parses a list and each of its entries, which must differ. Rejected entries are recorded and
    /// left out of the result.
    pub(crate) fn parse_list<T: PartialEq>(
        &mut self,
        field: &Field,
        raw: RawField,
        parse: impl Fn(&Value, &PermittedValues) -> ParseResult<T>,
    ) -> Option<Vec<T>> {
        let PermittedValues::List { min, max, entry: Some(permitted) } = field.permitted else {
            unreachable!("{} is declared as a list", field.path);
        };
        let entries = self.parse_field(field, raw, |value| {
            let entries = value.as_array().ok_or("is not a list")?;
            if !(min..=max).contains(&entries.len()) {
                return Err("has the wrong length");
            }
            Ok(entries.clone())
        })?;
        let mut parsed = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let path = format!("{}[{index}]", field.path);
            match parse(entry, permitted) {
                Ok(value) if parsed.contains(&value) => {
                    self.reject(path, entry, "is a duplicate", permitted);
                }
                Ok(value) => parsed.push(value),
                Err(reason) => self.reject(path, entry, reason, permitted),
            }
        }
        Some(parsed)
    }

    /// Records a problem for each unknown field of a section.
    pub(crate) fn reject_unknown(&mut self, section: &str, unknown: &UnknownFields) {
        let paths = unknown.keys().map(|key| format!("{section}{key}"));
        self.problems.extend(paths.map(Problem::unknown));
    }

    pub(crate) fn reject(
        &mut self,
        path: String,
        value: &Value,
        reason: &str,
        permitted: &PermittedValues,
    ) {
        self.problems.push(Problem::rejected(path, value, reason.to_owned(), permitted));
    }
}

fn default_value(field: &Field) -> Option<Value> {
    match field.default {
        DefaultValue::Required | DefaultValue::SameAs(_) => None,
        DefaultValue::Number(number) => Some(number.into()),
        DefaultValue::Text(text) => Some(text.into()),
        DefaultValue::EmptyList => Some(Value::Array(Vec::new())),
    }
}
