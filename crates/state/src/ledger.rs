//! Ledger of non-idempotent calls, which runs each call at most once.
//!
//! Each pair of workspace and idempotency key has one row. Its state goes from `claimed` to
//! `dispatched` to `answered`, or to `released` when an attempt ends without sending. A call is
//! sent only after its row is known to be `dispatched`, and the call of a dispatched row is never
//! sent again.

pub mod abandoned;
mod acquire;
pub mod attempt;
pub mod begin;
mod health;
pub mod key;
pub mod options;
pub mod outcome;
pub mod record;
pub mod recorder;
pub mod resolve;
pub mod sweeper;
pub mod wire;

pub use abandoned::AbandonedAttempt;
pub use attempt::{
    Attempt, Claimed, DispatchOutcome, Dispatched, NotRunProof, ReleaseOutcome, SettleOutcome,
    UnrecordedAnswer,
};
pub use begin::{BeginDispatchedOutcome, BeginOutcome, BeginRequest, Ledger};
pub use key::{IdempotencyKey, LedgerKey};
pub use options::LedgerOptions;
pub use outcome::{AttemptOutcome, Evidence, RunReport};
pub use record::{
    Claimant, LedgerRecord, RecordState, RecordedAnswer, RecordedBody, RecordedHeader, RowStatus,
};
pub use recorder::{PendingRecord, Recorder, RecorderOptions, RecorderSummary};
pub use resolve::ResolveOutcome;
pub use sweeper::{SweepReport, Sweeper, SweeperOptions};
