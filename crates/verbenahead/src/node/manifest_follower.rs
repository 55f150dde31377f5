//! Keeps the accepted manifest in force on a node.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::{sync::watch, time::sleep};
use verbenahead_manifest::Manifest;
use verbenahead_membership::NewsSnapshot;
use verbenahead_state::{
    AppliedManifest, ApplyOutcome, InForce, KnownGeneration, ManifestStore, StartDecision,
};

use crate::node::{
    peer_manifests::{PeerManifests, known_generation},
    peer_reports::ManifestBody,
    platform_health::PlatformHealth,
};

/// Pause before a body that could not be read is asked for again.
const BODY_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// `ManifestFollowerOptions` sets how often the head row is read.
#[derive(Debug, Clone)]
pub struct ManifestFollowerOptions {
    /// Mean time between two readings of the head row. News from peers come at once; the reading
    /// covers news that were lost.
    pub poll_period: Duration,
}

impl Default for ManifestFollowerOptions {
    fn default() -> Self {
        Self {
            poll_period: Duration::from_secs(5),
        }
    }
}

/// `ManifestFollower` applies accepted manifests of rising generations.
pub struct ManifestFollower {
    store: ManifestStore,
    in_force: Arc<InForce<Manifest>>,
    health: Arc<PlatformHealth>,
    peers: PeerManifests,
    body: ManifestBody,
    options: ManifestFollowerOptions,
}

impl ManifestFollower {
    /// Builds a follower. The body in force is kept in `body` for peers.
    pub fn new(
        store: ManifestStore,
        in_force: Arc<InForce<Manifest>>,
        health: Arc<PlatformHealth>,
        peers: PeerManifests,
        body: ManifestBody,
        options: ManifestFollowerOptions,
    ) -> Self {
        Self {
            store,
            in_force,
            health,
            peers,
            body,
            options,
        }
    }

    /// Tries once to learn and apply the manifest in force. Returns whether the node may serve.
    pub async fn learn(&self) -> bool {
        let (head, peers) = tokio::join!(self.store.head(), self.peers.refresh());
        match &head {
            Ok(_) => self.health.answered(),
            Err(error) => {
                self.health.failed();
                tracing::warn!(%error, "the head was not read");
            }
        }
        match StartDecision::decide(&head, &peers) {
            StartDecision::Apply(known) => self.apply(known).await,
            StartDecision::NothingPublished | StartDecision::NotReady => false,
        }
    }

    /// Runs until `stop` closes.
    pub async fn run(self, mut stop: watch::Receiver<()>) {
        let mut news = self.peers.subscribe();
        loop {
            let pause = self.poll_pause();
            tokio::select! {
                Ok(()) = news.changed() => self.follow_news(&mut news).await,
                () = sleep(pause) => self.poll().await,
                _ = stop.changed() => return,
            }
        }
    }

    /// Returns a random time around the period, so that nodes do not ask at the same moment.
    fn poll_pause(&self) -> Duration {
        let factor = rand::rng().random_range(0.5..1.5);
        self.options.poll_period.mul_f64(factor)
    }

    async fn follow_news(&self, news: &mut watch::Receiver<Arc<NewsSnapshot>>) {
        let known = known_generation(&news.borrow_and_update());
        let Some(known) = known else { return };
        if known.generation > self.in_force.generation() && !self.apply(known).await {
            sleep(BODY_RETRY_PAUSE).await;
            news.mark_changed();
        }
    }

    async fn poll(&self) {
        let head = self.store.head().await;
        if head.is_ok() {
            self.health.answered();
        }
        match head {
            Ok(Some(head)) if head.generation > self.in_force.generation() => {
                let known = KnownGeneration {
                    generation: head.generation,
                    digest: head.digest,
                };
                self.apply(known).await;
            }
            Ok(_) => {}
            Err(error) => {
                self.health.failed();
                tracing::warn!(%error, "the head was not read");
            }
        }
    }

    /// Reads the body and puts it in force. Returns whether the generation or a later one is.
    async fn apply(&self, known: KnownGeneration) -> bool {
        match self.read(known).await {
            Ok(applied) => {
                if self.in_force.apply(applied) == ApplyOutcome::Applied {
                    tracing::info!(generation = %known.generation, "manifest in force");
                }
            }
            Err(error) => {
                tracing::warn!(generation = %known.generation, %error, "manifest not applied");
            }
        }
        self.in_force.generation() >= known.generation
    }

    async fn read(&self, known: KnownGeneration) -> anyhow::Result<AppliedManifest<Manifest>> {
        let body = match self.store.body(known.digest).await {
            Ok(body) => body,
            Err(error) => {
                self.health.failed();
                let from_peer = self.peers.body(known.digest).await;
                from_peer.ok_or(error)?
            }
        };
        let text = std::str::from_utf8(&body)?;
        let manifest = verbenahead_manifest::parse(&known.digest.to_string(), text)?;
        self.body.set(known.digest, body.clone());
        Ok(AppliedManifest {
            generation: known.generation,
            digest: known.digest,
            manifest: Arc::new(manifest),
        })
    }
}
