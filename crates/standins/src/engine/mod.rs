//! Stand-in for a model engine.

mod answer;
mod attempt;
mod batch;
mod cache;
mod cache_events;
mod control_routes;
mod generate_routes;
mod load;
mod options;
mod orders;
mod state;
mod state_routes;

use std::sync::Arc;

use anyhow::Result;
use axum::{Router, extract::DefaultBodyLimit};

use crate::server::{HangUp, Server};

pub use answer::{answer_length, answer_token, expected_answer};
pub use cache::{BLOCK_TOKENS, KvBody, prefix_hashes};
pub use cache_events::{CacheEvent, CacheEventKind};
pub use control_routes::EngineBehaviour;
pub use options::EngineOptions;
pub use orders::EngineRoleState;
pub use state::EngineCounts;

use state::EngineState;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Starts an engine stand-in and registers it in the platform's list of VMs. The engine stops when
/// the returned server is dropped.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or the platform rejects the registration.
pub async fn start(options: EngineOptions) -> Result<Server> {
    let listen = options.listen;
    let registration = options.registration.clone();
    let state = Arc::new(EngineState::new(options));
    let server = Server::start(listen, router(Arc::clone(&state)), HangUp::Cancels).await?;
    tokio::spawn(batch::run(state, server.stopped()));
    registration.register(server.address()).await?;
    Ok(server)
}

fn router(state: Arc<EngineState>) -> Router {
    Router::new()
        .merge(generate_routes::routes())
        .merge(state_routes::routes())
        .merge(control_routes::routes())
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state)
}
