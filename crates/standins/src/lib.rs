//! Stand-ins of the platform, model engines and plain services, for tests. Not shipped.
//!
//! Each stand-in starts in the process of a test with its `start` function, or as a process of
//! its own with the program `verbenahead-standins`.

pub mod booking;
pub mod client;
pub mod engine;
pub mod link;
pub mod load_header;
pub mod platform;
pub mod process;
pub mod registration;
pub mod server;
pub mod users;

pub use client::JsonClient;
pub use process::Process;
pub use server::Server;
