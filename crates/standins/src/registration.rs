//! Registration of engines and services on the platform's list of VMs.

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use clap::Args;
use tokio::time::sleep;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};
use verbenahead_services::{Market, VmRecord, VmState};

use crate::client::JsonClient;

const MAX_TRIES: u32 = 50;
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// `Registration` says how an upstream shows on the platform's list of VMs.
#[derive(Debug, Clone, Args)]
pub struct Registration {
    /// Address of the platform stand-in. Without it the upstream is not on the list.
    #[arg(long)]
    pub platform: Option<SocketAddr>,
    /// Address to register in place of the listening one, such as that of a link.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// Id of the VM.
    #[arg(long)]
    pub vm: VmId,
    /// Life of the VM.
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
    /// How the VM is paid for.
    #[arg(long, default_value_t = Market::Reclaimable)]
    pub market: Market,
}

impl Registration {
    /// Puts the VM on the list as live, trying for 5 s.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the registration in that time.
    pub async fn register(&self, listening: SocketAddr) -> Result<()> {
        let Some(platform) = self.platform else {
            return Ok(());
        };
        let client = JsonClient::new(platform);
        let path = format!("/control/vms/{}", self.vm);
        let record = self.record(self.advertise.unwrap_or(listening));
        let mut tries = 0;
        while let Err(error) = client.put(&path, &record).await {
            tries += 1;
            if tries == MAX_TRIES {
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
