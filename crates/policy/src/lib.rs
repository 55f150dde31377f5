//! Policies for routing, admission control, limits, retries, moves on reclaim and fleet size.
//!
//! The code does no I/O, reads no clock and has no random generator of its own. Functions take the
//! time as a [`Timestamp`] and a random generator from the caller, so the same code runs in a node,
//! in randomised tests and in measurements.

pub mod admission;
pub mod admission_capacity;
pub mod admission_options;
mod bad_share;
pub mod brittle_room;
pub mod circuit;
pub mod client_memory;
pub mod client_memory_options;
pub mod collector_choice;
pub mod collector_timing;
pub mod coordinator_choice;
pub mod crash_evidence;
pub mod desired_replicas;
pub mod feature_agreement;
pub mod fleet;
pub mod fleet_mix;
pub mod hash;
pub mod hedge;
pub mod limit_pause;
pub mod limit_split;
pub mod load;
pub mod loss_limit;
pub mod machine_speed;
mod move_margin;
pub mod origin_memory;
pub mod path_health;
pub mod placement;
pub mod placement_budget;
pub mod plain_route;
pub mod plain_wait;
pub mod popularity;
pub mod prefill_model;
pub mod prefill_rate;
pub mod prefix;
pub mod prefix_index;
pub mod prefix_source;
pub mod priority_admission;
pub mod priority_options;
pub mod quarantine;
pub mod quota_bucket;
pub mod quota_collector;
pub mod quota_tolerance;
pub mod reach_probes;
pub mod reclaim;
pub mod refusal;
pub mod repeat_budget;
pub mod replica_book;
pub mod retry;
pub mod return_queue;
pub mod rollout_evidence;
pub mod rollout_plan;
pub mod route;
mod route_pick;
mod route_score;
pub mod service_pressure;
pub mod shared_failures;
pub mod silence;
pub mod slot_use;
pub mod sound_content;
pub mod stand_in_allowance;
pub mod start_backoff;
pub mod subset;
pub mod time;
pub mod token_bucket;
pub mod unasked_requests;
pub mod urgency;
pub mod usage_windows;
mod workspace_usage;

pub use admission::{Admission, AdmissionRequest, Permit};
pub use admission_capacity::Capacity;
pub use admission_options::AdmissionOptions;
pub use brittle_room::{RoomQuota, release_rate, room_quota};
pub use circuit::{CircuitBreaker, CircuitOptions, CircuitState};
pub use client_memory::{
    ClientMemory, ConnectionId, ExpiryReason, Growth, Observed, Stage, Standing, WorkspaceKey,
};
pub use client_memory_options::ClientMemoryOptions;
pub use collector_choice::{
    CollectorChoice, CollectorChoiceOptions, first_choice, first_choices, is_preferred,
    stand_in_rank,
};
pub use collector_timing::{AnswerTime, CollectorTiming, CollectorTimingOptions};
pub use coordinator_choice::CoordinatorChoice;
pub use crash_evidence::{ContentStanding, CrashEvidence, CrashEvidenceOptions};
pub use desired_replicas::{DesiredReplicas, DesiredReplicasOptions};
pub use feature_agreement::{FeatureDecision, FeatureView, LISTED_WAIT, features_in_force};
pub use fleet::{FleetAction, FleetDemand, FleetMarket, FleetOptions, Offer, plan_fleet};
pub use fleet_mix::{FleetMix, MixBounds, MixOptions, ZoneMix, ZoneState};
pub use hedge::{HedgeDecision, HedgeOptions, HedgeRequest, decide_hedge};
pub use limit_pause::{MIN_LIMIT, limit_pause};
pub use limit_split::{DemandMeter, LimitSplit, LimitSplitOptions};
pub use load::{LoadEstimate, LoadOptions, LoadView, ReportedLoad};
pub use loss_limit::LossLimit;
pub use machine_speed::{MachineSpeed, SpeedTrust, TimePercent};
pub use move_margin::{MoveMarginOptions, move_margin};
pub use origin_memory::{OriginMemory, OriginMemoryOptions};
pub use path_health::{PathHealth, PathHealthOptions};
pub use placement::{
    Placement, PlacementCandidate, PlacementOptions, PlacementRequest, earliest_first_event, place,
};
pub use placement_budget::{PlacementBudget, PlacementBudgetOptions};
pub use plain_route::{PlainCandidate, route_plain};
pub use plain_wait::PlainLoad;
pub use popularity::{PopularityOptions, PrefixPopularity};
pub use prefill_model::PrefillModel;
pub use prefill_rate::{PrefillRateEstimator, PrefillRateOptions};
pub use prefix::{BlockHash, BlockOptions, PromptBlocks};
pub use prefix_index::{CacheEvent, CacheEventKind, PrefixIndex, PrefixIndexOptions};
pub use prefix_source::prefix_source;
pub use priority_admission::{AdmittedShare, PriorityAdmission, PriorityDecision, PriorityRequest};
pub use priority_options::PriorityAdmissionOptions;
pub use quarantine::{Quarantine, QuarantineOptions};
pub use quota_bucket::{QuotaBucket, QuotaLimit, QuotaOptions};
pub use quota_collector::{QuotaAsk, QuotaCollector, QuotaCollectorOptions};
pub use quota_tolerance::QuotaTolerance;
pub use reach_probes::{ReachOptions, ReachProbes};
pub use reclaim::{LeavingUpstream, LeavingWork, Move, MoveKind, ReclaimOptions, plan_moves};
pub use refusal::{Refusal, RefusalReason};
pub use repeat_budget::{RepeatBudget, RepeatBudgetOptions};
pub use replica_book::{BookedLoad, ReplicaBook, ReplicaBookOptions, StatedLoad};
pub use retry::{
    FailedAttempt, GiveUpReason, RetryBudget, RetryBudgetOptions, RetryCause, RetryDecision,
    RetryOptions, RetryRequest, backoff, decide_retry,
};
pub use return_queue::ReturnQueue;
pub use rollout_evidence::{
    AnswerCounts, Evaluation, EvidenceHistory, EvidenceOptions, RouteEvidence, Symptom,
    TIME_BUCKETS, time_bucket,
};
pub use rollout_plan::{
    RollbackReason, RolloutPlan, RolloutPlanOptions, RolloutStep, RolloutView, targets_in_use,
};
pub use route::{
    Affinity, Candidate, CandidateState, Choice, RouteOptions, RouteRequest, route,
    route_shortlist, route_with,
};
pub use service_pressure::{
    PressureEstimate, PressureSample, ServicePressure, ServicePressureOptions,
};
pub use shared_failures::{FailureRecord, SharedFailureOptions};
pub use silence::{SilenceAction, SilenceDetector, SilenceOptions};
pub use slot_use::SlotUse;
pub use sound_content::{SoundContent, SoundContentOptions};
pub use stand_in_allowance::StandInAllowance;
pub use start_backoff::{OfferKey, StartBackoff};
pub use time::Timestamp;
pub use token_bucket::TokenBucket;
pub use unasked_requests::{UnaskedOptions, UnaskedRequests};
pub use urgency::{UrgencyOptions, urgency};
pub use usage_windows::{NodeIncarnation, ReportedCounts, UsageCollector, UsageWindows};
