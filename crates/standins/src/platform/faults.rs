//! Fault injection of the platform stand-in.

use std::{sync::Arc, time::Duration};

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse as _, Response},
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::state::{PlatformState, Shared};
use crate::server::Abandoned;

/// `PlatformFaults` configures the faults injected into all services of the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call gets status 503 and has no effect.
    pub is_down: bool,
    /// Time before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Time between the effect of a call and its response, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of further writes, starts and stops that take effect but whose response is lost.
    pub lost_answers: u32,
    /// If set, only writes to this table lose their response.
    pub lost_table: Option<String>,
    /// Requests for new VMs are refused.
    pub refuse_starts: bool,
    /// Reads of objects get status 503.
    pub refuse_object_reads: bool,
}

/// `Effect` is a response extension that marks a call which changed state.
#[derive(Debug, Clone, Default)]
pub(super) struct Effect {
    /// Tables that were written to.
    pub(super) tables: Vec<String>,
}

impl PlatformFaults {
    /// Returns whether the response of a call must be lost, and counts it if so.
    fn consume_lost_answer(&mut self, effect: &Effect) -> bool {
        if self.lost_answers == 0 {
            return false;
        }
        if let Some(table) = &self.lost_table
            && !effect.tables.contains(table)
        {
            return false;
        }
        self.lost_answers -= 1;
        true
    }
}

/// Applies the faults to a call. The call is completed even if its caller disconnects.
pub(super) async fn apply(State(state): Shared, req: Request, next: Next) -> Response {
    let task = tokio::spawn(answer(state, req, next));
    task.await
        .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn answer(state: Arc<PlatformState>, req: Request, next: Next) -> Response {
    let faults = state.faults().clone();
    delay(faults.delay_ms).await;
    if state.faults().is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut response = next.run(req).await;
    if let Some(effect) = response.extensions().get::<Effect>().cloned()
        && state.faults().consume_lost_answer(&effect)
    {
        response.extensions_mut().insert(Abandoned);
    }
    delay(faults.answer_delay_ms).await;
    response
}

async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}
