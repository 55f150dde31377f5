//! Content that requests have in common, as nodes tell each other about it.

use derive_more::Display;

use crate::time::UnixMillis;

/// `ContentKind` tells what of a request a [`ContentKey`] identifies. Later kinds are more specific.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum ContentKind {
    /// A part of the prompt, which other prompts may contain too.
    #[default]
    #[display("part")]
    PromptPart,
    /// The whole request, which callers may send again.
    #[display("request")]
    Request,
}

/// `ContentKey` identifies content of the requests to one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{kind}/{service:08x}/{id:x}")]
pub struct ContentKey {
    /// Hash of the id of the service.
    pub service: u32,
    /// Kind of the content.
    pub kind: ContentKind,
    /// Id of the part, or fingerprint of the request: the same for all requests with this content.
    pub id: u64,
}

/// `QuarantinedContent` is content that must not reach replicas, because it crashes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedContent {
    /// The content.
    pub key: ContentKey,
    /// End of the quarantine.
    pub until: UnixMillis,
    /// Number of times that the content was quarantined.
    pub times: u32,
}
