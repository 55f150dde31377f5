//! Reading of charts: from text to names with places.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use super::{
    place::Text,
    raw::{Name, RawChart, RawState, RawTransition},
};
use crate::findings::{Finding, Findings, suggest};

const CHART_KEYS: &[&str] = &["initial", "states", "transitions"];
const STATE_KEYS: &[&str] = &["state", "superstate", "final"];
const TRANSITION_KEYS: &[&str] = &["state", "event", "guard", "action", "target"];

/// Reads a chart and refuses any other shape than the documented one.
pub(super) fn read(file: &str, text: &str) -> Result<RawChart, Findings> {
    let mut reader = Reader {
        text: Text { file, text },
        findings: Findings::default(),
    };
    let chart = reader.chart();
    let chart = reader.findings.into_result(chart)?;
    Ok(chart.expect("a chart without findings has been read"))
}

struct Reader<'a> {
    text: Text<'a>,
    findings: Findings,
}

impl Reader<'_> {
    fn chart(&mut self) -> Option<RawChart> {
        let text = self.text.text;
        let options = ParseOptions::default();
        let parsed = match parse_to_ast(text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed,
            Err(e) => {
                self.add(e.range().start, "", e.kind().to_string());
                return None;
            }
        };
        let Some(Value::Object(object)) = &parsed.value else {
            self.add(0, "", "the chart is not an object".to_owned());
            return None;
        };
        self.check_keys(object, "", CHART_KEYS);
        let initial = self.required_name(object, "", "initial");
        let states = self.objects(object, "states", Self::state);
        let transitions = self.objects(object, "transitions", Self::transition);
        Some(RawChart {
            initial: initial?,
            states,
            transitions,
        })
    }

    fn state(&mut self, object: &Object<'_>, path: &str) -> Option<RawState> {
        self.check_keys(object, path, STATE_KEYS);
        let is_final = self.flag(object, path, "final");
        let superstate = self.name(object, path, "superstate");
        Some(RawState {
            state: self.required_name(object, path, "state")?,
            superstate,
            is_final,
        })
    }

    fn transition(&mut self, object: &Object<'_>, path: &str) -> Option<RawTransition> {
        self.check_keys(object, path, TRANSITION_KEYS);
        let state = self.required_name(object, path, "state");
        let event = self.required_name(object, path, "event");
        let guard = self.name(object, path, "guard");
        let action = self.name(object, path, "action");
        let target = self.name(object, path, "target");
        if action.is_none() && target.is_none() {
            let message = "the transition has neither an action nor a target".to_owned();
            self.add(object.range.start, path, message);
        }
        Some(RawTransition {
            state: state?,
            event: event?,
            guard,
            action,
            target,
        })
    }

    fn objects<T>(
        &mut self,
        parent: &Object<'_>,
        key: &str,
        mut read: impl FnMut(&mut Self, &Object<'_>, &str) -> Option<T>,
    ) -> Vec<T> {
        let Some(property) = parent.get(key) else {
            self.add(parent.range.start, key, format!("`{key}` is missing"));
            return Vec::new();
        };
        let Value::Array(array) = &property.value else {
            let start = property.value.range().start;
            self.add(start, key, format!("`{key}` is not an array"));
            return Vec::new();
        };
        let mut items = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{key}[{index}]");
            match value {
                Value::Object(object) => items.extend(read(self, object, &path)),
                other => self.add(other.range().start, &path, "it is not an object".to_owned()),
            }
        }
        items
    }

    fn required_name(&mut self, object: &Object<'_>, path: &str, key: &str) -> Option<Name> {
        if object.get(key).is_none() {
            self.add(object.range.start, path, format!("`{key}` is missing"));
        }
        self.name(object, path, key)
    }

    fn name(&mut self, object: &Object<'_>, path: &str, key: &str) -> Option<Name> {
        let property = object.get(key)?;
        let path = join(path, key);
        let start = property.value.range().start;
        let Value::StringLit(literal) = &property.value else {
            self.add(start, &path, format!("`{key}` is not a string"));
            return None;
        };
        Some(Name {
            text: literal.value.to_string(),
            place: self.text.place(start, path),
        })
    }

    fn flag(&mut self, object: &Object<'_>, path: &str, key: &str) -> bool {
        match object.get(key).map(|property| &property.value) {
            None => false,
            Some(Value::BooleanLit(literal)) => literal.value,
            Some(other) => {
                let message = format!("`{key}` is not a boolean");
                self.add(other.range().start, &join(path, key), message);
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
        let place = self.text.place(property.range.start, join(path, key));
        self.findings.push(Finding {
            place,
            message: format!("unknown key `{key}`"),
            suggestion: suggest(key, known.iter().copied()).map(str::to_owned),
        });
    }

    fn add(&mut self, offset: usize, path: &str, message: String) {
        self.findings.push(Finding {
            place: self.text.place(offset, path.to_owned()),
            message,
            suggestion: None,
        });
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
