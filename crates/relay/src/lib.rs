//! Relays a caller's HTTP request to a replica of a service and its response back to the caller.
//!
//! A request body is read whole and checked against the routes and limits in force. The request is
//! then sent to replicas that the policy selects, until one of them responds. A [`Dialect`] holds
//! all knowledge of the headers and status codes on the wire.

mod admission;
pub mod agreed_clock;
mod attempt;
mod body_reader;
pub mod clock;
pub mod content_quarantine;
mod crash_reporter;
pub mod dialect;
pub mod direct_paths;
pub mod drain;
mod event_cursor;
pub mod events;
mod exchange;
pub mod failure_sharing;
pub mod fingerprint;
pub mod forward_wire;
mod forwarded_ids;
pub mod forwarding;
pub mod limit_state;
pub mod memory_budget;
mod move_copy;
pub mod observe;
pub mod open_streams;
pub mod options;
pub mod origin_rows;
pub mod origin_transport;
pub mod own_answer;
pub mod peer_paths;
pub mod placement;
pub mod placement_transport;
mod prompt_placement;
mod quarantine_checks;
pub mod quarantine_transport;
pub mod quota_transport;
pub mod registry;
pub mod relay;
pub mod replica_limits;
mod replica_paths;
pub mod replica_selector;
pub mod request_content;
pub mod response_body;
mod rollout_tally;
pub mod rollouts;
mod second_start;
pub mod service_admission;
mod service_estimates;
pub mod service_outcomes;
pub mod shared_quotas;
mod stall_timer;
mod started_response;
mod stopped_run;
mod stream;
mod stream_forwarder;
mod stream_move;
pub mod stream_origins;
mod stream_resume;
mod stream_search;
mod stream_version;
mod successor;
pub mod upstream;
pub mod usage_tracker;
pub mod version_filter;
pub mod version_history;
pub mod workspace_quotas;

pub use agreed_clock::AgreedClock;
pub use body_reader::{
    BodyError, BodyLimits, BodyProgressOptions, ReadBody, drain as drain_body, read_body,
};
pub use content_quarantine::{ContentQuarantine, ContentQuarantineOptions};
pub use crash_reporter::CrashReporterOptions;
pub use dialect::Dialect;
pub use direct_paths::{DirectPaths, DirectPathsOptions};
pub use drain::DrainTimes;
pub use failure_sharing::{FailureSharing, FailureTransport};
pub use fingerprint::Fingerprint;
pub use forwarding::ForwardedBody;
pub use memory_budget::{
    CloseReason, Closed, MemoryAccount, MemoryBudget, MemoryReservation, OBSERVE_INTERVAL,
    RequestGuard,
};
pub use observe::{AttemptResult, NoopObserver, RelayObserver, RequestEnd, RequestResult};
pub use open_streams::OpenStream;
pub use options::RelayOptions;
pub use origin_rows::{OriginRows, RowChange, RowNumber};
pub use origin_transport::OriginTransport;
pub use own_answer::{OwnAnswer, OwnAnswerReason};
pub use peer_paths::{PeerPaths, PeerPathsOptions};
pub use placement::{PlacementCounts, PromptPlacement, PromptPlacementOptions};
pub use placement_transport::PlacementTransport;
pub use quarantine_transport::QuarantineTransport;
pub use quota_transport::{NoTransport, QuotaTransport};
pub use registry::{RegistryChange, UpstreamRegistry};
pub use relay::{Relay, RelayParts, RouteFreshness, RouteView};
pub use replica_limits::ReplicaLimits;
pub use replica_selector::ReplicaSelector;
pub use request_content::RequestContent;
pub use response_body::{BodyDropped, BodySender, CutOff, ReadAhead, ResponseBody, StreamedBody};
pub use rollouts::{HeardRollout, RolloutState, Rollouts};
pub use service_admission::{ServiceAdmission, ServiceAdmissionCounts, ServiceAdmissionOptions};
pub use shared_quotas::{QuotaRefusal, SharedQuotas, SharedQuotasOptions};
pub use stream_origins::{StreamOrigins, StreamOriginsOptions};
pub use usage_tracker::{NodeCounts, UsageOptions, UsageTracker};
pub use verbenahead_upstream::SegmentedBody;
pub use version_history::ServedVersion;
pub use workspace_quotas::{QuotaCharge, WorkspaceQuotas, WorkspaceQuotasOptions};
