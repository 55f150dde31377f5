//! Services that run from the start of a node until it has drained: the operator API and the burn
//! counts.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::timeout};
use verbenahead_core::timer::TimerService;

use crate::{
    burn::{BurnFlush, BurnFlushOptions, BurnReporter, BurnReporterOptions, BurnStore},
    node::{
        client_watch,
        http_server::{self, HttpServerOptions, ServerPhase},
        manifest_head_cache::ManifestHeadCache,
        node_context::NodeContext,
        operator_backend::NodeBackend,
        peer_report_reader::PeerReportReader,
        peering::Peering,
    },
    operators::{self, ManifestAccess, OperatorApi, OperatorApiOptions, OperatorKeys},
};

/// Maximum time for open operator connections to end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// `BackgroundServices` holds the running services.
pub struct BackgroundServices {
    phase: watch::Sender<ServerPhase>,
    closing: watch::Sender<()>,
    server: JoinHandle<()>,
    burn: BurnFlush,
}

impl BackgroundServices {
    /// Starts the operator API and the periodic write of the burn counts.
    ///
    /// # Errors
    ///
    /// When a credential of an operator cannot be read.
    pub fn start(
        context: &NodeContext,
        peering: &Peering,
        listener: TcpListener,
        options: HttpServerOptions,
    ) -> anyhow::Result<Self> {
        let (phase, phase_rx) = watch::channel(ServerPhase::Open);
        let (closing, closing_rx) = watch::channel(());
        let keys = OperatorKeys::try_new(&context.settings.operators)
            .context("cannot read the operators' credentials")?;
        let head = ManifestHeadCache::default();
        let head_closing = closing_rx.clone();
        tokio::spawn(head.clone().follow(
            context.manifest_store(),
            context.manifest(),
            head_closing,
        ));
        let (open, read_stall) = (closing_rx.clone(), context.settings.limits.read_stall);
        tokio::spawn(client_watch::run(
            context.clients.memory(),
            move || open.has_changed().is_ok().then_some(read_stall),
            context.metrics.connections_closed.clone(),
        ));
        let api = OperatorApi::new(
            Arc::new(backend(context, peering, head.clone())),
            keys,
            context.metrics.clone(),
            closing_rx,
            context.clients.memory(),
            OperatorApiOptions::default(),
        );
        let server = http_server::serve(listener, operators::router(api), options, phase_rx);
        let burn = BurnFlush::spawn(
            Arc::clone(&context.burn),
            burn_store(context),
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

    /// Writes the last burn counts and closes the operator API.
    pub async fn stop(self) {
        self.burn.close().await;
        drop(self.closing);
        self.phase.send_replace(ServerPhase::Closing);
        if timeout(CLOSE_TIMEOUT, self.server).await.is_err() {
            tracing::info!("operator connections were still open at the timeout");
        }
    }
}

fn backend(context: &NodeContext, peering: &Peering, head: ManifestHeadCache) -> NodeBackend {
    let clock = context.clock;
    let peer_reports = PeerReportReader::new(
        peering.identity.node.clone(),
        peering.membership.clone(),
        peering.clients.clone(),
    );
    NodeBackend {
        identity: peering.identity.clone(),
        manifests: ManifestAccess::new(context.manifest_store(), clock),
        reports: context.reports(),
        peer_reports,
        news: peering.news.clone(),
        directory: Arc::clone(&context.directory),
        health: Arc::clone(&context.health),
        burn: BurnReporter::new(burn_store(context), clock, BurnReporterOptions::default()),
        head,
    }
}

fn burn_store(context: &NodeContext) -> BurnStore {
    BurnStore::new(Arc::clone(&context.platform.table))
}
