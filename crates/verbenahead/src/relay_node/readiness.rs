//! Whether a relaying node wants new connections.

use std::sync::Arc;

use axum::{Router, extract::State, http::StatusCode, routing::get};
use verbenahead_relay::RouteView;

use crate::node::readiness::{Readiness, ReadinessState};

/// `ReadinessQuestion` is what the answer depends on.
#[derive(Clone)]
pub struct ReadinessQuestion {
    /// State of the node.
    pub state: Arc<Readiness>,
    /// Routes in force.
    pub routes: RouteView,
}

impl ReadinessQuestion {
    /// Returns whether the node wants new connections.
    pub fn is_ready(&self) -> bool {
        self.state.state() == ReadinessState::Serving && self.routes.borrow().is_some()
    }
}

/// Returns the routes of the balancer's listener.
pub fn router(question: ReadinessQuestion) -> Router {
    Router::new()
        .route("/readiness", get(answer))
        .with_state(question)
}

async fn answer(State(question): State<ReadinessQuestion>) -> StatusCode {
    match question.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
