//! The account of one request.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;
use serde_json::Value;

use crate::explain::LogLine;

/// Messages of lines that decide a request, the most telling ones first. What ended the last
/// attempt says more than the end that followed from it.
const DECIDING: [&str; 7] = [
    "quota used up",
    "request refused",
    "repeat budget used up",
    "stream interrupted",
    "answer broke off",
    "attempt without an answer",
    "replica failed the request",
];

/// Message of the line that ends a request.
const ENDED: &str = "request ended";

/// `RequestAccount` tells what became of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestAccount {
    /// Id of the request.
    pub request: String,
    /// Lines about the request, in the order of their times.
    pub lines: Vec<LogLine>,
    /// Index of the line that decided what the caller got.
    pub deciding: Option<usize>,
    /// What the nodes came to believe of its replicas and of what they depend on, before it ended.
    pub beliefs: Vec<LogLine>,
}

impl RequestAccount {
    /// Puts the lines about a request together.
    pub fn of(request: &str, log: &[LogLine]) -> Self {
        let mut lines: Vec<LogLine> = log
            .iter()
            .filter(|line| line.is_about(request))
            .cloned()
            .collect();
        lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
        let beliefs = beliefs(&lines, log);
        Self {
            request: request.to_owned(),
            deciding: deciding(&lines),
            lines,
            beliefs,
        }
    }

    /// Returns whether no line is about the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Returns the line that decided: of a request that was answered, its end; else the last line that
/// tells why not.
fn deciding(lines: &[LogLine]) -> Option<usize> {
    let end = lines.iter().rposition(|line| line.message == ENDED);
    let is_answered = |index: usize| lines[index].text("result") == Some("answered");
    if end.is_some_and(is_answered) {
        return end;
    }
    let last_of = |message: &&str| lines.iter().rposition(|line| line.message == **message);
    DECIDING.iter().find_map(last_of).or(end)
}

/// Returns what nodes of the request learnt before its end: of its replicas, and of dependencies.
fn beliefs(lines: &[LogLine], log: &[LogLine]) -> Vec<LogLine> {
    let Some(end) = lines.last().map(|line| line.timestamp.as_str()) else {
        return Vec::new();
    };
    let nodes: BTreeSet<&str> = lines.iter().map(|line| line.node.as_str()).collect();
    let replicas: BTreeSet<&str> = lines.iter().filter_map(|l| l.text("upstream")).collect();
    let is_known = |line: &&LogLine| {
        let is_replica = line
            .text("upstream")
            .is_some_and(|id| replicas.contains(id));
        let is_earlier = line.timestamp.as_str() <= end;
        let is_here = nodes.contains(line.node.as_str());
        is_earlier
            && is_here
            && !line.fields.contains_key("request")
            && (is_replica || line.fields.contains_key("dependency"))
    };
    let mut known: Vec<LogLine> = log.iter().filter(is_known).cloned().collect();
    known.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    known
}

impl fmt::Display for RequestAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for (index, line) in self.lines.iter().enumerate() {
            let mark = if self.deciding == Some(index) {
                '>'
            } else {
                ' '
            };
            writeln!(f, "{mark} {}", Shown(line))?;
        }
        if !self.beliefs.is_empty() {
            writeln!(f, "known to its nodes before it ended")?;
        }
        for line in &self.beliefs {
            writeln!(f, "  {}", Shown(line))?;
        }
        match self.deciding.map(|index| &self.lines[index]) {
            Some(line) => write!(f, "decided by: {}", Shown(line)),
            None => write!(f, "no line tells what decided"),
        }
    }
}

/// `Shown` shows a line without the id of the request.
struct Shown<'a>(&'a LogLine);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogLine {
            node,
            timestamp,
            message,
            fields,
        } = self.0;
        write!(f, "{timestamp} {node}: {message}")?;
        for (field, value) in fields.iter().filter(|(field, _)| *field != "request") {
            match value {
                Value::String(text) => write!(f, " {field}={text}")?,
                value => write!(f, " {field}={value}")?,
            }
        }
        Ok(())
    }
}
