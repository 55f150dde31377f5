//! Randomised fault-injection runs on real processes.
//!
//! A seeded schedule of faults is applied to a small deployment while seeded callers check every
//! answer, every run and every generation. The run stops at the first broken invariant.

pub mod booking_caller;
pub mod booking_records;
pub mod chat_caller;
pub mod chat_stream;
pub mod deployment;
pub mod injector;
pub mod invariant;
pub mod monitor;
pub mod node_directory;
pub mod node_process;
pub mod options;
pub mod publisher;
pub mod relay;
pub mod report;
pub mod run;
pub mod schedule;

pub use invariant::BrokenInvariant;
pub use options::SoakOptions;
pub use report::SoakReport;
pub use run::run;
