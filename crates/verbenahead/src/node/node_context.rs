//! What the parts of a node are built from.

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

/// `Shared` holds what several parts of a node share.
pub struct NodeContext {
    /// Settings of the node.
    pub settings: Settings,
    /// Number that tells this life of the node apart.
    pub incarnation: Incarnation,
    /// Clients of the platform.
    pub platform: Platform,
    /// The table, with the writes of many calls grouped into transactions.
    pub grouped_table: Arc<dyn Table>,
    /// Whether the platform answers.
    pub health: Arc<PlatformHealth>,
    /// Manifest in force.
    pub in_force: Arc<InForce<Manifest>>,
    /// Body of the manifest in force.
    pub body: ManifestBody,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// State of the node.
    pub readiness: Arc<Readiness>,
    /// Start of the drain.
    pub drain: DrainSignal,
    /// Counts of the burn.
    pub burn: Arc<BurnRecorder>,
    /// Metrics.
    pub metrics: Metrics,
    /// Time of day.
    pub clock: WallClock,
}

impl NodeContext {
    /// Builds the shared parts of a node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// When a secret cannot be read, or an adapter or a metric cannot be built.
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

    /// Returns the store of manifests.
    pub fn manifest_store(&self) -> ManifestStore {
        ManifestStore::new(
            Arc::clone(&self.platform.table),
            Arc::clone(&self.platform.objects),
            RetryOptions::default(),
        )
    }

    /// Returns what other nodes may read.
    pub fn reports(&self) -> PeerReportSource {
        PeerReportSource {
            incarnation: self.incarnation,
            body: self.body.clone(),
            manifest: self.manifest(),
            readiness: Arc::clone(&self.readiness),
            burn: Arc::clone(&self.burn),
        }
    }

    /// Returns the observer of requests.
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
