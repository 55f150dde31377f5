//! Checks of ids that refer to other parts of the manifest.

use std::fmt::Display;

use verbenahead_core::{
    document::{Listed, Node},
    findings::suggest,
};

/// Reports an id that the list does not have. An incomplete list proves nothing.
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
