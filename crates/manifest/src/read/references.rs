//! Validation of ids that refer to other parts of the manifest.

use std::fmt::Display;

use verbenahead_core::{
    document::{Listed, Node},
    findings::suggest,
};

/// Reports an id that is not in `known`. Reports nothing if the list is incomplete, since the id
/// may belong to an element that could not be parsed.
pub(super) fn check_known<T, I>(
    node: &Node<'_>,
    kind: &str,
    id: &I,
    known: Option<&Listed<'_, T>>,
    id_of: impl Fn(&T) -> &I,
) where
    I: PartialEq + Display + AsRef<str>,
{
    let Some(known) = known.filter(|known| known.is_complete()) else {
        return;
    };
    let ids: Vec<&I> = known.iter().map(|entry| id_of(&entry.value)).collect();
    if ids.contains(&id) {
        return;
    }
    let names = ids.iter().map(|id| (*id).as_ref());
    let suggestion = suggest(id.as_ref(), names);
    node.report_with_suggestion(format!("unknown {kind} `{id}`"), suggestion);
}
