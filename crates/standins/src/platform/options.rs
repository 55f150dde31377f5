//! Options of the platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use clap::Args;

/// `PlatformStandinOptions` configure the platform stand-in.
#[derive(Debug, Clone, Args)]
pub struct PlatformStandinOptions {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Age of the list of VMs, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
    /// Time that each call takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Bearer token that each call must carry.
    #[arg(long)]
    pub token: Option<String>,
}

impl Default for PlatformStandinOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            list_lag_ms: 0,
            delay_ms: 0,
            token: None,
        }
    }
}
