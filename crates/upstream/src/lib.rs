//! Clients of model engines and plain services.

pub mod engine;
pub mod errors;

pub use engine::{
    Engine, FinishReason, Frame, FrameEvent, FrameStream, GenerateRequest, KvBlocks, LoadReport,
    Order, OrderKind, OrderOutcome, UpstreamAddress,
};
pub use errors::{Error, Result};
