//! The node: serving of requests, knowledge of upstreams, and the life cycle.

pub mod active_manifest;
pub mod admission;
pub mod answer;
pub mod assembly;
pub mod drain;
pub mod generation;
pub mod http_server;
pub mod journal_writer;
pub mod journals;
pub mod ledger_call;
pub mod lifecycle;
pub mod liveness;
pub mod manifest_follower;
pub mod member_liveness;
pub mod news_bridge;
pub mod node_registry;
pub mod peer_journals;
pub mod peer_manifests;
pub mod peer_reports;
pub mod peering;
pub mod places;
pub mod platform_health;
pub mod policy_clock;
pub mod readiness;
pub mod recorded_answer;
pub mod routing;
pub mod run;
pub mod serving;
pub mod stop;
pub mod upstream_directory;
pub mod upstream_entry;
pub mod upstream_watch;

pub use run::run;
