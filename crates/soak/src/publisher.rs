//! A publisher of manifests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use rand::{Rng, SeedableRng as _, rngs::StdRng};
use serde_json::Value;
use tokio::time::sleep;
use verbenahead_standins::client::{JsonClient, Reply};

use crate::{
    invariant::BrokenInvariant,
    monitor::operator_headers,
    node_directory::{NodeDirectory, NodeEntry},
    report::Counters,
    run::StopFlag,
};

const MANIFEST: &str = include_str!("../../../examples/manifest.jsonc");

/// Field of the manifest that each publication changes.
const CHANGED_FIELD: &str = "\"share\": 2";

/// `AcceptedGeneration` is the newest generation that a publisher knows to be accepted.
#[derive(Debug, Default)]
pub struct AcceptedGeneration(AtomicU64);

impl AcceptedGeneration {
    /// Returns the generation.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn raise_to(&self, generation: u64) {
        self.0.fetch_max(generation, Ordering::AcqRel);
    }
}

/// `Publisher` publishes one generation after another. It is the only one, so a conflict
/// means that one of its own publications was accepted while the reply was lost.
#[derive(Debug)]
pub struct Publisher {
    rng: StdRng,
    directory: Arc<NodeDirectory>,
    accepted: Arc<AcceptedGeneration>,
    counters: Arc<Counters>,
    expect: u64,
}

impl Publisher {
    /// Builds a publisher.
    pub fn new(
        seed: u64,
        directory: Arc<NodeDirectory>,
        accepted: Arc<AcceptedGeneration>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            directory,
            accepted,
            counters,
            expect: 0,
        }
    }

    /// Publishes until the run stops.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] when an accepted generation is lost, or a publication replaces another
    /// generation than the one it expects.
    pub async fn run(mut self, stop: StopFlag) -> Result<(), BrokenInvariant> {
        while !stop.is_set() {
            self.publish().await?;
            sleep(Duration::from_millis(self.rng.random_range(1000..3000))).await;
        }
        Ok(())
    }

    /// Publishes once at a random node.
    ///
    /// # Errors
    ///
    /// As [`Publisher::run`].
    pub async fn publish(&mut self) -> Result<(), BrokenInvariant> {
        let Some(node) = self.directory.draw(&mut self.rng) else {
            return Ok(());
        };
        let share = self.rng.random_range(1..=9);
        let text = MANIFEST.replace(CHANGED_FIELD, &format!("\"share\": {share}"));
        let client = JsonClient::new(node.operators);
        let call = client.call(Method::PUT, "/v1/manifest", self.headers(), text);
        match call.await {
            Ok(reply) => self.apply_reply(&node, &reply),
            Err(_) => Ok(()),
        }
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = operator_headers();
        if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", self.expect)) {
            headers.insert("if-match", tag);
        }
        headers
    }

    fn apply_reply(&mut self, node: &NodeEntry, reply: &Reply) -> Result<(), BrokenInvariant> {
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        if reply.status == StatusCode::OK {
            let generation = body["generation"].as_u64().unwrap_or_default();
            self.counters.publications.increment();
            self.accepted.raise_to(generation);
            let expected = self.expect + 1;
            self.expect = generation;
            if generation != expected {
                let detail = format!("{} accepted {generation}, not {expected}", node.name);
                let broken =
                    BrokenInvariant::new("a publication follows the one it expects", detail);
                return Err(broken.with_nodes([node.name.clone()]));
            }
        }
        if reply.status == StatusCode::PRECONDITION_FAILED {
            let head = body["head"]["generation"].as_u64().unwrap_or_default();
            let accepted = self.accepted.get();
            self.expect = head;
            if head < accepted {
                let detail = format!("{} has head {head}, {accepted} was accepted", node.name);
                let broken = BrokenInvariant::new("an accepted generation stays", detail);
                return Err(broken.with_nodes([node.name.clone()]));
            }
            self.accepted.raise_to(head);
        }
        Ok(())
    }
}
