//! Options of the platform stand-in.

use std::{
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
};

use anyhow::Context as _;
use clap::Args;
use verbenahead_core::ServiceId;

/// Default time until a started VM is live, in milliseconds.
const DEFAULT_START_MS: u64 = 500;

/// `StartedEngine` is the engine that runs on the VMs started for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedEngine {
    /// Service of the VMs.
    pub service: ServiceId,
    /// Model of the engine.
    pub model: String,
}

impl FromStr for StartedEngine {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (service, model) = text
            .split_once('=')
            .context("standins: a started engine must have the form SERVICE=MODEL")?;
        Ok(Self {
            service: ServiceId::try_new(service)?,
            model: model.to_owned(),
        })
    }
}

/// `PlatformStandinOptions` configures the platform stand-in.
#[derive(Debug, Clone, Args)]
pub struct PlatformStandinOptions {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Delay until a change shows in the list of VMs, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
    /// Delay before each call takes effect, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Bearer token that each call must carry.
    #[arg(long)]
    pub token: Option<String>,
    /// Engine that runs on the VMs started for a service, as SERVICE=MODEL. VMs of other services
    /// never become live.
    #[arg(long = "start-engine")]
    pub start_engines: Vec<StartedEngine>,
    /// Time until a started VM is live, in milliseconds.
    #[arg(long, default_value_t = DEFAULT_START_MS)]
    pub start_ms: u64,
}

impl Default for PlatformStandinOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            list_lag_ms: 0,
            delay_ms: 0,
            token: None,
            start_engines: Vec::new(),
            start_ms: DEFAULT_START_MS,
        }
    }
}
