//! Checks fields and collects what is wrong with them.

use crate::parse::{self, Parsed};
use crate::wire::{Leaf, Unknown};
use crate::{DefaultValue, Field, PermittedValues, Problem};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Collects the problems of a file. Each check returns nothing after it recorded a problem.
#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) problems: Vec<Problem>,
}

impl Checker {
    /// Checks a field with `parse`, which also sees the default of an absent field.
    pub(crate) fn value<T>(
        &mut self,
        field: &Field,
        leaf: Leaf,
        parse: impl FnOnce(&Value) -> Parsed<T>,
    ) -> Option<T> {
        self.value_at(field.path.to_owned(), field, leaf, parse)
    }

    /// As [`Checker::value`], for a field inside a list.
    pub(crate) fn value_at<T>(
        &mut self,
        path: String,
        field: &Field,
        leaf: Leaf,
        parse: impl FnOnce(&Value) -> Parsed<T>,
    ) -> Option<T> {
        let Some(value) = leaf.0.or_else(|| preset(field)) else {
            self.problems.push(Problem::missing(path, &field.permitted));
            return None;
        };
        match parse(&value) {
            Ok(parsed) => Some(parsed),
            Err(reason) => {
                self.refuse(path, &value, reason, &field.permitted);
                None
            }
        }
    }

    pub(crate) fn number(&mut self, field: &Field, leaf: Leaf) -> Option<u64> {
        let PermittedValues::Number { min, max } = field.permitted else {
            unreachable!("{} is declared as a number", field.path);
        };
        self.value(field, leaf, |value| parse::number(value, min, max))
    }

    pub(crate) fn size(&mut self, field: &Field, leaf: Leaf) -> Option<usize> {
        self.number(field, leaf).and_then(|number| usize::try_from(number).ok())
    }

    pub(crate) fn millis(&mut self, field: &Field, leaf: Leaf) -> Option<Duration> {
        self.number(field, leaf).map(Duration::from_millis)
    }

    pub(crate) fn address(&mut self, field: &Field, leaf: Leaf) -> Option<SocketAddr> {
        self.value(field, leaf, |value| parse::address(value, &field.permitted))
    }

    /// Checks a list and each of its entries, which must differ.
    pub(crate) fn list<T: PartialEq>(
        &mut self,
        field: &Field,
        leaf: Leaf,
        parse: impl Fn(&Value, &PermittedValues) -> Parsed<T>,
    ) -> Option<Vec<T>> {
        let PermittedValues::List { min, max, entry: Some(permitted) } = field.permitted else {
            unreachable!("{} is declared as a list", field.path);
        };
        let entries = self.value(field, leaf, |value| {
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
                    self.refuse(path, entry, "is a duplicate", permitted);
                }
                Ok(value) => parsed.push(value),
                Err(reason) => self.refuse(path, entry, reason, permitted),
            }
        }
        Some(parsed)
    }

    /// Refuses all fields that the section does not have.
    pub(crate) fn unknown(&mut self, section: &str, unknown: &Unknown) {
        let paths = unknown.keys().map(|key| format!("{section}{key}"));
        self.problems.extend(paths.map(Problem::unknown));
    }

    pub(crate) fn refuse(
        &mut self,
        path: String,
        value: &Value,
        reason: &str,
        permitted: &PermittedValues,
    ) {
        self.problems.push(Problem::refused(path, value, reason.to_owned(), permitted));
    }
}

fn preset(field: &Field) -> Option<Value> {
    match field.default {
        DefaultValue::Required | DefaultValue::SameAs(_) => None,
        DefaultValue::Number(number) => Some(number.into()),
        DefaultValue::Text(text) => Some(text.into()),
        DefaultValue::EmptyList => Some(Value::Array(Vec::new())),
    }
}
