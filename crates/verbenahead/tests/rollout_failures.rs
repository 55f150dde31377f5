//! Rollouts in virtual time while messages are lost and the controller, nodes or the store fail. Nodes, the
//! controller and its rows are those of the product; replicas, traffic and the network are simulated.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::time::{Instant, advance};
use verbenahead::relay_node::{
    rollout_control::{EarlierRollout, RolloutControl, WriteResult, plan_options},
    rollout_orders::KnownOrder,
};
use verbenahead_core::{
    AvailabilityZone, FencingNumber, Incarnation, ServiceId, UpstreamId, time::UnixMillis,
};
use verbenahead_membership::{
    NameKey, RolloutCounts, RolloutMessage, RolloutOutcomes, RolloutPhase, Share,
};
use verbenahead_relay::{Rollouts, UpstreamRegistry};
use verbenahead_services::{
    Condition, Market, MemoryTable, Mutation, ReplicaRecord, ReplicaState, RolloutOrder,
    RolloutState, Row, RowKey, Table, TableName, Version, Write, WriteOutcome,
};
use verbenahead_state::{RetryOptions, RolloutLog, RolloutWrite, rollout_log::ROLLOUT_TABLE};

const STEP: Duration = Duration::from_millis(250);
const DURATION: f64 = 20.0;
const BOOT: f64 = 4.0;
const RATE: f64 = 300.0;
/// Part of the answers of a bad target that fail.
const BAD: f64 = 0.3;
/// Steps after which another node takes the lease of a controller that is gone.
const TAKEOVER_STEPS: u32 = 14;
/// Bad answers at which the failure comes, while the target is being found out.
const BAD_AT_FAILURE: u64 = 4;
/// Time at which it comes if the target is good.
const FAILURE_TIME: f64 = 7.0;

/// `Failure` is what fails besides the messages.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    Nothing,
    /// The controller ends as the verdict is written, before it can tell anyone.
    KilledAtVerdict,
    /// The controller stands still for longer than its lease, and writes what it had decided.
    Paused,
    /// A third of the nodes hear and are heard by no one.
    Partition,
    /// The store is away for three seconds.
    StoreAway,
    /// All nodes end, and start a second later.
    AllKilled,
    /// The store comes back without what was written since the first state. The lease ends, and another node takes
    /// it.
    VerdictLost,
    /// The same, and the operator writes the order again, which has a later version then.
    OrderWrittenAgain,
    /// The store comes back with the verdict, and the operator writes the order again.
    OnlyOrderWrittenAgain,
}

impl Failure {
    fn is_restore(self) -> bool {
        matches!(
            self,
            Self::VerdictLost | Self::OrderWrittenAgain | Self::OnlyOrderWrittenAgain
        )
    }
}

struct Node {
    rollouts: Rollouts,
    incarnation: u64,
    counts: RolloutCounts,
    target: RolloutOutcomes,
    old: RolloutOutcomes,
    is_cut: bool,
}

impl Node {
    fn start(service: &ServiceId, incarnation: u64) -> Self {
        let rollouts = Rollouts::enabled();
        rollouts.set_order(service, &"v2".into(), 10);
        let counts = RolloutCounts {
            service: NameKey::from(service),
            order: 10,
            ..RolloutCounts::default()
        };
        let outcomes = |is_target| RolloutOutcomes {
            route: NameKey(1),
            is_target,
            times: vec![0; 20],
            ..RolloutOutcomes::default()
        };
        Self {
            rollouts,
            incarnation,
            counts,
            target: outcomes(true),
            old: outcomes(false),
            is_cut: false,
        }
    }
}

struct Sim {
    service: ServiceId,
    rng: StdRng,
    lost: f64,
    nodes: Vec<Node>,
    registry: UpstreamRegistry,
    log: RolloutLog,
    table: Arc<MemoryTable>,
    started: Instant,
    control: Option<RolloutControl>,
    fencing: u64,
    sequence: u64,
    report: u64,
    attempts: u64,
    exposed: u64,
    bad: u64,
    fiftieth_at: Option<f64>,
    last_target_at: f64,
    order_version: Version,
    /// Row of the rollout in the copy of the store.
    copied: Option<Row>,
}

/// Version of the order, and of the same order after a restore of the store.
const ORDER: [Version; 2] = [Version(10), Version(1 << 48 | 4)];

fn are_of_different_eras(left: Version, right: Version) -> bool {
    left.0 >> 48 != right.0 >> 48
}

fn order(service: &ServiceId, version: Version, started: Instant, is_change: bool) -> KnownOrder {
    KnownOrder {
        order: RolloutOrder {
            service: service.clone(),
            target: "v2".into(),
            duration: Duration::from_secs_f64(DURATION),
        },
        version,
        read_at: if is_change { started } else { Instant::now() },
        is_change,
    }
}

impl Sim {
    fn new(nodes: usize, lost: f64) -> Self {
        let service = ServiceId::try_new("desk").expect("valid id");
        let table = Arc::new(MemoryTable::default());
        let mut sim = Self {
            rng: StdRng::seed_from_u64(nodes as u64),
            lost,
            nodes: (0..nodes).map(|_| Node::start(&service, 1)).collect(),
            registry: UpstreamRegistry::default(),
            log: RolloutLog::new(Arc::clone(&table) as Arc<_>, RetryOptions::default()),
            table,
            started: Instant::now(),
            control: None,
            fencing: 0,
            sequence: 0,
            report: 0,
            attempts: 0,
            exposed: 0,
            bad: 0,
            fiftieth_at: None,
            last_target_at: 0.0,
            order_version: ORDER[0],
            copied: None,
            service,
        };
        sim.register("v1");
        sim
    }

    fn register(&mut self, version: &str) {
        for n in 0..10 {
            self.registry.apply(&ReplicaRecord {
                id: UpstreamId::try_new(format!("{version}-{n}")).expect("valid id"),
                incarnation: Incarnation(1),
                service: self.service.clone(),
                software: version.into(),
                zone: AvailabilityZone::try_new("east").expect("valid zone"),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                state: ReplicaState::Ready,
                slots: 8,
                warm_up: Duration::ZERO,
                market: Market::OnDemand,
            });
        }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Lets a node take the lease and go on from the row.
    async fn take_over(&mut self, is_change: bool) {
        let rows = self.log.read_all().await.expect("the table answers");
        let rows: BTreeMap<_, _> = rows.into_iter().collect();
        self.fencing += 1;
        let heard = self.nodes[0].rollouts.heard(&self.service);
        let earlier = EarlierRollout {
            stored: rows.get(&self.service),
            heard: heard.as_ref(),
        };
        self.control = Some(RolloutControl::new(
            order(&self.service, self.order_version, self.started, is_change),
            earlier,
            self.clock(),
            are_of_different_eras,
            &plan_options(0.1, 50.0),
        ));
    }

    fn row() -> RowKey {
        RowKey::new(ROLLOUT_TABLE, "desk")
    }

    /// Lets the store come back from a copy, which ends the lease.
    async fn restore(&mut self, failure: Failure) {
        self.control = None;
        if failure != Failure::VerdictLost {
            self.order_version = ORDER[1];
        }
        if failure == Failure::OnlyOrderWrittenAgain {
            return;
        }
        let copied = self.copied.take();
        let write = Write {
            key: Self::row(),
            condition: Condition::Always,
            mutation: copied.map_or(Mutation::Delete, |row| Mutation::Put(row.value)),
        };
        let written = self.table.write(vec![write]).await;
        assert!(matches!(written, WriteOutcome::Done(_)), "{written:?}");
    }

    fn clock(&self) -> UnixMillis {
        UnixMillis(1_800_000_000_000 + (self.now() * 1_000.0) as u64)
    }

    /// Sends the requests of a step. A share `bad` of the answers of the target fail.
    fn serve(&mut self, bad: f64) {
        let now = self.now();
        let per_node = RATE * STEP.as_secs_f64() / self.nodes.len() as f64;
        for node in &mut self.nodes {
            let state = node.rollouts.state(&self.service).expect("an order");
            let share = match state.phase {
                RolloutPhase::Running => state.share,
                RolloutPhase::Succeeded => Share::ALL,
                RolloutPhase::RolledBack => Share::default(),
            };
            let share = if now < BOOT {
                0.0
            } else {
                f64::from(share.0) / 10_000.0
            };
            let count = per_node as u64 + u64::from(self.rng.random_bool(per_node.fract()));
            for _ in 0..count {
                let is_target = self.rng.random_bool(share);
                let is_bad = is_target && self.rng.random_bool(bad);
                self.attempts += 1;
                node.counts.attempts += 1;
                if is_target {
                    self.exposed += 1;
                    node.counts.target_attempts += 1;
                    self.last_target_at = now;
                }
                self.bad += u64::from(is_bad);
                let outcomes = if is_target {
                    &mut node.target
                } else {
                    &mut node.old
                };
                outcomes.answered += u64::from(!is_bad);
                outcomes.failed += u64::from(is_bad);
                outcomes.times[5] += 1;
            }
            node.counts.share = Share((share * 10_000.0) as u16);
        }
        if self.bad >= 50 {
            self.fiftieth_at.get_or_insert(now);
        }
    }

    fn report(&mut self) {
        self.report += 1;
        let is_reporting = self.report.is_multiple_of(3) || self.nodes.len() <= 40;
        let Some(control) = &mut self.control else {
            return;
        };
        if !is_reporting {
            return;
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if node.is_cut || index > 0 && self.rng.random_bool(self.lost) {
                continue;
            }
            let counts = RolloutCounts {
                outcomes: vec![node.target.clone(), node.old.clone()],
                ..node.counts.clone()
            };
            let id = (index.to_string(), node.incarnation);
            control.record(&self.service, id, self.report, &[counts]);
        }
    }

    fn tell(&mut self, message: &RolloutMessage) {
        for (index, node) in self.nodes.iter().enumerate() {
            if !node.is_cut && (index == 0 || !self.rng.random_bool(self.lost)) {
                node.rollouts.handle(message);
            }
        }
    }

    fn decide(&mut self) {
        let live = self.registry.live(&self.service);
        let nodes = self.nodes.iter().filter(|node| !node.is_cut).count();
        let (service, fencing) = (self.service.clone(), FencingNumber(self.fencing));
        let Some(control) = &mut self.control else {
            return;
        };
        control.decide(&service, &live, nodes);
        if let Some(mut message) = control.due_message(&service) {
            self.sequence += 1;
            message.sequence = self.sequence;
            message.fencing = fencing;
            self.tell(&message);
        }
    }

    /// Writes what is due. Returns the state and the outcome. With `ends_at_verdict`, the controller ends
    /// before it hears that a verdict was written.
    async fn write(
        &mut self,
        is_store_away: bool,
        ends_at_verdict: bool,
    ) -> Option<(RolloutState, RolloutWrite)> {
        let fencing = FencingNumber(self.fencing);
        let (record, expected) = self.control.as_ref()?.due_write(fencing)?;
        if is_store_away {
            self.control.as_mut()?.finish_write(WriteResult::Unknown);
            return None;
        }
        let key = RowKey::new(TableName("status"), "rollout/desk");
        let status = record.state.to_string().into_bytes().into();
        let write = self
            .log
            .write(&self.service, &record, expected, (key, status));
        let write = write.await.expect("the table answers");
        let state = record.state;
        match ends_at_verdict && state != RolloutState::Running {
            true => self.control = None,
            false => {
                let result = WriteResult::from_write(write.clone(), record);
                self.control.as_mut()?.finish_write(result);
            }
        }
        Some((state, write))
    }

    async fn status(&self) -> String {
        let key = RowKey::new(TableName("status"), "rollout/desk");
        let row = self.table.read(&key).await.expect("the table answers");
        let row = row.expect("a status");
        String::from_utf8(row.value.to_vec()).expect("text")
    }
}

async fn play(nodes: usize, lost: f64, failure: Failure, bad: f64) -> (Sim, String, f64) {
    let mut sim = Sim::new(nodes, lost);
    sim.take_over(true).await;
    if failure == Failure::Partition {
        let third = nodes / 3;
        sim.nodes
            .iter_mut()
            .skip(1)
            .take(third)
            .for_each(|node| node.is_cut = true);
    }
    let (mut absent, mut paused, mut ended) = (0_u32, None, None);
    let mut has_failed = false;
    let mut away_until = None;
    let mut restore_at = None;
    while sim.now() < 2.0 * DURATION + 4.0 {
        advance(STEP).await;
        let now = sim.now();
        if (BOOT..BOOT + 0.25).contains(&now) {
            sim.register("v2");
        }
        sim.serve(bad);
        if absent > 0 {
            absent -= 1;
            if absent == 0 {
                sim.take_over(failure != Failure::AllKilled).await;
                if let Some(earlier) = paused.take() {
                    // Its lease is over, so it tells the nodes nothing, but a write may be under way.
                    sim.write(false, false).await;
                    let later = sim.control.replace(earlier);
                    let write = sim.write(false, false).await;
                    let is_refused =
                        |(_, write): &(_, RolloutWrite)| *write == RolloutWrite::Superseded;
                    assert!(write.as_ref().is_none_or(is_refused), "{write:?}");
                    sim.control = later;
                }
            }
            continue;
        }
        let fails = now >= FAILURE_TIME || sim.bad >= BAD_AT_FAILURE;
        match failure {
            Failure::AllKilled if fails && !has_failed => {
                has_failed = true;
                let service = sim.service.clone();
                sim.nodes
                    .iter_mut()
                    .for_each(|node| *node = Node::start(&service, 2));
                (sim.control, absent) = (None, 6);
                continue;
            }
            Failure::Paused if fails && !has_failed => {
                has_failed = true;
                paused = sim.control.take();
                absent = TAKEOVER_STEPS;
                continue;
            }
            Failure::StoreAway if fails => {
                away_until.get_or_insert(now + 3.0);
            }
            _ => {}
        }
        if restore_at.is_some_and(|at| now >= at) {
            restore_at = None;
            sim.restore(failure).await;
            absent = TAKEOVER_STEPS;
            continue;
        }
        if sim.copied.is_none() {
            sim.copied = sim.table.read(&Sim::row()).await.expect("an answer");
        }
        sim.report();
        sim.decide();
        let is_store_away =
            failure == Failure::StoreAway && sim.fiftieth_at.is_some_and(|at| now < at + 3.0);
        let kills = failure == Failure::KilledAtVerdict && !has_failed;
        let written = sim.write(is_store_away, kills).await;
        if let Some((state, RolloutWrite::Done(_))) = written
            && state != RolloutState::Running
        {
            if failure.is_restore() && ended.is_none() {
                restore_at = Some(now + 1.5);
            }
            ended.get_or_insert(now);
            if kills {
                has_failed = true;
                absent = TAKEOVER_STEPS;
            }
        }
    }
    let status = sim.status().await;
    let ended = ended.unwrap_or(f64::INFINITY);
    (sim, status, ended)
}

/// Guards against a verdict that is lost, changes back or comes late, and against requests to a bad version
/// beyond the bounds, while messages are lost and the controller, the store or nodes fail.
#[rstest]
#[tokio::test(start_paused = true)]
async fn rollouts_end_right_whatever_fails(
    #[values(1, 19, 125, 330)] nodes: usize,
    #[values(0.03, 0.3)] lost: f64,
    #[values(
        Failure::Nothing,
        Failure::KilledAtVerdict,
        Failure::Paused,
        Failure::Partition,
        Failure::StoreAway,
        Failure::AllKilled,
        Failure::VerdictLost,
        Failure::OrderWrittenAgain,
        Failure::OnlyOrderWrittenAgain
    )]
    failure: Failure,
) {
    let (good, status, at) = play(nodes, lost, failure, 0.0).await;
    println!(
        "good: {nodes} nodes, {failure:?}: {status} at {at}, {} of {}",
        good.exposed, good.attempts
    );
    assert_eq!(status, "succeeded");
    assert!(at <= DURATION, "{at}");

    let (bad, status, at) = play(nodes, lost, failure, BAD).await;
    println!(
        "bad: {nodes} nodes, {failure:?}: {status} at {at}, {} of {}",
        bad.exposed, bad.attempts
    );
    assert_eq!(status, "rolled_back");
    assert!(at <= DURATION, "{at}");
    assert!(bad.exposed as f64 <= 0.1 * bad.attempts as f64 + 50.0);
    assert!(
        bad.fiftieth_at
            .is_none_or(|at| bad.last_target_at <= at + 5.0)
    );
}

// Guards against an order that is ignored for good, since it is taken for an earlier one that was written again.
#[tokio::test(start_paused = true)]
async fn a_second_order_of_an_era_is_another_one() {
    let (mut sim, before, _) = play(1, 0.0, Failure::OrderWrittenAgain, BAD).await;
    let later = Version(ORDER[1].0 + 1);
    let order = order(&sim.service, later, Instant::now(), true);
    let options = plan_options(0.1, 50.0);
    let now = sim.clock();

    let control = sim.control.as_mut().expect("a controller");
    control.update_order(order, now, are_of_different_eras, &options);
    sim.decide();
    sim.write(false, false).await;

    assert_eq!(before, "rolled_back");
    assert_eq!(sim.status().await, "running");
}
