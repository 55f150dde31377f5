//! A value of a document, read by typed getters.

use std::{fmt::Display, ops::RangeInclusive, str::FromStr, time::Duration};

use jsonc_parser::{ast::Value, common::Ranged};

use crate::findings::suggest;

use super::{collector::FindingCollector, list::Listed, number, object::Object};

/// `Node` is a value of a document. Its getters report a finding and return `None` if the value
/// has the wrong type or is out of range.
#[derive(Clone)]
pub struct Node<'d> {
    collector: &'d FindingCollector<'d>,
    value: &'d Value<'d>,
    path: String,
}

impl<'d> Node<'d> {
    pub(super) fn new(
        collector: &'d FindingCollector<'d>,
        value: &'d Value<'d>,
        path: String,
    ) -> Self {
        Self {
            collector,
            value,
            path,
        }
    }

    pub(super) fn collector(&self) -> &'d FindingCollector<'d> {
        self.collector
    }

    /// Returns the path of the value, such as `services[0].id`. The root has an empty path.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether the value is `null`.
    pub fn is_null(&self) -> bool {
        matches!(self.value, Value::NullKeyword(_))
    }

    /// Returns whether the value is an object with this key.
    pub fn has_key(&self, key: &str) -> bool {
        match self.value {
            Value::Object(object) => object.get(key).is_some(),
            _ => false,
        }
    }

    /// Returns whether the value is a string.
    pub fn is_string(&self) -> bool {
        matches!(self.value, Value::StringLit(_))
    }

    /// Reports a problem with this value.
    pub fn report(&self, message: impl Into<String>) {
        self.report_with_suggestion(message, None);
    }

    /// Reports a problem with this value and a likely correction, if there is one.
    pub fn report_with_suggestion(&self, message: impl Into<String>, suggestion: Option<&str>) {
        let offset = self.value.range().start;
        self.collector
            .add_with_suggestion(offset, &self.path, message, suggestion);
    }

    fn report_type<T>(&self, expected: &str) -> Option<T> {
        let actual = type_name(self.value);
        self.report(format!("expected {expected}, found {actual}"));
        None
    }

    /// Reads a string.
    pub fn string(&self) -> Option<&'d str> {
        match self.value {
            Value::StringLit(literal) => Some(&literal.value),
            _ => self.report_type("a string"),
        }
    }

    /// Reads a string that is not blank and has no control characters.
    pub fn text(&self) -> Option<String> {
        let text = self.string()?;
        if text.trim().is_empty() {
            self.report("the text is empty");
            return None;
        }
        if text.chars().any(char::is_control) {
            self.report("the text has control characters");
            return None;
        }
        Some(text.to_owned())
    }

    /// Parses a string as a value of another type, such as an id.
    pub fn parse<T>(&self) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.string()?.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.report(e.to_string());
                None
            }
        }
    }

    /// Reads a string that must be one of the `known` names.
    pub fn choice<T: FromStr>(&self, known: &[&str]) -> Option<T> {
        let text = self.string()?;
        let parsed = known.contains(&text).then(|| text.parse().ok()).flatten();
        if parsed.is_none() {
            let names = known.join("`, `");
            let suggestion = suggest(text, known.iter().copied());
            let message = format!("unknown value `{text}`; expected one of `{names}`");
            self.report_with_suggestion(message, suggestion);
        }
        parsed
    }

    /// Reads `true` or `false`.
    pub fn boolean(&self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => self.report_type("true or false"),
        }
    }

    /// Reads a whole number within `range`.
    pub fn integer(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::NumberLit(literal) = self.value else {
            return self.report_type("a whole number");
        };
        let parsed = number::integer(literal.value, &range);
        parsed.map_err(|e| self.report(e)).ok()
    }

    /// Reads a number within `range`.
    pub fn decimal(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let Value::NumberLit(literal) = self.value else {
            return self.report_type("a number");
        };
        let parsed = number::decimal(literal.value, &range);
        parsed.map_err(|e| self.report(e)).ok()
    }

    /// Reads a whole number of milliseconds within `range`.
    pub fn millis(&self, range: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(range).map(Duration::from_millis)
    }

    /// Reads an object whose keys are among `known`. Unknown and repeated keys are reported.
    pub fn object(&self, known: &'static [&'static str]) -> Option<Object<'d>> {
        match self.value {
            Value::Object(object) => Some(Object::new(self, object, known)),
            _ => self.report_type("an object"),
        }
    }

    /// Reads an array and calls `read` on each element.
    ///
    /// Elements for which `read` returns `None` are left out of the list, which is then marked as
    /// incomplete.
    pub fn list<T>(&self, mut read: impl FnMut(&Node<'d>) -> Option<T>) -> Option<Listed<'d, T>> {
        let Value::Array(array) = self.value else {
            return self.report_type("an array");
        };
        let mut listed = Listed::new(self.clone());
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.path);
            let node = Node::new(self.collector, value, path);
            let element = read(&node);
            listed.push(node, element);
        }
        Some(listed)
    }
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}
