//! What runs beside the life cycle of a node, from its start until it has drained.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::timeout};
use verbenahead_core::timer::TimerService;

use crate::{
    burn::{BurnFlush, BurnFlushOptions, BurnReporter, BurnReporterOptions, BurnStore},
    node::{
        http_server::{self, HttpServerOptions, ServerPhase},
        known_head::KnownHead,
        node_context::NodeContext,
        operator_backend::NodeBackend,
        peer_report_reader::PeerReportReader,
        peering::Peering,
    },
    operators::{self, ManifestAccess, OperatorApi, OperatorApiOptions, OperatorKeys},
};

/// Longest time for the calls of operators to end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// `Background` is what runs beside the life cycle.
pub struct Background {
    phase: watch::Sender<ServerPhase>,
    closing: watch::Sender<()>,
    server: JoinHandle<()>,
    burn: BurnFlush,
}

impl Background {
    /// Serves operators and starts to write the counts of the burn.
    ///
    /// # Errors
    ///
    /// When a credential of the operators cannot be read.
    pub fn start(
        shared: &NodeContext,
        peering: &Peering,
        listener: TcpListener,
        options: HttpServerOptions,
    ) -> anyhow::Result<Self> {
        let (phase, phase_rx) = watch::channel(ServerPhase::Open);
        let (closing, closing_rx) = watch::channel(());
        let keys = OperatorKeys::try_new(&shared.settings.operators)
            .context("cannot read the operators' credentials")?;
        let head = KnownHead::default();
        let following = closing_rx.clone();
        tokio::spawn(
            head.clone()
                .follow(shared.manifest_store(), shared.manifest(), following),
        );
        let api = OperatorApi::new(
            Arc::new(backend(shared, peering, head.clone())),
            keys,
            shared.metrics.clone(),
            closing_rx,
            OperatorApiOptions::default(),
        );
        let server = http_server::serve(listener, operators::router(api), options, phase_rx);
        let burn = BurnFlush::spawn(
            Arc::clone(&shared.burn),
            burn_store(shared),
            peering.identity.node.clone(),
            peering.identity.incarnation,
            TimerService,
            BurnFlushOptions::default(),
        );
        Ok(Self {
            phase,
            closing,
            server: tokio::spawn(server),
            burn,
        })
    }

    /// Ends what runs beside the life cycle.
    pub async fn stop(self) {
        self.burn.close().await;
        drop(self.closing);
        self.phase.send_replace(ServerPhase::Closing);
        if timeout(CLOSE_TIMEOUT, self.server).await.is_err() {
            tracing::info!("connections of operators were left open");
        }
    }
}

fn backend(shared: &NodeContext, peering: &Peering, head: KnownHead) -> NodeBackend {
    let clock = shared.clock;
    let survey = PeerReportReader::new(
        peering.identity.node.clone(),
        peering.membership.clone(),
        peering.clients.clone(),
    );
    NodeBackend {
        identity: peering.identity.clone(),
        manifests: ManifestAccess::new(shared.manifest_store(), clock),
        reports: shared.reports(),
        survey,
        news: peering.news.clone(),
        directory: Arc::clone(&shared.directory),
        health: Arc::clone(&shared.health),
        burn: BurnReporter::new(burn_store(shared), clock, BurnReporterOptions::default()),
        head,
    }
}

fn burn_store(shared: &NodeContext) -> BurnStore {
    BurnStore::new(Arc::clone(&shared.platform.table))
}
