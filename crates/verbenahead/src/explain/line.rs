//! Parsing of the log lines of nodes.

use std::io::{self, BufRead};

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields that every line has. They are not part of [`LogLine::fields`].
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "message", "target"];

/// `LogLine` is one line of the log of a node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// Node that wrote the line, or the name of the log as long as no line has named the node.
    pub node: String,
    /// Time at which the line was written, in RFC 3339 format.
    pub timestamp: String,
    /// Message of the line.
    pub message: String,
    /// Remaining fields, such as ids, inputs of a decision and its outcome.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the value of a field if it is a string.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Returns whether the line has this request id.
    pub fn is_about(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }
}

/// Reads the lines of a log that are JSON objects with a message and a timestamp, and skips all
/// other lines. The last word before an object names the node, as log collectors write it; without
/// such a prefix, the line `node started` names the node. Until a line names the node, `name` is
/// used.
///
/// # Errors
///
/// Returns an error when the log cannot be read.
pub fn read_log(name: &str, log: impl BufRead) -> io::Result<Vec<LogLine>> {
    let mut node = name.to_owned();
    let mut lines = Vec::new();
    for text in log.split(b'\n') {
        let text = text?;
        let text = String::from_utf8_lossy(&text);
        let Some(start) = text.find('{') else {
            continue;
        };
        let (prefix, object) = text.split_at(start);
        let Ok(Value::Object(mut fields)) = serde_json::from_str(object) else {
            continue;
        };
        let mut take = |field: &str| match fields.remove(field) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (Some(message), Some(timestamp)) = (take("message"), take("timestamp")) else {
            continue;
        };
        COMMON_FIELDS.iter().for_each(|field| {
            take(field);
        });
        let prefix_name = prefix.split_whitespace().last();
        let node_field = || fields.get("node").and_then(Value::as_str);
        let is_start = message == "node started";
        if let Some(name) = prefix_name.or_else(|| node_field().filter(|_| is_start)) {
            node = name.to_owned();
        }
        lines.push(LogLine {
            node: node.clone(),
            timestamp,
            message,
            fields,
        });
    }
    Ok(lines)
}
