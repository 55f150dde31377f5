//! Parsing of workspaces.

use verbenahead_core::{
    Digest, HashMap, WorkspaceId,
    document::{Listed, Node},
    units::TokenRate,
};

use crate::model::{Priority, Workspace};

const WORKSPACE_KEYS: &[&str] = &[
    "id",
    "key_digests",
    "share",
    "priority",
    "token_limit_per_s",
];

const PRIORITIES: &[&str] = &["batch", "normal", "interactive"];

/// Maximum share of a workspace.
const MAX_SHARE: u64 = 1_000_000;

/// Minimum token limit of a workspace, in tokens per second.
const MIN_TOKEN_LIMIT: f64 = 1.0;

/// Parses the workspaces and checks that their ids and keys are unique.
pub(super) fn read_list<'d>(node: &Node<'d>) -> Option<Listed<'d, Workspace>> {
    let mut digest_paths = HashMap::default();
    let listed = node.list(|node| read(node, &mut digest_paths))?;
    let listed = listed.not_empty("workspace");
    Some(listed.unique("workspace id", |workspace| workspace.id.clone()))
}

fn read(node: &Node<'_>, digest_paths: &mut HashMap<Digest, String>) -> Option<Workspace> {
    let object = node.object(WORKSPACE_KEYS)?;
    let id: Option<WorkspaceId> = object.required("id").and_then(|node| node.parse());
    let key_digests = object
        .required("key_digests")
        .and_then(|node| read_digests(&node, digest_paths));
    let share = object
        .read_or("share", 1, |node| node.integer(1..=MAX_SHARE))
        .and_then(|share| u32::try_from(share).ok());
    let priority = object.read_or("priority", Priority::default(), |node| {
        node.choice(PRIORITIES)
    });
    let token_limit = object.read_optional("token_limit_per_s", |node| {
        node.decimal(MIN_TOKEN_LIMIT..=f64::MAX).map(TokenRate)
    });
    Some(Workspace {
        id: id?,
        key_digests: key_digests?,
        share: share?,
        priority: priority?,
        token_limit: token_limit?,
    })
}

fn read_digests(
    node: &Node<'_>,
    digest_paths: &mut HashMap<Digest, String>,
) -> Option<Vec<Digest>> {
    let digests = node.list(|node| {
        let digest: Digest = node.parse()?;
        if let Some(first) = digest_paths.insert(digest, node.path().to_owned()) {
            node.report(format!("the key digest is already used at {first}"));
        }
        Some(digest)
    })?;
    Some(digests.not_empty("key digest").into_values())
}
