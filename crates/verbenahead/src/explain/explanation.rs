//! Explanation of the outcome of one request.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;
use serde_json::Value;

use crate::explain::LogLine;

/// Messages of lines that explain a failed request, the most specific ones first. Why the last
/// attempt ended says more than the line that ends the request.
const DECISIVE_MESSAGES: [&str; 12] = [
    "content of the request is quarantined",
    "no replica has the version that began the stream",
    "version that began the stream is not known",
    "quota used up",
    "quota without a collector",
    "no replica available",
    "request refused",
    "repeat budget used up",
    "stream interrupted",
    "answer broke off",
    "attempt without an answer",
    "replica failed the request",
];

/// Message of the last line of a request.
const END_MESSAGE: &str = "request ended";

/// `RequestExplanation` explains the outcome of a request by the log lines of its nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Id of the request.
    pub request: String,
    /// Lines about the request, ordered by time.
    pub lines: Vec<LogLine>,
    /// Index in `lines` of the line that explains what the caller got.
    #[serde(rename = "deciding")]
    pub decisive_line: Option<usize>,
    /// Lines from before the end of the request in which its nodes report on its replicas or on
    /// their own dependencies, ordered by time.
    #[serde(rename = "beliefs")]
    pub context: Vec<LogLine>,
}

impl RequestExplanation {
    /// Builds the explanation of a request from the lines of any number of logs.
    pub fn from_log(request: &str, log: &[LogLine]) -> Self {
        let mut lines: Vec<LogLine> = log
            .iter()
            .filter(|line| line.is_about(request))
            .cloned()
            .collect();
        lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
        let context = find_context(&lines, log);
        Self {
            request: request.to_owned(),
            decisive_line: find_decisive_line(&lines),
            lines,
            context,
        }
    }

    /// Returns whether no line is about the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Returns the index of the decisive line: the end of an answered request, or else the last line
/// with the most specific reason why there was no answer.
fn find_decisive_line(lines: &[LogLine]) -> Option<usize> {
    let end = lines.iter().rposition(|line| line.message == END_MESSAGE);
    let is_answered = |index: usize| lines[index].text("result") == Some("answered");
    if end.is_some_and(is_answered) {
        return end;
    }
    let last_of = |message: &&str| lines.iter().rposition(|line| line.message == **message);
    DECISIVE_MESSAGES.iter().find_map(last_of).or(end)
}

/// Returns the lines, up to the end of the request, in which its nodes report on its replicas or on
/// their dependencies.
fn find_context(lines: &[LogLine], log: &[LogLine]) -> Vec<LogLine> {
    let Some(end) = lines.last().map(|line| line.timestamp.as_str()) else {
        return Vec::new();
    };
    let nodes: BTreeSet<&str> = lines.iter().map(|line| line.node.as_str()).collect();
    let replicas: BTreeSet<&str> = lines.iter().filter_map(|l| l.text("upstream")).collect();
    let is_context = |line: &&LogLine| {
        let is_replica = line
            .text("upstream")
            .is_some_and(|id| replicas.contains(id));
        let is_earlier = line.timestamp.as_str() <= end;
        let is_on_node = nodes.contains(line.node.as_str());
        is_earlier
            && is_on_node
            && !line.fields.contains_key("request")
            && (is_replica || line.fields.contains_key("dependency"))
    };
    let mut context: Vec<LogLine> = log.iter().filter(is_context).cloned().collect();
    context.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    context
}

impl fmt::Display for RequestExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for (index, line) in self.lines.iter().enumerate() {
            let mark = if self.decisive_line == Some(index) {
                '>'
            } else {
                ' '
            };
            writeln!(f, "{mark} {}", LineText(line))?;
        }
        if !self.context.is_empty() {
            writeln!(f, "known to its nodes before it ended")?;
        }
        for line in &self.context {
            writeln!(f, "  {}", LineText(line))?;
        }
        match self.decisive_line.map(|index| &self.lines[index]) {
            Some(line) => write!(f, "decided by: {}", LineText(line)),
            None => write!(f, "no line shows what decided"),
        }
    }
}

/// `LineText` formats a line without the id of the request.
struct LineText<'a>(&'a LogLine);

impl fmt::Display for LineText<'_> {
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
