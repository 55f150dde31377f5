//! Serving contexts of nodes with fake dependencies.

use std::{sync::Arc, time::Duration};

use tokio_util::task::TaskTracker;
use verbenahead::node::{
    active_manifest::ManifestView,
    admission::NodeAdmission,
    drain::DrainSignal,
    journals::Journals,
    routing::Routing,
    serving::{CallerLimits, ServingContext},
    upstream_directory::UpstreamDirectory,
};
use verbenahead::{
    burn::BurnRecorder, node::observer::RequestObserver, telemetry::metrics::Metrics,
};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId, ServiceId, VmId, time::WallClock};
use verbenahead_manifest::Manifest;
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_relay::MemoryBudget;
use verbenahead_services::{Market, MemoryTable, VmRecord, VmState};
use verbenahead_state::ledger::{
    Claimant, Ledger, LedgerOptions,
    recorder::{Recorder, RecorderOptions},
};
use verbenahead_upstream::{Connections, ConnectionsOptions, Engine, PlainServiceClient};

use super::single_node::{NoJournals, NoNodeGone};

pub fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("a valid id")
}

pub fn node() -> NodeId {
    NodeId::try_new("n1").expect("a valid id")
}

pub fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::try_new(name).expect("a valid id")
}

/// Builds the record of a live VM of the service `drafting`.
pub fn vm(id: &str, incarnation: u64, zone_name: &str) -> VmRecord {
    VmRecord {
        vm: VmId::try_new(id).expect("a valid id"),
        incarnation: Incarnation(incarnation),
        service: service(),
        zone: zone(zone_name),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        state: VmState::Live,
        class: "small".to_owned(),
        market: Market::Reclaimable,
    }
}

/// Builds a directory of the given VMs.
pub fn directory(records: &[VmRecord]) -> Arc<UpstreamDirectory> {
    let directory = UpstreamDirectory::default();
    directory.apply_list(records);
    Arc::new(directory)
}

/// Builds the serving context of a node with the given dependencies.
pub fn serving(
    engine: Arc<dyn Engine>,
    upstreams: Arc<UpstreamDirectory>,
    journals: Arc<dyn Journals>,
    drain: &DrainSignal,
) -> Arc<ServingContext> {
    let connections = Connections::new(ConnectionsOptions::default());
    Arc::new(ServingContext {
        node: node(),
        zone: zone("a"),
        manifest: ManifestView::default(),
        routing: Routing::new(node(), zone("a"), Arc::clone(&upstreams)),
        admission: NodeAdmission::new(Arc::clone(&upstreams), Arc::new(|| 1)),
        upstreams,
        engine,
        plain: PlainServiceClient::new(connections, 1024),
        ledger: Ledger::new(Arc::new(MemoryTable::default()), LedgerOptions::default()),
        recorder: Recorder::spawn(RecorderOptions::default()).0,
        claimant: Claimant {
            node: node(),
            incarnation: Incarnation(1),
        },
        liveness: Arc::new(NoNodeGone),
        work: TaskTracker::new(),
        journals,
        drain: drain.subscribe(),
        observer: RequestObserver::new(
            Arc::new(BurnRecorder::new(WallClock::default())),
            Metrics::try_new().expect("valid metrics"),
        ),
        limits: CallerLimits {
            write_stall_timeout: Duration::from_secs(5),
            ..CallerLimits::default()
        },
        memory: MemoryBudget::new(ClientMemoryOptions::default()),
    })
}

/// Builds the serving context of a node without peers.
pub fn single_node_serving(
    engine: Arc<dyn Engine>,
    upstreams: Arc<UpstreamDirectory>,
) -> Arc<ServingContext> {
    serving(
        engine,
        upstreams,
        Arc::new(NoJournals),
        &DrainSignal::default(),
    )
}

/// Builds a manifest with the services `drafting` and `booking`.
pub fn manifest() -> Arc<Manifest> {
    let text = include_str!("../../../../examples/manifest.jsonc");
    Arc::new(verbenahead_manifest::parse("manifest.jsonc", text).expect("a valid manifest"))
}
