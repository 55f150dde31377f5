//! Parsing of service-level objectives.

use verbenahead_core::document::{Listed, Node, Object};

use crate::model::{ObjectiveOverride, Objectives, Service, Workspace};

use super::references::check_known;

const OBJECTIVE_KEYS: &[&str] = &[
    "first_token_ms",
    "inter_token_ms",
    "latency_ratio",
    "availability_ratio",
];

const OVERRIDE_KEYS: &[&str] = &[
    "workspace",
    "service",
    "first_token_ms",
    "inter_token_ms",
    "latency_ratio",
    "availability_ratio",
];

/// Maximum latency objective, in milliseconds.
const MAX_OBJECTIVE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Bounds of a ratio. A ratio of 1 would leave no error budget.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 0.999_999;

/// Parses the objectives of a service. Missing keys take the default.
pub(super) fn read(node: &Node<'_>) -> Option<Objectives> {
    let object = node.object(OBJECTIVE_KEYS)?;
    read_keys(&object, Objectives::default())
}

fn read_keys(object: &Object<'_>, base: Objectives) -> Option<Objectives> {
    let ratio = |key, base| {
        object.read_or(key, base, |node: &Node<'_>| {
            node.decimal(MIN_RATIO..=MAX_RATIO)
        })
    };
    let millis = |key, base| {
        object.read_or(key, base, |node: &Node<'_>| {
            node.millis(1..=MAX_OBJECTIVE_MS)
        })
    };
    let first_token = millis("first_token_ms", base.first_token);
    let inter_token = millis("inter_token_ms", base.inter_token);
    let latency_ratio = ratio("latency_ratio", base.latency_ratio);
    let availability_ratio = ratio("availability_ratio", base.availability_ratio);
    Some(Objectives {
        first_token: first_token?,
        inter_token: inter_token?,
        latency_ratio: latency_ratio?,
        availability_ratio: availability_ratio?,
    })
}

/// Parses the objectives of single workspaces. Missing keys take the value of the service.
pub(super) fn read_overrides(
    node: &Node<'_>,
    workspaces: Option<&Listed<'_, Workspace>>,
    services: Option<&Listed<'_, Service>>,
) -> Option<Vec<ObjectiveOverride>> {
    let listed = node.list(|node| read_override(node, workspaces, services))?;
    let pair = |entry: &ObjectiveOverride| format!("{} at {}", entry.workspace, entry.service);
    let listed = listed.unique("override for", pair);
    Some(listed.into_values())
}

fn read_override(
    node: &Node<'_>,
    workspaces: Option<&Listed<'_, Workspace>>,
    services: Option<&Listed<'_, Service>>,
) -> Option<ObjectiveOverride> {
    let object = node.object(OVERRIDE_KEYS)?;
    let workspace = object.required("workspace").and_then(|node| {
        let id = node.parse()?;
        check_known(&node, "workspace", &id, workspaces, |w| &w.id);
        Some(id)
    });
    let service = object.required("service").and_then(|node| {
        let id = node.parse()?;
        check_known(&node, "service", &id, services, |s| &s.id);
        Some(id)
    });
    let base = service
        .as_ref()
        .and_then(|id| services?.iter().find(|entry| entry.value.id == *id))
        .map(|entry| entry.value.objectives)
        .unwrap_or_default();
    let objectives = read_keys(&object, base);
    Some(ObjectiveOverride {
        workspace: workspace?,
        service: service?,
        objectives: objectives?,
    })
}
