//! Switchable faults of the platform stand-in.

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

/// `PlatformFaults` are the faults that the platform stand-in shows, on all its services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with status 503 and has no effect.
    pub is_down: bool,
    /// Time before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Time between the effect of a call and its answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of coming writes, starts and stops that take effect but whose answer is lost.
    pub lost_answers: u32,
    /// Only table writes that touch this table lose their answer.
    pub lost_table: Option<String>,
    /// Requests for new VMs are refused.
    pub refuse_starts: bool,
}

/// `Effect` marks the answer of a call that has changed something.
#[derive(Debug, Clone, Default)]
pub(super) struct Effect {
    /// Tables that were written to.
    pub(super) tables: Vec<String>,
}

impl PlatformFaults {
    /// Counts an answer as lost when it is to be lost.
    fn take_lost(&mut self, effect: &Effect) -> bool {
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

/// Applies the faults to a call. The call is carried out also when its caller gives up.
pub(super) async fn apply(State(state): Shared, req: Request, next: Next) -> Response {
    let task = tokio::spawn(answer(state, req, next));
    task.await
        .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn answer(state: Arc<PlatformState>, req: Request, next: Next) -> Response {
    let faults = state.faults().clone();
    wait(faults.delay_ms).await;
    if state.faults().is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut response = next.run(req).await;
    if let Some(effect) = response.extensions().get::<Effect>().cloned()
        && state.faults().take_lost(&effect)
    {
        response.extensions_mut().insert(Abandoned);
    }
    wait(faults.answer_delay_ms).await;
    response
}

async fn wait(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}
