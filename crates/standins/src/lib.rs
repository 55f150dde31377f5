//! Stand-ins for the platform, model engines and plain services, used in tests only.
//!
//! A test starts a stand-in within its own process with the `start` function of the module, or as
//! a separate process with the program `verbenahead-standins`.

pub mod booking;
pub mod client;
pub mod engine;
pub mod link;
pub mod load_header;
pub mod platform;
pub mod process;
pub mod registration;
mod reserved_port;
pub mod server;
pub mod users;

pub use client::JsonClient;
pub use process::Process;
pub use reserved_port::ReservedPort;
pub use server::Server;
