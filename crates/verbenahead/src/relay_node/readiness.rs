//! The readiness check, by which the load balancer learns whether a relaying node takes new
//! connections.

use std::sync::Arc;

use axum::{Router, extract::State, http::StatusCode, routing::get};
use verbenahead_relay::RouteView;

use crate::node::readiness::{Readiness, ReadinessState};

/// `ReadinessSource` is the state that decides whether the node is ready.
#[derive(Clone)]
pub struct ReadinessSource {
    /// Readiness state of the process.
    pub state: Arc<Readiness>,
    /// Routes in force.
    pub routes: RouteView,
}

impl ReadinessSource {
    /// Returns whether the node takes new connections: it is serving and has routes.
    pub fn is_ready(&self) -> bool {
        self.state.state() == ReadinessState::Serving && self.routes.borrow().is_some()
    }
}

/// Returns the router of the listener for the load balancer.
pub fn router(source: ReadinessSource) -> Router {
    Router::new()
        .route("/readiness", get(get_readiness))
        .with_state(source)
}

async fn get_readiness(State(source): State<ReadinessSource>) -> StatusCode {
    match source.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
