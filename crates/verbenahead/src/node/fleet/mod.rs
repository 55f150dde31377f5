//! Starts and stops the VMs of services, and orders their engines about.
//!
//! Each service with a fleet plan has one lease. Its holder compares in every round what the
//! platform lists with what the plan wants, and takes the next steps.

pub mod controller;
pub mod options;
pub mod orders;
pub mod round_plan;
pub mod service_fleet;
pub mod starts;
pub mod stops;

pub use controller::{FleetController, FleetParts};
pub use options::FleetControllerOptions;
