//! End of a request: last event to the caller, last state of the journal, metrics.

use std::time::Duration;

use verbenahead_core::units::Tokens;
use verbenahead_upstream::FinishReason;

use crate::{
    callers::problem::{Problem, ProblemKind},
    node::answer::AnswerEvent,
};

use super::{GenerationRequest, GenerationTask};

/// Value of `Retry-After` in the problems of model requests.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How the task of a request ended.
#[derive(Debug)]
pub(super) enum TaskEnd {
    Finished(FinishReason),
    /// The caller closed the connection or stopped reading.
    CallerGone,
    /// The node drains and another node continues the answer.
    NodeLeaving,
    /// Another node took the journal of the request over.
    TakenOver,
    Failed(Problem),
}

impl TaskEnd {
    /// Returns the name in the logs and, for a request that ended early, in the metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Finished(_) => "finished",
            Self::CallerGone => "caller_gone",
            Self::NodeLeaving => "node_leaving",
            Self::TakenOver => "taken_over",
            Self::Failed(_) => "failed",
        }
    }
}

impl GenerationTask {
    pub(super) async fn finish(mut self, ending: TaskEnd) -> Tokens {
        self.observe(&ending);
        tracing::info!(
            request = %self.req.id,
            tokens = self.tokens.len(),
            ending = ending.name(),
            "request ended",
        );
        let length = self.tokens.len() as u64;
        match ending {
            TaskEnd::Finished(reason) => {
                // The caller already has every token, so the end event goes out before the journal
                // is marked finished.
                let is_delivered = self.delivered > length;
                let end = AnswerEvent::End {
                    length,
                    reason,
                    is_delivered,
                };
                let _ = self.send(end).await;
                let _ = self.journal.flush(&self.tokens, true).await;
            }
            TaskEnd::CallerGone => {
                let _ = self.journal.flush(&self.tokens, false).await;
            }
            TaskEnd::NodeLeaving => self.redirect_caller().await,
            TaskEnd::TakenOver => self.send_taken_over().await,
            TaskEnd::Failed(problem) => {
                let _ = self.send(AnswerEvent::Failed(Box::new(problem))).await;
            }
        }
        Tokens(length)
    }

    /// Tells the caller to continue at another node, after flushing to the journal every token
    /// that the caller may have.
    pub(super) async fn redirect_caller(&mut self) {
        if self.journal.flush(&self.tokens, false).await.is_err() {
            self.send_taken_over().await;
            return;
        }
        let request = self.req.id;
        let _ = self.send(AnswerEvent::Moved { request }).await;
    }

    pub(super) async fn send_taken_over(&mut self) {
        let detail = "another node carries out the request now";
        let problem = self.problem(ProblemKind::TakenOver, detail);
        let _ = self.send(AnswerEvent::Failed(Box::new(problem))).await;
    }

    pub(super) fn observe(&self, ending: &TaskEnd) {
        let observer = &self.serving.observer;
        let GenerationRequest {
            workspace, service, ..
        } = &self.req;
        match ending {
            TaskEnd::Finished(_) => observer.answered(workspace, service, self.times.report()),
            TaskEnd::Failed(_) => observer.given_up(workspace, service),
            other => observer.ended_early(workspace, service, other.name()),
        }
        observer.tokens(service, "answer", Tokens(self.times.tokens));
    }

    /// Builds a problem for this request. A model request has no side effects, so one without a
    /// complete answer is reported as `not_run`.
    pub(super) fn problem(&self, kind: ProblemKind, detail: &str) -> Problem {
        Problem::not_run(kind, detail)
            .with_retry_after(RETRY_AFTER)
            .with_request(self.req.id)
    }
}
