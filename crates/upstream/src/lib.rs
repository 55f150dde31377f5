//! Clients for the upstreams: model engines and plain HTTP services.

mod connect;
pub mod connections;
pub mod engine;
pub mod errors;
pub mod http_engine;
pub mod plain_service;
pub mod response_body;
pub mod segmented_body;
pub mod upstream_socket;

pub use connections::{Connections, ConnectionsOptions, Reuse};
pub use engine::{
    Engine, FinishReason, Frame, FrameEvent, FrameStream, GenerateRequest, KvBlocks, LoadReport,
    Order, OrderKind, OrderOutcome, StartedAnswer, UpstreamAddress,
};
pub use errors::{Error, Result};
pub use http_engine::HttpEngine;
pub use plain_service::{PlainCall, PlainReply, PlainServiceClient};
pub use response_body::UpstreamBody;
pub use segmented_body::SegmentedBody;
pub use upstream_socket::UpstreamSocket;
