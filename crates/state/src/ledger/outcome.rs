//! Report to the caller on whether its call ran.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use verbenahead_core::RunOutcome;

use crate::ledger::{
    attempt::{NotRunProof, ReleaseOutcome},
    record::RowStatus,
};

/// `AttemptOutcome` says whether the attempt of the current request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The attempt sent nothing and never will.
    #[display("not_run")]
    NotRun,
    /// The attempt ran.
    #[display("run")]
    Run,
    /// The attempt was sent and its outcome is not known.
    #[display("unknown")]
    Unknown,
}

/// `RunReport` tells a caller whether its call ran, by any attempt with its key and by the attempt
/// of the current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunReport {
    /// Whether any attempt with this key ran the call.
    pub outcome: RunOutcome,
    /// Whether the attempt of the current request ran it.
    pub attempt: AttemptOutcome,
}

/// `Evidence` is what a node knows about a call when it answers the request.
#[derive(Debug, Clone, Copy)]
pub enum Evidence<'a> {
    /// The row was released: the call has not run, and no request received so far can run it.
    Released(&'a NotRunProof),
    /// Another attempt holds the row; this request's attempt sent nothing.
    Row(&'a RowStatus),
    /// The row was not read within this request; this request's attempt sent nothing.
    RowNotRead,
    /// This request's attempt was sent and no complete answer arrived.
    SentWithoutAnswer,
    /// This request's attempt was answered.
    Answered,
}

impl RunReport {
    /// Builds the report for an answer that is sent at `now`. The outcome is `not_run` only with a
    /// proof that has not expired.
    pub fn decide(evidence: Evidence<'_>, now: Instant) -> Self {
        use AttemptOutcome as Attempt;
        let (outcome, attempt) = match evidence {
            Evidence::Released(proof) if proof.is_valid(now) => {
                (RunOutcome::NotRun, Attempt::NotRun)
            }
            Evidence::Released(_) => (RunOutcome::Unknown, Attempt::NotRun),
            Evidence::Row(RowStatus::Answered(_)) => (RunOutcome::Run, Attempt::NotRun),
            Evidence::Row(RowStatus::KeyReused { has_run: true }) => {
                (RunOutcome::Run, Attempt::NotRun)
            }
            Evidence::Row(_) | Evidence::RowNotRead => (RunOutcome::Unknown, Attempt::NotRun),
            Evidence::SentWithoutAnswer => (RunOutcome::Unknown, Attempt::Unknown),
            Evidence::Answered => (RunOutcome::Run, Attempt::Run),
        };
        Self { outcome, attempt }
    }
}

impl ReleaseOutcome {
    /// Builds the report for an answer that is sent at `now`.
    pub fn report(&self, now: Instant) -> RunReport {
        let evidence = match self {
            Self::NotRun(proof) => Evidence::Released(proof),
            Self::Occupied(status) => Evidence::Row(status),
            Self::Unavailable(_) => Evidence::RowNotRead,
        };
        RunReport::decide(evidence, now)
    }
}
