//! Parsing of plain services.

use std::time::Duration;

use verbenahead_core::document::{Listed, Node, Object};

use crate::model::{CallRule, MissingKeyPolicy, PlainService};

const PLAIN_KEYS: &[&str] = &["calls", "ledger_retention_ms"];

const CALL_KEYS: &[&str] = &["method", "path_prefix", "idempotent", "missing_key"];

const METHODS: &[&str] = &[
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
];

const MISSING_KEY_POLICIES: &[&str] = &["refuse", "generate"];

const DEFAULT_LEDGER_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Bounds of the time for which the ledger keeps a row, in milliseconds.
const MIN_RETENTION_MS: u64 = 1_000;
const MAX_RETENTION_MS: u64 = 400 * 24 * 60 * 60 * 1_000;

/// Parses a plain service.
pub(super) fn read(node: &Node<'_>) -> Option<PlainService> {
    let object = node.object(PLAIN_KEYS)?;
    let calls = object
        .required("calls")
        .and_then(|node| node.list(read_call))
        .map(|calls| calls.not_empty("call rule"));
    if let Some(calls) = &calls {
        check_reachable(calls);
    }
    let retention = object.read_or("ledger_retention_ms", DEFAULT_LEDGER_RETENTION, |node| {
        node.millis(MIN_RETENTION_MS..=MAX_RETENTION_MS)
    });
    Some(PlainService {
        calls: calls?.into_values(),
        ledger_retention: retention?,
    })
}

fn read_call(node: &Node<'_>) -> Option<CallRule> {
    let object = node.object(CALL_KEYS)?;
    let method = object
        .required("method")
        .and_then(|node| node.choice(METHODS));
    let path_prefix = object
        .required("path_prefix")
        .and_then(|node| read_prefix(&node));
    let idempotent = object
        .required("idempotent")
        .and_then(|node| node.boolean());
    let missing_key = read_missing_key(&object, idempotent);
    Some(CallRule {
        method: method?,
        path_prefix: path_prefix?,
        idempotent: idempotent?,
        missing_key: missing_key?,
    })
}

fn read_missing_key(object: &Object<'_>, idempotent: Option<bool>) -> Option<MissingKeyPolicy> {
    object.read_or("missing_key", MissingKeyPolicy::default(), |node| {
        if idempotent == Some(true) {
            node.report("`missing_key` has no effect on an idempotent call");
        }
        node.choice(MISSING_KEY_POLICIES)
    })
}

fn read_prefix(node: &Node<'_>) -> Option<String> {
    let prefix = node.text()?;
    if !prefix.starts_with('/') {
        node.report("a path prefix starts with `/`");
        return None;
    }
    if prefix.contains(['?', '#']) || prefix.contains(char::is_whitespace) {
        node.report("a path prefix has no query, fragment or blank");
        return None;
    }
    Some(prefix)
}

/// Reports rules that are never used because an earlier rule matches all of their calls.
fn check_reachable(calls: &Listed<'_, CallRule>) {
    let rules: Vec<_> = calls.iter().collect();
    for (index, later) in rules.iter().enumerate() {
        let covering = rules[..index]
            .iter()
            .find(|earlier| covers(&earlier.value, &later.value));
        if let Some(earlier) = covering {
            let path = earlier.node.path();
            let message = format!("the rule is never used, since {path} matches all of its calls");
            later.node.report(message);
        }
    }
}

fn covers(earlier: &CallRule, later: &CallRule) -> bool {
    let is_method = earlier.method == "*" || earlier.method == later.method;
    is_method && later.path_prefix.starts_with(&earlier.path_prefix)
}
