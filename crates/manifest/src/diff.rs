//! Differences between two manifests.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{model::Manifest, wire::ManifestWire};

/// `Change` is one difference between an old and a new manifest.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// The value exists only in the new manifest.
    #[display("+ {path}: {after}")]
    Added {
        /// Path of the value, such as `services[drafting].fleet`.
        path: String,
        /// The new value.
        after: Value,
    },
    /// The value exists only in the old manifest.
    #[display("- {path}: {before}")]
    Removed {
        /// Path of the value.
        path: String,
        /// The old value.
        before: Value,
    },
    /// The value differs between the two manifests.
    #[display("~ {path}: {before} -> {after}")]
    Changed {
        /// Path of the value.
        path: String,
        /// The old value.
        before: Value,
        /// The new value.
        after: Value,
    },
}

/// Returns the changes from `old` to `new`.
///
/// Workspaces, services and VM classes are matched by their names, so their order is not compared.
/// Call rules are matched by their position, since the first matching rule decides.
pub fn diff(old: &Manifest, new: &Manifest) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", &to_value(old), &to_value(new), &mut changes);
    changes
}

fn to_value(manifest: &Manifest) -> Value {
    let wire = ManifestWire::from(manifest);
    serde_json::to_value(wire).unwrap_or_default()
}

fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => compare_objects(path, old, new, changes),
        (Value::Array(old), Value::Array(new)) => compare_arrays(path, old, new, changes),
        _ if old != new => changes.push(Change::Changed {
            path: path.to_owned(),
            before: old.clone(),
            after: new.clone(),
        }),
        _ => {}
    }
}

fn compare_objects(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let path_of = |key: &str| match path {
        "" => key.to_owned(),
        path => format!("{path}.{key}"),
    };
    for (key, before) in old {
        compare_optional(&path_of(key), Some(before), new.get(key), changes);
    }
    for (key, after) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        compare_optional(&path_of(key), None, Some(after), changes);
    }
}

fn compare_arrays(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    let old = with_match_keys(old);
    let new = with_match_keys(new);
    let find = |list: &[(String, Value)], name: &str| {
        let found = list.iter().find(|(candidate, _)| candidate == name);
        found.map(|(_, value)| value.clone())
    };
    for (name, before) in &old {
        let path = format!("{path}[{name}]");
        compare_optional(&path, Some(before), find(&new, name).as_ref(), changes);
    }
    for (name, after) in &new {
        if find(&old, name).is_none() {
            let path = format!("{path}[{name}]");
            compare_optional(&path, None, Some(after), changes);
        }
    }
}

fn compare_optional(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    match (old, new) {
        (Some(before), Some(after)) => compare(path, before, after, changes),
        (Some(before), None) => changes.push(Change::Removed {
            path: path.to_owned(),
            before: before.clone(),
        }),
        (None, Some(after)) => changes.push(Change::Added {
            path: path.to_owned(),
            after: after.clone(),
        }),
        (None, None) => {}
    }
}

/// Pairs each element of an array with the key by which it is matched: its name, or its index if
/// it has none.
fn with_match_keys(array: &[Value]) -> Vec<(String, Value)> {
    let name = |(index, value): (usize, &Value)| {
        let name = element_name(value).unwrap_or_else(|| index.to_string());
        (name, value.clone())
    };
    array.iter().enumerate().map(name).collect()
}

fn element_name(value: &Value) -> Option<String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str).map(str::to_owned);
    if let Value::String(text) = value {
        return Some(text.clone());
    }
    if let (Some(workspace), Some(service)) = (text("workspace"), text("service")) {
        return Some(format!("{workspace} at {service}"));
    }
    text("id")
        .or_else(|| text("name"))
        .or_else(|| text("availability_zone"))
}
