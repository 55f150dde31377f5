//! Registration of engines and services in the platform's list of VMs.

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use clap::Args;
use tokio::time::sleep;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};
use verbenahead_services::{Market, VmRecord, VmState};

use crate::client::JsonClient;

const MAX_ATTEMPTS: u32 = 50;
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// `Registration` is the entry of an upstream in the platform's list of VMs.
#[derive(Debug, Clone, Args)]
pub struct Registration {
    /// Address of the platform stand-in. Without it the upstream is not registered.
    #[arg(long)]
    pub platform: Option<SocketAddr>,
    /// Address to register instead of the listening address, such as that of a link.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// Id of the VM.
    #[arg(long)]
    pub vm: VmId,
    /// Incarnation of the VM.
    #[arg(long, default_value_t = Incarnation(1))]
    pub incarnation: Incarnation,
    /// Service that the VM runs.
    #[arg(long)]
    pub service: ServiceId,
    /// Availability zone of the VM.
    #[arg(long)]
    pub zone: AvailabilityZone,
    /// Class of the VM.
    #[arg(long, default_value = "standard")]
    pub class: String,
    /// Market of the VM, reclaimable or on-demand.
    #[arg(long, default_value_t = Market::Reclaimable)]
    pub market: Market,
}

impl Registration {
    /// Registers the VM as live, with retries for about 5 s.
    ///
    /// # Errors
    ///
    /// The error of the last attempt, when no attempt succeeds.
    pub async fn register(&self, listening: SocketAddr) -> Result<()> {
        let Some(platform) = self.platform else {
            return Ok(());
        };
        let client = JsonClient::new(platform);
        let path = format!("/control/vms/{}", self.vm);
        let record = self.record(self.advertise.unwrap_or(listening));
        let mut attempts = 0;
        while let Err(error) = client.put(&path, &record).await {
            attempts += 1;
            if attempts == MAX_ATTEMPTS {
                return Err(error);
            }
            sleep(RETRY_PERIOD).await;
        }
        Ok(())
    }

    fn record(&self, address: SocketAddr) -> VmRecord {
        VmRecord {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            service: self.service.clone(),
            zone: self.zone.clone(),
            address,
            state: VmState::Live,
            class: self.class.clone(),
            market: self.market,
        }
    }
}
