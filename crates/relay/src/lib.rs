//! The life of a request between a caller and the replicas of a service.
//!
//! A request is read whole, checked against the routes and limits in force, sent to replicas that
//! the policy chooses, and its answer is passed on. What the request and its answer look like on
//! the wire is known to a [`Dialect`] only.

pub mod agreed_clock;
pub mod answer;
mod attempt;
pub mod body_budget;
pub mod clock;
pub mod dialect;
pub mod events;
mod exchange;
mod follow;
mod intake;
pub mod observe;
pub mod options;
pub mod own_answer;
pub mod placement;
pub mod registry;
pub mod relay;
mod stream_move;
pub mod upstream;
pub mod usage_tracker;

pub use agreed_clock::AgreedClock;
pub use answer::{AnswerBody, CutOff};
pub use body_budget::{BodyBudget, BodyShare};
pub use dialect::Dialect;
pub use observe::{AttemptResult, RelayObserver, RequestEnd, RequestResult, Unobserved};
pub use options::RelayOptions;
pub use own_answer::{OwnAnswer, OwnAnswerReason};
pub use placement::ReplicaSelector;
pub use registry::{RegistryChange, UpstreamRegistry};
pub use relay::{Relay, RelayParts, RouteFreshness, RouteView};
pub use usage_tracker::{NodeCounts, UsageOptions, UsageTracker};
