//! Options of the engine stand-in.

use std::net::SocketAddr;

use clap::Args;

use crate::registration::Registration;

/// `EngineOptions` configure the engine stand-in.
#[derive(Debug, Clone, Args)]
pub struct EngineOptions {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Registration in the platform's list of VMs.
    #[command(flatten)]
    pub registration: Registration,
    /// Models loaded at startup, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "standin")]
    pub models: Vec<String>,
    /// Maximum number of requests in the batch.
    #[arg(long, default_value_t = 16)]
    pub batch_limit: usize,
    /// Maximum number of queued requests.
    #[arg(long, default_value_t = 256)]
    pub queue_limit: usize,
    /// Duration of one batch step, in milliseconds. Zero means as fast as possible.
    #[arg(long, default_value_t = 5)]
    pub token_ms: u64,
    /// Time to process one uncached prompt token, in microseconds.
    #[arg(long, default_value_t = 20)]
    pub prefill_us_per_token: u64,
    /// Capacity of the prefix cache, in tokens.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: usize,
    /// Delay of load reports and cache events, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_lag_ms: u64,
    /// One in this many cache events is never published. Zero means that all are published.
    #[arg(long, default_value_t = 8)]
    pub event_gap: u64,
    /// Time to load a model, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub model_load_ms: u64,
    /// Refuse orders whose fencing number is lower than the highest one seen.
    #[arg(long)]
    pub check_fencing: bool,
}

impl EngineOptions {
    /// Builds the default options with the given registration.
    pub fn new(registration: Registration) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            registration,
            models: vec!["standin".to_owned()],
            batch_limit: 16,
            queue_limit: 256,
            token_ms: 5,
            prefill_us_per_token: 20,
            cache_tokens: 100_000,
            load_lag_ms: 200,
            event_gap: 8,
            model_load_ms: 0,
            check_fencing: false,
        }
    }
}
