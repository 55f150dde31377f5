//! Options of the booking stand-in.

use std::net::SocketAddr;

use clap::Args;

use crate::registration::Registration;

/// `BookingOptions` configure the booking stand-in.
#[derive(Debug, Clone, Args)]
pub struct BookingOptions {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Registration in the platform's list of VMs.
    #[command(flatten)]
    pub registration: Registration,
    /// Answer a repeated idempotency key with the first answer, without running the call again.
    #[arg(long)]
    pub honour_keys: bool,
    /// Duration of each call, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Maximum number of concurrent calls. Further calls are queued.
    #[arg(long, default_value_t = 16)]
    pub workers: usize,
}

impl BookingOptions {
    /// Builds the options of a service that ignores idempotency keys and adds no delay.
    pub fn new(registration: Registration) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            registration,
            honour_keys: false,
            delay_ms: 0,
            workers: 16,
        }
    }
}
