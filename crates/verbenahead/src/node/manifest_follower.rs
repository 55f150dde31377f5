//! Keeps the accepted manifest in force on a node.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::{sync::watch, time::sleep};
use verbenahead_manifest::Manifest;
use verbenahead_state::{
    Applied, ApplyOutcome, InForce, KnownGeneration, ManifestStore, StartDecision,
};

use crate::node::platform_health::PlatformHealth;

/// Pause before a body that could not be read is asked for again.
const BODY_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// `KnownByPeers` tells the highest generations that the reachable peers have in force.
pub type KnownByPeers = Arc<dyn Fn() -> Vec<KnownGeneration> + Send + Sync>;

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
    peers: KnownByPeers,
    news: watch::Receiver<Option<KnownGeneration>>,
    options: ManifestFollowerOptions,
}

impl ManifestFollower {
    /// Builds a follower. `news` holds the highest generation that a peer has told of.
    pub fn new(
        store: ManifestStore,
        in_force: Arc<InForce<Manifest>>,
        health: Arc<PlatformHealth>,
        peers: KnownByPeers,
        news: watch::Receiver<Option<KnownGeneration>>,
        options: ManifestFollowerOptions,
    ) -> Self {
        Self {
            store,
            in_force,
            health,
            peers,
            news,
            options,
        }
    }

    /// Tries once to learn and apply the manifest in force. Returns whether the node may serve.
    pub async fn learn(&self) -> bool {
        let head = self.store.head().await;
        if let Err(error) = &head {
            self.health.failed();
            tracing::warn!(%error, "the head was not read");
        }
        match StartDecision::decide(&head, &(self.peers)()) {
            StartDecision::Apply(known) => self.apply(known).await,
            StartDecision::NothingPublished | StartDecision::NotReady => false,
        }
    }

    /// Runs until `stop` closes.
    pub async fn run(mut self, mut stop: watch::Receiver<()>) {
        loop {
            let pause = self.poll_pause();
            tokio::select! {
                Ok(()) = self.news.changed() => self.follow_news().await,
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

    async fn follow_news(&mut self) {
        let known = *self.news.borrow_and_update();
        let Some(known) = known else { return };
        if known.generation > self.in_force.generation() && !self.apply(known).await {
            sleep(BODY_RETRY_PAUSE).await;
            self.news.mark_changed();
        }
    }

    async fn poll(&self) {
        match self.store.head().await {
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

    async fn read(&self, known: KnownGeneration) -> anyhow::Result<Applied<Manifest>> {
        let body = self.store.body(known.digest).await?;
        let text = std::str::from_utf8(&body)?;
        let manifest = verbenahead_manifest::parse(&known.digest.to_string(), text)?;
        Ok(Applied {
            generation: known.generation,
            digest: known.digest,
            manifest: Arc::new(manifest),
        })
    }
}
