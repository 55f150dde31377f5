//! The decision on what callers are told about the run of a call.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use verbenahead_core::RunOutcome;

use crate::ledger::{
    attempt::{NotRunProof, ReleaseOutcome},
    record::RowStatus,
};

/// `AttemptOutcome` says whether the attempt of this very request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// This attempt sent nothing and never will.
    #[display("not_run")]
    NotRun,
    /// This attempt ran.
    #[display("run")]
    Run,
    /// This attempt was sent and its outcome is not known.
    #[display("unknown")]
    Unknown,
}

/// `RunReport` is what a caller is told: about its key, and about the attempt of this request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunReport {
    /// Whether the call ran by any attempt with this key.
    pub outcome: RunOutcome,
    /// Whether it ran by the attempt of this request.
    pub attempt: AttemptOutcome,
}

/// `Evidence` is what is known when a request ends.
#[derive(Debug, Clone, Copy)]
pub enum Evidence<'a> {
    /// The ledger showed that the call has not run and cannot run by any request so far.
    Released(&'a NotRunProof),
    /// The row belongs to another attempt; ours sent nothing.
    Row(&'a RowStatus),
    /// The ledger was not read within this request; our attempt sent nothing.
    RowNotRead,
    /// Our attempt was sent and no whole answer came.
    SentWithoutAnswer,
    /// Our attempt was answered.
    Answered,
}

impl RunReport {
    /// Decides what the caller is told in an answer that is sent now. Only a proof from the
    /// ledger that still holds gives `not_run`.
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
    /// Decides what the caller is told in an answer that is sent now.
    pub fn report(&self, now: Instant) -> RunReport {
        let evidence = match self {
            Self::NotRun(proof) => Evidence::Released(proof),
            Self::Occupied(reading) => Evidence::Row(reading),
            Self::Unavailable(_) => Evidence::RowNotRead,
        };
        RunReport::decide(evidence, now)
    }
}
