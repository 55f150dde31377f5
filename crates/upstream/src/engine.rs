//! The interface of a model engine.

use std::{net::SocketAddr, pin::Pin};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use futures_util::Stream;
use serde::{Deserialize, Serialize};
use verbenahead_core::{
    AttemptId, FencingNumber, Generation, Incarnation, UpstreamId, units::Tokens,
};

use crate::errors::Result;

/// `UpstreamAddress` tells where an upstream is reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{upstream}#{incarnation} at {address}")]
pub struct UpstreamAddress {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Life of the upstream's VM.
    pub incarnation: Incarnation,
    /// Address of the upstream.
    pub address: SocketAddr,
}

/// `GenerateRequest` asks an engine for an answer, or for the rest of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of this attempt. The engine repeats it on every frame.
    pub attempt: AttemptId,
    /// Name of the model.
    pub model: String,
    /// Prompt of the caller, as one text.
    pub prompt: String,
    /// Tokens of the answer that exist already. The engine continues after them.
    pub generated: Vec<String>,
    /// Seed of the sampling. The same seed, prompt and tokens give the same continuation.
    pub seed: u64,
    /// Most tokens of the whole answer, those in `generated` included.
    pub max_tokens: Tokens,
    /// Priority from 0 for the lowest to 255 for the highest.
    pub priority: u8,
}

/// `Frame` is one event of a stream of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Attempt to which the frame belongs.
    pub attempt: AttemptId,
    /// Position of the token in the whole answer, from 0. For the end it is the token count.
    pub position: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: FrameEvent,
}

/// `FrameEvent` is what a frame tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FrameEvent {
    /// The text of the next token.
    Token(String),
    /// The answer is complete.
    End(FinishReason),
}

/// `FinishReason` tells why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer has reached its longest length.
    Length,
}

/// `FrameStream` yields the frames of one attempt. Dropping it cancels the attempt.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame>> + Send>>;

/// `StartedAnswer` is an answer that an engine has started.
pub struct StartedAnswer {
    /// Load that the engine reported with the answer, if it did.
    pub load: Option<LoadReport>,
    /// Frames of the answer.
    pub frames: FrameStream,
}

/// `LoadReport` is an engine's own view of its load, which lags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Largest batch.
    pub batch_limit: u32,
    /// Prompt tokens that wait to be processed.
    pub queued_tokens: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// `KvBlocks` is an exported KV cache of a prompt and the tokens generated for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvBlocks(pub Bytes);

/// `Order` tells an engine what it should be. Orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fencing: FencingNumber,
    /// Generation of the manifest that asks for the state.
    pub generation: Generation,
    /// Wanted state.
    pub kind: OrderKind,
}

/// `OrderKind` is the wanted state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// The model should be loaded in this version.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// The engine should have this role.
    SetRole {
        /// Name of the role.
        role: String,
    },
}

/// `OrderOutcome` is the engine's answer to an order.
#[must_use = "an order may have been refused, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was carried out or already holds.
    Done,
    /// The engine refused the order, because it knows a later fencing number.
    Fenced(FencingNumber),
    /// The order may or may not have been carried out.
    Unknown(String),
}

/// `Engine` is a client of model engines that speak one protocol.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Starts an answer or the rest of one.
    ///
    /// # Errors
    ///
    /// An [`Error`](crate::Error) when no stream was started. The stream itself may also fail.
    async fn generate(&self, to: &UpstreamAddress, req: GenerateRequest) -> Result<StartedAnswer>;

    /// Reads the load of an engine.
    async fn load(&self, to: &UpstreamAddress) -> Result<LoadReport>;

    /// Exports the KV cache of an attempt that runs or has just been cancelled.
    async fn export_kv(&self, to: &UpstreamAddress, attempt: AttemptId) -> Result<KvBlocks>;

    /// Imports a KV cache, so that the next prompt that it fits needs no recomputation.
    async fn import_kv(&self, to: &UpstreamAddress, blocks: KvBlocks) -> Result<()>;

    /// Gives an order.
    async fn order(&self, to: &UpstreamAddress, order: &Order) -> OrderOutcome;
}
