//! Cluster membership: SWIM-style failure detection, dissemination of news, and node reports.
//!
//! - [`Membership`] starts the tasks that probe other nodes and gossip claims about them, and the
//!   tasks that disseminate upstream states and manifest generations ([`news`]).
//! - [`Roster`] keeps the latest [`NodeReport`] of each node and derives its liveness from it.
//!
//! Relaying nodes use the roster only; the other nodes use the membership only.

pub mod agreed_time;
pub mod detector;
pub mod errors;
pub mod failure_message;
pub mod handle;
pub mod member;
pub mod member_chart;
pub mod membership;
pub mod message;
pub mod news;
pub mod options;
pub mod origin_message;
pub mod placement_message;
pub mod probe;
pub mod quarantine_message;
pub mod quota_message;
pub mod report;
pub mod rollout_message;
pub mod roster;
pub use verbenahead_core::time;
pub mod transport;

mod gossip;
mod health;
mod member_machine;
mod member_table;
mod probe_ring;
mod task;

pub use agreed_time::{AgreedTime, AgreedTimeOptions, ClockReading};
pub use detector::{Call, Detector};
pub use errors::{Error, Result};
pub use failure_message::FailureMessage;
pub use handle::MembershipHandle;
pub use member::{Member, MemberState, NodeIdentity};
pub use membership::{Membership, MembershipHandles};
pub use message::{Ack, IndirectProbe, MemberExchange, Ping, StateDigest};
pub use news::{
    ManifestHead, NewsHandle, NewsItem, NewsOptions, NewsSnapshot, NewsState, PushPolicy,
    RefreshReport, UpstreamGone, UpstreamLeaving, UpstreamNews, UpstreamStatus,
};
pub use options::MembershipOptions;
pub use origin_message::{OriginMessage, StreamKey, StreamOrigin};
pub use placement_message::{
    ObservedLoad, PlacementBody, PlacementLoad, PlacementMessage, PromptProgress,
};
pub use quarantine_message::{CrashReport, QuarantineMessage};
pub use quota_message::{GrantDecision, GrantRequest, QuotaMessage};
pub use report::{
    NameKey, NodeReport, PassedLoad, PromptDemand, ReplicaLimit, ReplicaWork, WindowCounts,
};
pub use rollout_message::{RolloutCounts, RolloutMessage, RolloutOutcomes, RolloutPhase, Share};
pub use roster::{KnownNode, ReportEffect, Roster, RosterOptions, SharedRoster};
pub use time::{UnixMillis, WallClock};
pub use transport::PeerTransport;
