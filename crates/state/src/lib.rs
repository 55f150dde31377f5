//! State that is stored in the platform's table: the ledger of non-idempotent calls, published
//! manifests, leases and reported usage.
//!
//! Writes carry a condition wherever nodes compete for a row. A write whose outcome is unknown is
//! retried with the same condition until its outcome is known or a deadline passes.

pub mod counts_journal;
pub mod errors;
pub mod follower;
pub mod grouped_table;
pub mod in_force;
pub mod lease;
pub mod ledger;
pub mod manifest_store;
pub mod rendezvous;
pub mod report_history;
pub mod retry;
pub mod rollout_log;
pub mod shared_feed;
pub mod usage_log;
pub use verbenahead_core::time;

pub use counts_journal::{CountsJournal, SavedCounts};
pub use errors::{Error, Result};
pub use grouped_table::{GroupOptions, GroupedTable};
pub use in_force::{AppliedManifest, ApplyOutcome, InForce, KnownGeneration, StartDecision};
pub use manifest_store::{
    Head, ManifestStore, PublicationId, PublishOutcome, PublishRequest, ReadBackOutcome,
    UnknownPublication,
};
pub use report_history::ReportHistory;
pub use retry::RetryOptions;
pub use rollout_log::{RolloutLog, RolloutRecord, RolloutWrite, StoredRollout};
pub use shared_feed::{FeedInbox, FeedReaders, FeedRole, SharedFeed, SharedFeedOptions};
pub use time::UnixMillis;
pub use usage_log::{EarlierReport, UsageLog};
