//! What a request has in common with others.

use std::sync::Arc;

use derive_more::Deref;
use verbenahead_core::{ContentKey, ContentKind, ServiceId};
use verbenahead_membership::NameKey;

use crate::{dialect::PromptPart, fingerprint::Fingerprint};

/// `RequestContent` holds the keys of the content of one request: the request itself, then the parts of
/// its prompt, the more specific after the more general.
#[derive(Debug, Clone, PartialEq, Eq, Deref)]
pub struct RequestContent(Arc<[ContentKey]>);

impl RequestContent {
    /// Returns the content of a request to `service` whose prompt shares `parts` with others.
    pub fn new(service: &ServiceId, fingerprint: Fingerprint, parts: &[PromptPart]) -> Self {
        let service = NameKey::from(service).0;
        let request = ContentKey {
            service,
            kind: ContentKind::Request,
            id: fingerprint.0,
        };
        let parts = parts.iter().map(|part| ContentKey {
            service,
            kind: ContentKind::PromptPart,
            id: part.id,
        });
        Self(std::iter::once(request).chain(parts).collect())
    }

    /// Returns the fingerprint of the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.0[0].id)
    }
}
