//! What a node knows about one upstream.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::watch, time::Instant};
use verbenahead_core::{AvailabilityZone, ServiceId, UpstreamId, units::Tokens};
use verbenahead_platform::{Market, VmRecord};
use verbenahead_upstream::{LoadReport, UpstreamAddress};

/// `UpstreamStatus` says whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamStatus {
    /// The upstream may get new work.
    Live,
    /// The upstream gets no new work and stops at the given time.
    Leaving {
        /// Time at which it stops.
        until: Instant,
    },
    /// The upstream is gone.
    Gone,
}

/// `ReceivedLoad` is a load report with the time of its receipt.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedLoad {
    /// The report.
    pub report: LoadReport,
    /// Time of receipt.
    pub received: Instant,
}

/// `UpstreamEntry` is what a node knows about one life of one upstream.
#[derive(Debug)]
pub struct UpstreamEntry {
    /// Where the upstream is reached.
    pub address: UpstreamAddress,
    /// Service that it runs.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// How its VM is paid for.
    pub market: Market,
    /// Class of its VM.
    pub class: String,
    status: watch::Sender<UpstreamStatus>,
    load: Mutex<Option<ReceivedLoad>>,
    outstanding: AtomicU32,
    tokens_since_report: AtomicU64,
}

impl UpstreamEntry {
    /// Builds the entry of a VM on the platform's list.
    pub fn new(record: &VmRecord) -> Option<Self> {
        let upstream = UpstreamId::try_new(record.vm.as_str()).ok()?;
        Some(Self {
            address: UpstreamAddress {
                upstream,
                incarnation: record.incarnation,
                address: record.address,
            },
            service: record.service.clone(),
            zone: record.zone.clone(),
            market: record.market,
            class: record.class.clone(),
            status: watch::Sender::new(UpstreamStatus::Live),
            load: Mutex::new(None),
            outstanding: AtomicU32::new(0),
            tokens_since_report: AtomicU64::new(0),
        })
    }

    /// Returns whether the upstream may get new work.
    pub fn status(&self) -> UpstreamStatus {
        *self.status.borrow()
    }

    /// Follows the status.
    pub fn watch_status(&self) -> watch::Receiver<UpstreamStatus> {
        self.status.subscribe()
    }

    /// Says that the upstream stops after `remaining`. An earlier word is kept, since a later
    /// reading of the same notice is less exact.
    pub fn mark_leaving(&self, remaining: Duration) -> bool {
        self.status.send_if_modified(|status| {
            let is_live = *status == UpstreamStatus::Live;
            if is_live {
                let until = Instant::now() + remaining;
                *status = UpstreamStatus::Leaving { until };
            }
            is_live
        })
    }

    /// Says that the upstream is gone.
    pub fn mark_gone(&self) {
        self.status.send_replace(UpstreamStatus::Gone);
    }

    /// Takes in a load report, which covers the work that was sent before it was made.
    pub fn record_load(&self, report: LoadReport) {
        self.tokens_since_report.store(0, Ordering::Relaxed);
        *self.lock_load() = Some(ReceivedLoad {
            report,
            received: Instant::now(),
        });
    }

    /// Returns the last load report.
    pub fn load(&self) -> Option<ReceivedLoad> {
        self.lock_load().clone()
    }

    /// Returns the number of requests that this node has running there.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Returns the prompt tokens that this node has sent there since the last load report.
    pub fn tokens_since_report(&self) -> Tokens {
        Tokens(self.tokens_since_report.load(Ordering::Relaxed))
    }

    /// Counts a request as running until the returned guard is dropped.
    pub fn begin_work(self: &Arc<Self>, prompt: Tokens) -> OutstandingWork {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        self.tokens_since_report
            .fetch_add(prompt.0, Ordering::Relaxed);
        OutstandingWork(Arc::clone(self))
    }

    fn lock_load(&self) -> MutexGuard<'_, Option<ReceivedLoad>> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `OutstandingWork` counts one request at an upstream for as long as it lives.
#[derive(Debug)]
pub struct OutstandingWork(Arc<UpstreamEntry>);

impl Drop for OutstandingWork {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}
