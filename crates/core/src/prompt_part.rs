//! Parts of prompts, as nodes tell each other about them.

use derive_more::Display;

use crate::time::UnixMillis;

/// `PartKey` identifies a part of the prompts of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{service:08x}/{id:x}")]
pub struct PartKey {
    /// Hash of the id of the service.
    pub service: u32,
    /// Id of the part, the same in all prompts that contain it.
    pub id: u64,
}

/// `QuarantinedPart` is a part of prompts that must not reach replicas, because it crashes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartKey,
    /// End of the quarantine.
    pub until: UnixMillis,
    /// Number of times that the part was quarantined.
    pub times: u32,
}
