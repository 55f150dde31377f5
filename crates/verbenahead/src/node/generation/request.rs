//! Parameters of a model request.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{RequestId, ServiceId, WorkspaceId, units::Tokens};
use verbenahead_manifest::Manifest;

/// `GenerationRequest` is one admitted model request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Service that answers.
    pub service: ServiceId,
    /// Manifest under which the request was admitted.
    pub manifest: Arc<Manifest>,
    /// Name of the model.
    pub model: String,
    /// Prompt as a single string.
    pub prompt: String,
    /// Sampling seed.
    pub seed: u64,
    /// Maximum number of tokens in the answer.
    pub max_tokens: Tokens,
    /// Priority, from 0 to 255.
    pub priority: u8,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Longest time that an attempt may go without progress.
    pub progress_timeout: Duration,
}
