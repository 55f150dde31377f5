//! Serving system for language models and plain services on reclaimable VMs.

pub mod burn;
pub mod callers;
pub mod explain;
pub mod markup;
pub mod node;
pub mod operators;
pub mod relay_node;
pub mod settings;
pub mod telemetry;
