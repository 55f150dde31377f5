//! State and clients from which the components of a node are built.

use std::sync::Arc;

use verbenahead_core::{Incarnation, time::WallClock};
use verbenahead_manifest::Manifest;
use verbenahead_services::{Platform, PlatformOptions, PlatformRegistry, Table};
use verbenahead_state::{
    InForce, ManifestStore, RetryOptions, UnixMillis,
    grouped_table::{GroupOptions, GroupedTable},
};

use crate::{
    burn::BurnRecorder,
    node::{
        active_manifest::ManifestView,
        client_budget::ClientBudget,
        drain::DrainSignal,
        observer::RequestObserver,
        peer_reports::{ManifestBody, PeerReportSource},
        platform_health::PlatformHealth,
        readiness::Readiness,
        upstream_directory::UpstreamDirectory,
    },
    settings::{IncarnationSource, PlatformSettings, Settings},
    telemetry::{metrics::Metrics, platform_meter::metered},
};

/// `NodeContext` holds the state and clients that several components of a node share.
pub struct NodeContext {
    /// Settings of the node.
    pub settings: Settings,
    /// Incarnation of this process of the node.
    pub incarnation: Incarnation,
    /// Clients of the platform.
    pub platform: Platform,
    /// Table client that groups the writes of several calls into one transaction.
    pub grouped_table: Arc<dyn Table>,
    /// Reachability of the platform.
    pub health: Arc<PlatformHealth>,
    /// Manifest in force.
    pub in_force: Arc<InForce<Manifest>>,
    /// Body of the manifest in force.
    pub body: ManifestBody,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Readiness of the node.
    pub readiness: Arc<Readiness>,
    /// Signal that starts the drain.
    pub drain: DrainSignal,
    /// Recorder of requests for the burn rate.
    pub burn: Arc<BurnRecorder>,
    /// Memory of callers and operators.
    pub clients: ClientBudget,
    /// Metrics.
    pub metrics: Metrics,
    /// Wall clock.
    pub clock: WallClock,
}

impl NodeContext {
    /// Builds the context of a node that has no manifest and no upstreams yet.
    ///
    /// # Errors
    ///
    /// When a credential cannot be read, or an adapter or a metric cannot be built.
    pub fn try_new(settings: Settings) -> anyhow::Result<Self> {
        let clock = WallClock::default();
        let metrics = Metrics::try_new()?;
        let platform = metered(connect_platform(&settings.platform)?, &metrics);
        let table = Arc::clone(&platform.table);
        Ok(Self {
            grouped_table: Arc::new(GroupedTable::spawn(table, GroupOptions::default())),
            platform,
            health: Arc::default(),
            in_force: Arc::default(),
            body: ManifestBody::default(),
            directory: Arc::default(),
            readiness: Arc::default(),
            drain: DrainSignal::default(),
            clients: ClientBudget::new(&settings.limits),
            burn: Arc::new(BurnRecorder::new(clock)),
            metrics,
            clock,
            incarnation: incarnation(settings.incarnation),
            settings,
        })
    }

    /// Returns a view of the manifest in force.
    pub fn manifest(&self) -> ManifestView {
        ManifestView::new(Arc::clone(&self.in_force))
    }

    /// Returns a client of the manifest store.
    pub fn manifest_store(&self) -> ManifestStore {
        ManifestStore::new(
            Arc::clone(&self.platform.table),
            Arc::clone(&self.platform.objects),
            RetryOptions::default(),
        )
    }

    /// Returns the source of the reports that other nodes may read.
    pub fn reports(&self) -> PeerReportSource {
        PeerReportSource {
            incarnation: self.incarnation,
            body: self.body.clone(),
            manifest: self.manifest(),
            readiness: Arc::clone(&self.readiness),
            burn: Arc::clone(&self.burn),
        }
    }

    /// Returns an observer of requests.
    pub fn observer(&self) -> RequestObserver {
        RequestObserver::new(Arc::clone(&self.burn), self.metrics.clone())
    }
}

fn incarnation(source: IncarnationSource) -> Incarnation {
    match source {
        IncarnationSource::StartTime => Incarnation(UnixMillis::now().0),
        IncarnationSource::Fixed(incarnation) => incarnation,
    }
}

fn connect_platform(settings: &PlatformSettings) -> anyhow::Result<Platform> {
    let secret = match &settings.credential {
        Some(reference) => Some(reference.load()?),
        None => None,
    };
    let options = PlatformOptions {
        address: settings.address,
        secret: secret.map(|secret| secret.expose().to_owned().into()),
        connect_timeout: settings.connect_timeout,
        call_timeout: settings.request_timeout,
        ..PlatformOptions::default()
    };
    let platform = PlatformRegistry::default().connect(&settings.kind.to_string(), &options)?;
    Ok(platform)
}
