//! Recognition of requests that callers send again.

use derive_more::Display;
use http::{Method, Uri};
use verbenahead_core::{Digest, WorkspaceId};
use verbenahead_upstream::SegmentedBody;

use crate::dialect::PromptShape;

/// `Fingerprint` identifies what a replica sees of a request, whatever its id. Requests with the same
/// method, path, query, workspace and body have the same fingerprint on all nodes. A request without a
/// body may have its prompt in its head, which then counts too.
///
/// It is a part of a cryptographic hash, so that no caller can give a request of its own the
/// fingerprint of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(
        method: &Method,
        uri: &Uri,
        workspace: Option<&WorkspaceId>,
        body: &SegmentedBody,
        prompt: Option<&PromptShape>,
    ) -> Self {
        let target = uri.path_and_query().map_or("/", |target| target.as_str());
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        let mut content = format!("{method}\n{target}\n{workspace}\n").into_bytes();
        if let Some(prompt) = prompt.filter(|_| body.is_empty()) {
            content.extend_from_slice(&prompt.model.to_be_bytes());
            for part in &prompt.parts {
                content.extend_from_slice(&part.id.to_be_bytes());
            }
        }
        content.extend_from_slice(&Digest::of_parts(body.segments()).0);
        let mut first = [0; 8];
        first.copy_from_slice(&Digest::of(content).0[..8]);
        Self(u64::from_be_bytes(first))
    }
}
