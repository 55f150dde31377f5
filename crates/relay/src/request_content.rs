//! What a request has in common with others.

use std::sync::Arc;

use derive_more::Deref;
use verbenahead_core::{ContentKey, ContentKind, ServiceId};
use verbenahead_membership::NameKey;

use crate::dialect::PromptPart;

/// `RequestContent` holds the keys of the content of one request, the more specific after the more
/// general.
#[derive(Debug, Clone, PartialEq, Eq, Deref)]
pub struct RequestContent(Arc<[ContentKey]>);

impl RequestContent {
    /// Returns the content of a request to `service` whose prompt shares `parts` with others.
    pub fn new(service: &ServiceId, parts: &[PromptPart]) -> Self {
        let service = NameKey::from(service).0;
        let keys = parts.iter().map(|part| ContentKey {
            service,
            kind: ContentKind::PromptPart,
            id: part.id,
        });
        Self(keys.collect())
    }
}
