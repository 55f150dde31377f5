//! Simulated deployment of nodes whose replicas crash on a part of a prompt, in virtual time.

#[path = "../network_support/mod.rs"]
mod network_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use network_support::{Link, Network, address, bare_report, node_id, zone};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};
use verbenahead_core::{Incarnation, ServiceId, UpstreamId, units::Tokens};
use verbenahead_membership::{NameKey, QuarantineMessage, Roster, RosterOptions, SharedRoster};
use verbenahead_policy::first_choice;
use verbenahead_relay::{
    AgreedClock, PromptQuarantine, PromptQuarantineOptions, QuarantineTransport,
    dialect::PromptPart,
    upstream::{UpstreamEntry, UpstreamProfile},
};
use verbenahead_services::Market;
use verbenahead_upstream::UpstreamAddress;

pub use network_support::Condition;

/// Part with which a request crashes its replica.
pub const HARMFUL: u64 = 0xbad;

/// Part of all prompts.
pub const GENERAL: u64 = 0x1;

/// Time between two steps of a node.
const STEP: Duration = Duration::from_millis(250);

/// Reports that a node sends in a step.
const REPORTS: usize = 2;

/// `Deployment` is a set of nodes in front of one service.
pub struct Deployment {
    pub nodes: Vec<Node>,
    network: Arc<Network<QuarantineMessage>>,
    outcomes: Mutex<Outcomes>,
    /// Most suspects in a report of crashes.
    largest_report: Arc<AtomicUsize>,
    rng: Mutex<StdRng>,
}

/// `Node` is one node of the deployment.
pub struct Node {
    pub quarantine: Arc<PromptQuarantine>,
    roster: SharedRoster,
    sequence: Mutex<u64>,
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

pub fn service() -> ServiceId {
    ServiceId::try_new("drafts").expect("valid id")
}

/// Returns the shared parts of a prompt.
pub fn parts(ids: &[u64]) -> Vec<PromptPart> {
    let tokens = Tokens(100);
    ids.iter()
        .map(|id| PromptPart { id: *id, tokens })
        .collect()
}

/// Returns a replica that no other call returned.
fn new_replica(number: u64) -> UpstreamEntry {
    UpstreamEntry::new(UpstreamProfile {
        address: UpstreamAddress {
            upstream: UpstreamId::try_new(format!("i-{number}")).expect("valid id"),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([10, 0, 1, 1], 80)),
        },
        service: service(),
        zone: zone(),
        market: Market::OnDemand,
        class: String::new(),
        slots: Some(8),
    })
}

impl Deployment {
    /// Starts `count` nodes that all know each other.
    pub fn start(count: usize, seed: u64) -> Arc<Self> {
        let network = Network::new(count, seed);
        let largest_report = Arc::new(AtomicUsize::new(0));
        let build = |n| {
            let roster = SharedRoster::new(Roster::new(node_id(n), RosterOptions::default()));
            for other in (0..count).filter(|other| *other != n) {
                let mut roster = roster.lock();
                roster.add_listed(node_id(other), address(other), zone());
            }
            let link = Link {
                from: n,
                network: Arc::clone(&network),
            };
            let quarantine = Arc::new(PromptQuarantine::new(
                PromptQuarantineOptions::default(),
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
            Node {
                quarantine,
                roster,
                sequence: Mutex::new(0),
            }
        };
        let nodes = (0..count).map(build).collect();
        let deployment = Arc::new(Self {
            nodes,
            network,
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
        loop {
            match self.network.condition(n) {
                Condition::Dead => return,
                Condition::Paused(until) => sleep_until(until).await,
                Condition::Running | Condition::Parted(_) => {}
            }
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
        let mut sequence = self.nodes[from].sequence.lock().expect("no panic");
        *sequence += 1;
        let mut report = bare_report(node_id(from), *sequence);
        report.quarantined = self.nodes[from].quarantine.reported();
        let to = &self.nodes[to];
        to.quarantine.merge(&report.quarantined, address(from));
        to.roster.lock().apply_report(report, address(from));
    }

    pub fn set_condition(&self, node: usize, condition: Condition) {
        self.network.set_condition(node, condition);
    }

    pub fn set_loss(&self, loss: f64) {
        self.network.set_loss(loss);
    }

    pub fn set_delay(&self, delay: Duration) {
        self.network.set_delay(delay);
    }

    /// Returns the nodes that assess the crashes of the service, the first choice first.
    pub fn assessors(&self) -> [usize; 2] {
        let key = NameKey::from(&service()).0;
        let mut ids: Vec<_> = (0..self.nodes.len()).map(node_id).collect();
        let all = ids.clone();
        let mut next = || {
            let chosen = first_choice(key, &ids).expect("a node").clone();
            ids.retain(|id| *id != chosen);
            all.iter().position(|id| *id == chosen).expect("listed")
        };
        [next(), next()]
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

    fn runs(&self, node: usize) -> bool {
        let condition = self.network.condition(node);
        matches!(condition, Condition::Running | Condition::Parted(_))
    }

    async fn send_harmful(self: Arc<Self>, node: usize) {
        let parts = parts(&[GENERAL, HARMFUL]);
        let quarantine = &self.nodes[node].quarantine;
        if !self.runs(node) || quarantine.find(&service(), &parts).is_some() {
            return;
        }
        self.lock().sent.push(Instant::now());
        let delay = Duration::from_millis(30 + self.draw(300) as u64);
        sleep(delay).await;
        let replica = {
            let mut outcomes = self.lock();
            outcomes.crashes.push(Instant::now());
            outcomes.next_replica += 1;
            new_replica(outcomes.next_replica)
        };
        if self.runs(node) {
            quarantine.record_crash(&replica, &parts);
        }
        // A sound request of another node was about to be answered there.
        let rider = self.draw(self.nodes.len());
        let rider_parts = self::parts(&[GENERAL, self.draw_sound_part()]);
        if self.runs(rider) {
            let quarantine = &self.nodes[rider].quarantine;
            quarantine.record_crash(&replica, &rider_parts);
        }
    }

    async fn send_sound(self: Arc<Self>, node: usize) {
        let parts = parts(&[GENERAL, self.draw_sound_part()]);
        let quarantine = &self.nodes[node].quarantine;
        if !self.runs(node) {
            return;
        }
        let is_refused = quarantine.find(&service(), &parts).is_some();
        {
            let mut outcomes = self.lock();
            outcomes.sound += 1;
            outcomes.sound_refused += u64::from(is_refused);
        }
        if !is_refused {
            sleep(Duration::from_millis(400)).await;
            quarantine.record_complete(&service(), &parts);
        }
    }

    /// Lets `count` replicas fail at the same moment. Each had requests of some nodes with parts that only
    /// a few replicas have.
    pub fn fail_together(&self, count: usize, parts_of_each: usize) {
        for _ in 0..count {
            let replica = {
                let mut outcomes = self.lock();
                outcomes.next_replica += 1;
                new_replica(outcomes.next_replica)
            };
            for _ in 0..parts_of_each {
                let node = self.draw(self.nodes.len());
                let parts = parts(&[GENERAL, 0x9000 + self.draw(8) as u64]);
                self.nodes[node].quarantine.record_crash(&replica, &parts);
            }
        }
    }

    /// Lets a new replica crash as it begins to answer a request of one node.
    pub fn crash_once(&self, node: usize, number: u64, parts: &[PromptPart]) {
        let replica = new_replica(1_000_000 + number);
        self.nodes[node].quarantine.record_crash(&replica, parts);
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

    /// Returns the number of harmful requests that were sent later than `period` after the fifth crash,
    /// or after the last one if there were fewer.
    pub fn late(&self, period: Duration) -> usize {
        let outcomes = self.lock();
        let mut crashes = outcomes.crashes.clone();
        crashes.sort();
        let Some(counted) = crashes.get(4).or(crashes.last()) else {
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
        let parts = parts(&[part]);
        let is_quarantining = |(n, node): &(usize, &Node)| {
            self.runs(*n) && node.quarantine.find(&service(), &parts).is_some()
        };
        self.nodes
            .iter()
            .enumerate()
            .filter(is_quarantining)
            .count()
    }
}
