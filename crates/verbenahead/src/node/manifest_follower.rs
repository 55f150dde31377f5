//! Applies accepted manifests on a node.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
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

/// Delay before a manifest body that could not be read is requested again.
const BODY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// `ManifestFollowerOptions` configures how often the head row is read.
#[derive(Debug, Clone)]
pub struct ManifestFollowerOptions {
    /// Mean time between two reads of the head row. Peers announce a new head at once; polling
    /// covers announcements that were lost.
    pub poll_period: Duration,
}

impl Default for ManifestFollowerOptions {
    fn default() -> Self {
        Self {
            poll_period: Duration::from_secs(5),
        }
    }
}

/// `ManifestFollower` applies accepted manifests. The generation in force never decreases.
pub struct ManifestFollower {
    store: ManifestStore,
    in_force: Arc<InForce<Manifest>>,
    health: Arc<PlatformHealth>,
    peers: PeerManifests,
    body: ManifestBody,
    options: ManifestFollowerOptions,
}

impl ManifestFollower {
    /// Creates a follower. The body in force is stored in `body`, from which peers can read it.
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

    /// Tries once to find and apply the accepted manifest. Returns whether the node may serve.
    pub async fn apply_current(&self) -> bool {
        let (head, peers) = tokio::join!(self.store.head(), self.peers.refresh());
        match &head {
            Ok(_) => self.health.record_success(),
            Err(error) => {
                self.health.record_failure();
                tracing::warn!(%error, "cannot read the manifest head");
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
            let pause = self.jittered_poll_period();
            tokio::select! {
                Ok(()) = news.changed() => self.apply_news(&mut news).await,
                () = sleep(pause) => self.poll().await,
                _ = stop.changed() => return,
            }
        }
    }

    /// Returns the poll period with random jitter, so that nodes do not poll at the same time.
    fn jittered_poll_period(&self) -> Duration {
        let factor = rand::rng().random_range(0.5..1.5);
        self.options.poll_period.mul_f64(factor)
    }

    async fn apply_news(&self, news: &mut watch::Receiver<Arc<NewsSnapshot>>) {
        let known = known_generation(&news.borrow_and_update());
        let Some(known) = known else { return };
        if known.generation > self.in_force.generation() && !self.apply(known).await {
            sleep(BODY_RETRY_DELAY).await;
            news.mark_changed();
        }
    }

    async fn poll(&self) {
        let head = self.store.head().await;
        if head.is_ok() {
            self.health.record_success();
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
                self.health.record_failure();
                tracing::warn!(%error, "cannot read the manifest head");
            }
        }
    }

    /// Reads and applies the manifest. Returns whether `known` or a later generation is in force.
    async fn apply(&self, known: KnownGeneration) -> bool {
        match self.read(known).await {
            Ok(applied) => {
                if self.in_force.apply(applied) == ApplyOutcome::Applied {
                    tracing::info!(generation = %known.generation, "manifest in force");
                }
            }
            Err(error) => {
                tracing::warn!(generation = %known.generation, %error, "cannot apply the manifest");
            }
        }
        self.in_force.generation() >= known.generation
    }

    async fn read(&self, known: KnownGeneration) -> anyhow::Result<AppliedManifest<Manifest>> {
        let body = match self.body.get(known.digest) {
            Some(body) => body,
            None => self.read_body(known).await?,
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
    /// Reads the body from the platform, or from another node while the platform does not answer.
    async fn read_body(&self, known: KnownGeneration) -> anyhow::Result<Bytes> {
        match self.store.body(known.digest).await {
            Ok(body) => Ok(body),
            Err(error) => {
                self.health.record_failure();
                let from_peer = self.peers.body(known.digest).await;
                Ok(from_peer.ok_or(error)?)
            }
        }
    }
}
