//! Starts and stops the VMs of services, and sends orders to their engines.
//!
//! Each service with a fleet plan has one lease. In every round the lease holder compares the
//! platform's list of VMs with the plan and takes the next steps towards it.

pub mod controller;
pub mod options;
pub mod order_sender;
pub mod round_plan;
pub mod service_fleet;
pub mod vm_starter;
pub mod vm_stopper;

pub use controller::{FleetController, FleetParts};
pub use options::FleetControllerOptions;
