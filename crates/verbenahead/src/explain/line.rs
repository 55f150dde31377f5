//! Lines of the logs of nodes.

use std::io::{self, BufRead};

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields that every line has. They are shown apart from what the line is about.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "message", "target"];

/// `LogLine` is one line of the log of a node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// Node that wrote the line, or the name of the file while the log has not named one.
    pub node: String,
    /// Time of day at which it was written, RFC 3339.
    pub timestamp: String,
    /// What happened.
    pub message: String,
    /// What it is about: ids, inputs of the decision and outcome.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns a field that is text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Returns whether the line is about the request.
    pub fn is_about(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }
}

/// Reads the lines of a log that are JSON objects with a message. Text before an object names the
/// node, as collectors of logs write it. `name` stands for the node until a line names it.
///
/// # Errors
///
/// When the log cannot be read.
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
        let named = prefix.split_whitespace().last();
        let started = || fields.get("node").and_then(Value::as_str);
        let is_start = message == "node started";
        if let Some(named) = named.or_else(|| started().filter(|_| is_start)) {
            node = named.to_owned();
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
