//! Simulated deployment of nodes whose replicas crash on harmful requests, in virtual time.

#[path = "../network_support/mod.rs"]
mod network_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use network_support::{
    Link, Network, REPORTS, STEP, address, chosen, full_roster, node_id, replica,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};
use verbenahead_core::units::Tokens;
use verbenahead_membership::{NameKey, QuarantineMessage, SharedRoster};
use verbenahead_relay::{
    AgreedClock, ContentQuarantine, ContentQuarantineOptions, Fingerprint, QuarantineTransport,
    RequestContent, dialect::PromptPart,
};

pub use network_support::{Condition, service};

/// Part with which a request crashes its replica.
pub const HARMFUL: u64 = 0xbad;

/// Request that crashes its replica.
pub const HARMFUL_REQUEST: Fingerprint = Fingerprint(0xbad0);

/// `Harm` is what crashes replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// A part of prompts, in requests of which no two are alike.
    Part,
    /// One request without a prompt, which comes again.
    Request,
    /// One request with a prompt, which comes again. No other request has the last of its shared parts.
    RequestWithPrompt,
}

/// Part of the prompt of the harmful request only.
pub const RARE: u64 = 0xaa;

/// Part of all prompts.
pub const GENERAL: u64 = 0x1;

/// `Deployment` is a set of nodes in front of one service.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub network: Arc<Network<QuarantineMessage>>,
    harm: Harm,
    outcomes: Mutex<Outcomes>,
    /// Most suspects in a report of crashes.
    largest_report: Arc<AtomicUsize>,
    rng: Mutex<StdRng>,
}

/// `Node` is one node of the deployment.
pub struct Node {
    pub quarantine: Arc<ContentQuarantine>,
    roster: SharedRoster,
}

#[derive(Default)]
struct Outcomes {
    /// Times at which harmful requests were sent to replicas.
    sent: Vec<Instant>,
    /// Times at which replicas crashed on them.
    crashes: Vec<Instant>,
    sound: u64,
    sound_refused: u64,
    next_replica: u64,
}

impl QuarantineTransport for Link<QuarantineMessage> {
    fn send(&self, to: &[SocketAddr], message: &QuarantineMessage) {
        for address in to {
            self.carry(*address, message.clone());
        }
    }
}

/// Returns the content of a new request whose prompt has these shared parts.
pub fn content(parts: &[u64]) -> RequestContent {
    static NEXT: AtomicU64 = AtomicU64::new(0x1_0000);
    content_of(Fingerprint(NEXT.fetch_add(1, Ordering::Relaxed)), parts)
}

/// Returns the content of the harmful request.
pub fn harmful_request() -> RequestContent {
    content_of(HARMFUL_REQUEST, &[])
}

/// Returns the content of a request with this fingerprint whose prompt has these shared parts.
pub fn content_of(fingerprint: Fingerprint, parts: &[u64]) -> RequestContent {
    let tokens = Tokens(100);
    let parts: Vec<PromptPart> = parts
        .iter()
        .map(|id| PromptPart { id: *id, tokens })
        .collect();
    RequestContent::new(&service(), fingerprint, &parts)
}

impl Deployment {
    /// Starts `count` nodes that all know each other, with harmful parts of prompts.
    pub fn start(count: usize, seed: u64) -> Arc<Self> {
        Self::start_with(Harm::Part, count, seed)
    }

    /// Starts `count` nodes that all know each other.
    pub fn start_with(harm: Harm, count: usize, seed: u64) -> Arc<Self> {
        let network = Network::new(count, seed);
        let largest_report = Arc::new(AtomicUsize::new(0));
        let build = |n| {
            let roster = full_roster(n, count);
            let link = Link {
                from: n,
                network: Arc::clone(&network),
            };
            let quarantine = Arc::new(ContentQuarantine::new(
                ContentQuarantineOptions::default(),
                node_id(n),
                roster.clone(),
                Arc::new(link),
                Arc::new(AgreedClock::default()),
            ));
            let receiver = Arc::downgrade(&quarantine);
            let largest_report = Arc::clone(&largest_report);
            network.add_receiver(Arc::new(move |message, from| {
                if let QuarantineMessage::Crashes { crashes, .. } = &message {
                    let suspects = crashes.iter().map(|crash| crash.suspects.len()).sum();
                    largest_report.fetch_max(suspects, Ordering::Relaxed);
                }
                if let Some(quarantine) = receiver.upgrade() {
                    quarantine.handle(message, from);
                }
            }));
            Node { quarantine, roster }
        };
        let nodes = (0..count).map(build).collect();
        let deployment = Arc::new(Self {
            nodes,
            network,
            harm,
            outcomes: Mutex::default(),
            largest_report: Arc::clone(&largest_report),
            rng: Mutex::new(StdRng::seed_from_u64(seed ^ 0x5eed)),
        });
        for n in 0..count {
            tokio::spawn(Arc::clone(&deployment).report_regularly(n));
        }
        deployment
    }

    async fn report_regularly(self: Arc<Self>, n: usize) {
        while self.network.wait_for(n).await {
            for _ in 0..REPORTS {
                let to = self.draw(self.nodes.len());
                if self.network.delivers_report(n, to) {
                    self.report(n, to);
                }
            }
            sleep(STEP).await;
        }
    }

    /// Delivers a report of one node to another.
    pub fn report(&self, from: usize, to: usize) {
        let mut report = self.network.next_report(from);
        report.quarantined = self.nodes[from].quarantine.reported();
        let to = &self.nodes[to];
        to.quarantine.merge(&report.quarantined, address(from));
        to.roster.lock().apply_report(report, address(from));
    }

    /// Returns the nodes that assess the crashes of the service, the first choice first.
    pub fn assessors(&self) -> [usize; 2] {
        let key = NameKey::from(&service());
        let first = chosen(key, 0..self.nodes.len());
        let others = (0..self.nodes.len()).filter(|node| *node != first);
        [first, chosen(key, others)]
    }

    /// Sends harmful requests to random nodes for `seconds`, `rate` a second, and as many sound ones that
    /// have the general part and one of some hundred others.
    pub async fn run(self: &Arc<Self>, seconds: f64, rate: f64) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            let (harmful, sound) = (self.draw(self.nodes.len()), self.draw(self.nodes.len()));
            tokio::spawn(Arc::clone(self).send_harmful(harmful));
            tokio::spawn(Arc::clone(self).send_sound(sound));
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }

    async fn send_harmful(self: Arc<Self>, node: usize) {
        let content = match self.harm {
            Harm::Part => content(&[GENERAL, HARMFUL]),
            Harm::Request => harmful_request(),
            Harm::RequestWithPrompt => content_of(HARMFUL_REQUEST, &[GENERAL, RARE]),
        };
        let quarantine = &self.nodes[node].quarantine;
        if !self.network.runs(node) || quarantine.find(&content).is_some() {
            return;
        }
        self.lock().sent.push(Instant::now());
        let delay = Duration::from_millis(30 + self.draw(300) as u64);
        sleep(delay).await;
        let replica = {
            let mut outcomes = self.lock();
            outcomes.crashes.push(Instant::now());
            outcomes.next_replica += 1;
            replica(&format!("i-{}", outcomes.next_replica))
        };
        if self.network.runs(node) {
            quarantine.record_crash(&replica, &content);
        }
        // A sound request of another node was about to be answered there.
        let rider = self.draw(self.nodes.len());
        let rider_content = self::content(&[GENERAL, self.draw_sound_part()]);
        if self.network.runs(rider) {
            let quarantine = &self.nodes[rider].quarantine;
            quarantine.record_crash(&replica, &rider_content);
        }
    }

    async fn send_sound(self: Arc<Self>, node: usize) {
        let content = content(&[GENERAL, self.draw_sound_part()]);
        let quarantine = &self.nodes[node].quarantine;
        if !self.network.runs(node) {
            return;
        }
        let is_refused = quarantine.find(&content).is_some();
        {
            let mut outcomes = self.lock();
            outcomes.sound += 1;
            outcomes.sound_refused += u64::from(is_refused);
        }
        if !is_refused {
            sleep(Duration::from_millis(400)).await;
            quarantine.record_complete(&content);
        }
    }

    /// Lets `count` replicas fail at the same moment. Each had requests of some nodes with parts that only
    /// a few replicas have.
    pub fn fail_together(&self, count: usize, parts_of_each: usize) {
        for _ in 0..count {
            let replica = {
                let mut outcomes = self.lock();
                outcomes.next_replica += 1;
                replica(&format!("i-{}", outcomes.next_replica))
            };
            for _ in 0..parts_of_each {
                let node = self.draw(self.nodes.len());
                let content = content(&[GENERAL, 0x9000 + self.draw(8) as u64]);
                self.nodes[node].quarantine.record_crash(&replica, &content);
            }
        }
    }

    /// Lets a new replica crash as it begins to answer a request of one node.
    pub fn crash_once(&self, node: usize, number: u64, content: &RequestContent) {
        let replica = replica(&format!("i-once-{number}"));
        self.nodes[node].quarantine.record_crash(&replica, content);
    }

    fn draw_sound_part(&self) -> u64 {
        0x1000 + self.draw(300) as u64
    }

    fn draw(&self, below: usize) -> usize {
        let mut rng = self.rng.lock().expect("no panic");
        rng.random_range(0..below)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Outcomes> {
        self.outcomes.lock().expect("no panic")
    }

    /// Returns the most suspects in a report of crashes.
    pub fn largest_report(&self) -> usize {
        self.largest_report.load(Ordering::Relaxed)
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> usize {
        self.lock().crashes.len()
    }

    /// Returns the number of harmful requests that were sent later than `period` after the fifth crash on
    /// a part, or the third on a request, or after the last one if there were fewer.
    pub fn late(&self, period: Duration) -> usize {
        let outcomes = self.lock();
        let mut crashes = outcomes.crashes.clone();
        crashes.sort();
        let counted = match self.harm {
            Harm::Part => 4,
            Harm::Request | Harm::RequestWithPrompt => 2,
        };
        let Some(counted) = crashes.get(counted).or(crashes.last()) else {
            return 0;
        };
        let limit = *counted + period;
        outcomes.sent.iter().filter(|sent| **sent > limit).count()
    }

    /// Returns the part of the sound requests that were refused.
    pub fn sound_refused(&self) -> f64 {
        let outcomes = self.lock();
        outcomes.sound_refused as f64 / outcomes.sound.max(1) as f64
    }

    /// Returns the number of running nodes that keep a part from replicas.
    pub fn quarantining(&self, part: u64) -> usize {
        self.quarantining_content(&content(&[part]))
    }

    /// Returns the number of running nodes that keep the harmful request from replicas.
    pub fn quarantining_request(&self) -> usize {
        self.quarantining_content(&harmful_request())
    }

    fn quarantining_content(&self, content: &RequestContent) -> usize {
        let is_quarantining = |(n, node): &(usize, &Node)| {
            self.network.runs(*n) && node.quarantine.find(content).is_some()
        };
        self.nodes
            .iter()
            .enumerate()
            .filter(is_quarantining)
            .count()
    }
}
