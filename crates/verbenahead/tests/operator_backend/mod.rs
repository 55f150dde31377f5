//! An in-memory backend of the operator API for tests.

use std::{sync::Mutex, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use verbenahead::{
    burn::{BurnReport, StoredState},
    operators::{
        Error, ManifestHead, NodeState, NodeView, OperatorBackend, Publication, PublicationOutcome,
        Readiness, ReclaimView, Result, StatusReport, StoredManifest, TableView, UpstreamCount,
    },
};
use verbenahead_core::{Digest, Generation, Incarnation, time::UnixMillis};

/// Example manifest of the quickstart.
pub const QUICKSTART: &str = include_str!("../../../../examples/manifest.jsonc");

/// Fault that is injected into publications that expect the current head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PublicationFault {
    /// The publication is accepted.
    #[default]
    None,
    /// The platform cannot be reached.
    NotSent,
    /// The publication takes effect, but its answer is lost.
    AnswerLost,
    /// The publication does not take effect, and its answer is lost.
    WriteLost,
}

/// `FakeBackend` holds manifests in memory.
#[derive(Debug)]
pub struct FakeBackend {
    state: Mutex<FakeState>,
}

#[derive(Debug)]
struct FakeState {
    manifests: Vec<StoredManifest>,
    fault: PublicationFault,
    is_down: bool,
    readiness: Readiness,
    burn_delay: Duration,
    status: StatusReport,
    publications: usize,
    status_reads: usize,
}

impl Default for FakeBackend {
    fn default() -> Self {
        Self {
            state: Mutex::new(FakeState {
                manifests: Vec::new(),
                fault: PublicationFault::None,
                is_down: false,
                readiness: Readiness::Ready,
                burn_delay: Duration::ZERO,
                status: status(),
                publications: 0,
                status_reads: 0,
            }),
        }
    }
}

#[allow(dead_code, reason = "each test file uses a part of the fake")]
impl FakeBackend {
    /// Creates a backend with one accepted manifest.
    pub fn with_head(text: &str) -> Self {
        let fake = Self::default();
        fake.accept("room", text);
        fake
    }

    /// Stores a manifest as the accepted one.
    pub fn accept(&self, publisher: &str, text: &str) -> ManifestHead {
        let mut state = self.state.lock().unwrap();
        state.accept(publisher, Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Sets the fault of publications.
    pub fn set_fault(&self, fault: PublicationFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Makes reads fail, or work again.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    /// Sets the readiness.
    pub fn set_readiness(&self, readiness: Readiness) {
        self.state.lock().unwrap().readiness = readiness;
    }

    /// Sets how long a burn report takes.
    pub fn set_burn_delay(&self, delay: Duration) {
        self.state.lock().unwrap().burn_delay = delay;
    }

    /// Changes the status report.
    pub fn change_status(&self, change: impl FnOnce(&mut StatusReport)) {
        change(&mut self.state.lock().unwrap().status);
    }

    /// Returns how many publications reached the backend.
    pub fn publications(&self) -> usize {
        self.state.lock().unwrap().publications
    }

    /// Returns how often the status was read.
    pub fn status_reads(&self) -> usize {
        self.state.lock().unwrap().status_reads
    }

    fn read<T>(&self, read: impl FnOnce(&FakeState) -> T) -> Result<T> {
        let state = self.state.lock().unwrap();
        if state.is_down {
            return Err(Error::unavailable("it is switched off"));
        }
        Ok(read(&state))
    }
}

impl FakeState {
    fn accept(&mut self, publisher: &str, text: Bytes) -> ManifestHead {
        let head = ManifestHead {
            generation: Generation(self.manifests.len() as u64 + 1),
            digest: Digest::of(&text),
            publisher: publisher.to_owned(),
            published_at: UnixMillis(1_800_000_000_000),
        };
        self.manifests.push(StoredManifest {
            head: head.clone(),
            text,
        });
        self.status.head = Some(head.clone());
        head
    }

    fn head(&self) -> Option<ManifestHead> {
        self.manifests.last().map(|stored| stored.head.clone())
    }
}

#[async_trait]
impl OperatorBackend for FakeBackend {
    async fn publish(&self, publication: Publication) -> PublicationOutcome {
        let mut state = self.state.lock().unwrap();
        state.publications += 1;
        let head = state.head();
        let generation = head
            .as_ref()
            .map(|head| head.generation)
            .unwrap_or_default();
        if generation != publication.expect {
            return PublicationOutcome::Conflict(head);
        }
        match state.fault {
            PublicationFault::NotSent => {
                PublicationOutcome::NotAccepted("it is switched off".to_owned())
            }
            PublicationFault::WriteLost => PublicationOutcome::Unknown("no answer".to_owned()),
            PublicationFault::AnswerLost => {
                state.accept(&publication.publisher, publication.text);
                PublicationOutcome::Unknown("no answer".to_owned())
            }
            PublicationFault::None => {
                PublicationOutcome::Accepted(state.accept(&publication.publisher, publication.text))
            }
        }
    }

    async fn head(&self) -> Result<Option<ManifestHead>> {
        self.read(FakeState::head)
    }

    async fn manifest(&self, generation: Generation) -> Result<Option<StoredManifest>> {
        let is_wanted = |stored: &&StoredManifest| stored.head.generation == generation;
        self.read(|state| state.manifests.iter().find(is_wanted).cloned())
    }

    async fn history(&self, limit: usize) -> Result<Vec<ManifestHead>> {
        self.read(|state| {
            let newest_first = state.manifests.iter().rev();
            newest_first
                .map(|stored| stored.head.clone())
                .take(limit)
                .collect()
        })
    }

    async fn status(&self) -> StatusReport {
        let mut state = self.state.lock().unwrap();
        state.status_reads += 1;
        state.status.clone()
    }

    async fn burn(&self) -> Option<BurnReport> {
        let delay = self.state.lock().unwrap().burn_delay;
        tokio::time::sleep(delay).await;
        let state = self.state.lock().unwrap();
        state.head()?;
        Some(BurnReport {
            deployment: state.status.deployment.clone().unwrap_or_default(),
            made_at: state.status.taken_at,
            made_by: state.status.node.clone(),
            answered: vec![state.status.node.clone()],
            missing: vec!["node-c1".parse().unwrap()],
            stored: StoredState::Read { age_ms: 0 },
            entries: Vec::new(),
        })
    }

    fn readiness(&self) -> Readiness {
        self.state.lock().unwrap().readiness.clone()
    }
}

/// Builds the status of a deployment with two nodes.
pub fn status() -> StatusReport {
    StatusReport {
        deployment: Some("quickstart".to_owned()),
        node: "node-a1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        taken_at: UnixMillis(1_800_000_060_000),
        head: None,
        table: TableView {
            is_reachable: true,
            last_answer_age_ms: Some(20),
        },
        nodes: vec![node("node-a1", "a", 0), node("node-b1", "b", 900)],
        upstreams: vec![UpstreamCount {
            service: "drafting".parse().unwrap(),
            zone: "a".parse().unwrap(),
            state: "live".to_owned(),
            count: 2,
        }],
        reclaims: vec![ReclaimView {
            vm: "engine-2".parse().unwrap(),
            service: Some("drafting".parse().unwrap()),
            zone: Some("b".parse().unwrap()),
            remaining_ms: 12_000,
        }],
    }
}

fn node(id: &str, zone: &str, last_heard_ms: u64) -> NodeView {
    NodeView {
        node: id.parse().unwrap(),
        incarnation: Incarnation(1),
        zone: zone.parse().unwrap(),
        state: NodeState::Serving,
        generation: Generation(1),
        last_heard_ms,
        version: "0.1.0".to_owned(),
    }
}
