//! Parsing of charts into names with places.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use super::{
    raw::{Name, RawChart, RawState, RawTransition},
    source::Source,
};
use crate::findings::{Finding, Findings, suggest};

const CHART_KEYS: &[&str] = &["initial", "states", "transitions"];
const STATE_KEYS: &[&str] = &["state", "superstate", "final"];
const TRANSITION_KEYS: &[&str] = &["state", "event", "guard", "action", "target"];

/// Parses a chart and reports missing keys, unknown keys and values of a wrong type.
pub(super) fn read(file: &str, text: &str) -> Result<RawChart, Findings> {
    let mut reader = Reader {
        source: Source { file, text },
        findings: Findings::default(),
    };
    let chart = reader.read_chart();
    let chart = reader.findings.into_result(chart)?;
    Ok(chart.expect("a chart without findings has been built"))
}

struct Reader<'a> {
    source: Source<'a>,
    findings: Findings,
}

impl Reader<'_> {
    fn read_chart(&mut self) -> Option<RawChart> {
        let text = self.source.text;
        let options = ParseOptions::default();
        let parsed = match parse_to_ast(text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed,
            Err(e) => {
                self.report(e.range().start, "", e.kind().to_string());
                return None;
            }
        };
        let Some(Value::Object(object)) = &parsed.value else {
            self.report(0, "", "the chart is not an object".to_owned());
            return None;
        };
        self.check_keys(object, "", CHART_KEYS);
        let initial = self.read_required_name(object, "", "initial");
        let states = self.read_objects(object, "states", Self::read_state);
        let transitions = self.read_objects(object, "transitions", Self::read_transition);
        Some(RawChart {
            initial: initial?,
            states,
            transitions,
        })
    }

    fn read_state(&mut self, object: &Object<'_>, path: &str) -> Option<RawState> {
        self.check_keys(object, path, STATE_KEYS);
        let is_final = self.read_flag(object, path, "final");
        let superstate = self.read_name(object, path, "superstate");
        Some(RawState {
            state: self.read_required_name(object, path, "state")?,
            superstate,
            is_final,
        })
    }

    fn read_transition(&mut self, object: &Object<'_>, path: &str) -> Option<RawTransition> {
        self.check_keys(object, path, TRANSITION_KEYS);
        let state = self.read_required_name(object, path, "state");
        let event = self.read_required_name(object, path, "event");
        let guard = self.read_name(object, path, "guard");
        let action = self.read_name(object, path, "action");
        let target = self.read_name(object, path, "target");
        if action.is_none() && target.is_none() {
            let message = "the transition has neither an action nor a target".to_owned();
            self.report(object.range.start, path, message);
        }
        Some(RawTransition {
            state: state?,
            event: event?,
            guard,
            action,
            target,
        })
    }

    fn read_objects<T>(
        &mut self,
        parent: &Object<'_>,
        key: &str,
        mut read: impl FnMut(&mut Self, &Object<'_>, &str) -> Option<T>,
    ) -> Vec<T> {
        let Some(property) = parent.get(key) else {
            self.report(parent.range.start, key, format!("`{key}` is missing"));
            return Vec::new();
        };
        let Value::Array(array) = &property.value else {
            let start = property.value.range().start;
            self.report(start, key, format!("`{key}` is not an array"));
            return Vec::new();
        };
        let mut items = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{key}[{index}]");
            match value {
                Value::Object(object) => items.extend(read(self, object, &path)),
                other => self.report(other.range().start, &path, "it is not an object".to_owned()),
            }
        }
        items
    }

    fn read_required_name(&mut self, object: &Object<'_>, path: &str, key: &str) -> Option<Name> {
        if object.get(key).is_none() {
            self.report(object.range.start, path, format!("`{key}` is missing"));
        }
        self.read_name(object, path, key)
    }

    fn read_name(&mut self, object: &Object<'_>, path: &str, key: &str) -> Option<Name> {
        let property = object.get(key)?;
        let path = join_path(path, key);
        let start = property.value.range().start;
        let Value::StringLit(literal) = &property.value else {
            self.report(start, &path, format!("`{key}` is not a string"));
            return None;
        };
        Some(Name {
            text: literal.value.to_string(),
            place: self.source.place(start, path),
        })
    }

    fn read_flag(&mut self, object: &Object<'_>, path: &str, key: &str) -> bool {
        match object.get(key).map(|property| &property.value) {
            None => false,
            Some(Value::BooleanLit(literal)) => literal.value,
            Some(other) => {
                let message = format!("`{key}` is not a boolean");
                self.report(other.range().start, &join_path(path, key), message);
                false
            }
        }
    }

    fn check_keys(&mut self, object: &Object<'_>, path: &str, known: &[&str]) {
        for property in &object.properties {
            self.check_key(property, path, known);
        }
    }

    fn check_key(&mut self, property: &ObjectProp<'_>, path: &str, known: &[&str]) {
        let key = property.name.as_str();
        if known.contains(&key) {
            return;
        }
        let place = self
            .source
            .place(property.range.start, join_path(path, key));
        self.findings.push(Finding {
            place,
            message: format!("unknown key `{key}`"),
            suggestion: suggest(key, known.iter().copied()).map(str::to_owned),
        });
    }

    fn report(&mut self, offset: usize, path: &str, message: String) {
        self.findings.push(Finding {
            place: self.source.place(offset, path.to_owned()),
            message,
            suggestion: None,
        });
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
