//! Parsing and validation of a manifest, which collects all findings.

mod fleet;
mod objectives;
mod plain;
mod references;
mod service;
mod workspace;

use verbenahead_core::{
    document::{self, Listed, Node, Object},
    findings::Findings,
};

use crate::model::{Manifest, ObjectiveOverride, Service, Workspace};

const MANIFEST_KEYS: &[&str] = &[
    "deployment",
    "availability_zones",
    "workspaces",
    "services",
    "objective_overrides",
];

/// Parses and validates a manifest in JSON with comments.
///
/// `file` is the file name in findings.
///
/// # Errors
///
/// Returns all findings, each with its line, column and path.
pub fn parse(file: &str, text: &str) -> Result<Manifest, Findings> {
    document::read(file, text, read_manifest)
}

fn read_manifest(node: &Node<'_>) -> Option<Manifest> {
    let object = node.object(MANIFEST_KEYS)?;
    let deployment = object.required("deployment").and_then(|node| node.text());
    let zones = object.required("availability_zones").and_then(|node| {
        let zones = node.list(Node::parse)?;
        let zones = zones.not_empty("availability zone");
        Some(zones.unique("availability zone", Clone::clone))
    });
    let workspaces = object
        .required("workspaces")
        .and_then(|node| workspace::read_list(&node));
    let services = object
        .required("services")
        .and_then(|node| service::read_list(&node, zones.as_ref()));
    let overrides = read_overrides(&object, workspaces.as_ref(), services.as_ref());
    Some(Manifest {
        deployment: deployment?,
        availability_zones: zones?.into_values(),
        workspaces: workspaces?.into_values(),
        services: services?.into_values(),
        objective_overrides: overrides?,
    })
}

fn read_overrides(
    object: &Object<'_>,
    workspaces: Option<&Listed<'_, Workspace>>,
    services: Option<&Listed<'_, Service>>,
) -> Option<Vec<ObjectiveOverride>> {
    object.read_or("objective_overrides", Vec::new(), |node| {
        objectives::read_overrides(node, workspaces, services)
    })
}
