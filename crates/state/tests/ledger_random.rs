//! Randomized simulation of the ledger: several callers per key, nodes that pause or die between
//! any two steps, and a table that loses answers, delays writes and has outages.
//!
//! A simple model, a map behind one lock, records what ran and what callers were told. It detects
//! calls that ran twice and wrong reports.

mod common;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{
    Clock, answer, claimant, ledger_key, random_table::RandomTable, request, retry_options,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_core::{HashMap, HashSet, RunOutcome};
use verbenahead_services::{Condition, Mutation, Table, Write, WriteOutcome};
use verbenahead_state::{
    GroupOptions, GroupedTable,
    ledger::{
        Attempt, AttemptOutcome, BeginDispatchedOutcome, BeginOutcome, BeginRequest, Claimant,
        Claimed, DispatchOutcome, Dispatched, Evidence, Ledger, LedgerOptions, RecordState,
        Recorder, RecorderOptions, ReleaseOutcome, RunReport, SettleOutcome,
    },
};

const SEEDS: u64 = 400;
const CALLERS_PER_KEY: usize = 5;
const TRIES_PER_CALLER: usize = 3;
const KEYS: usize = 3;

/// Largest clock skew of a node, in milliseconds, to either side.
const MAX_SKEW_MS: u64 = 200;

/// Ledger under test and the rule by which `not_run` is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The ledger without changes.
    Unchanged,
    /// The ledger over a [`GroupedTable`].
    Grouped,
    /// Faulty: unconditional writes; a write with an unknown outcome counts as done.
    Unconditional,
    /// Faulty: `not_run` is reported whenever the caller's own attempt sent nothing.
    OwnAttemptOnly,
    /// Faulty: there is no release cooldown, and a proof never expires.
    UnlimitedProof,
}

/// Runs of one key, and the last time at which a caller was told `not_run`.
#[derive(Debug, Default)]
struct Model {
    runs: usize,
    last_not_run: Option<Instant>,
}

struct Simulation {
    variant: Variant,
    table: Arc<RandomTable>,
    ledger: Ledger,
    recorder: Recorder,
    clock: Clock,
    rng: Mutex<StdRng>,
    models: Mutex<HashMap<String, Model>>,
    gone: Mutex<HashSet<Claimant>>,
    next_attempt: AtomicUsize,
    answered: AtomicUsize,
    violations: Mutex<Vec<String>>,
}

/// Error of a step during which the node died.
struct NodeDied;

impl Simulation {
    fn new(variant: Variant, seed: u64) -> Self {
        let table = Arc::new(RandomTable::new(seed, 0.15));
        let release_cooldown = match variant {
            Variant::UnlimitedProof => Duration::ZERO,
            _ => LedgerOptions::default().release_cooldown,
        };
        let options = LedgerOptions {
            retry: retry_options(),
            release_cooldown,
            ..LedgerOptions::default()
        };
        let ledger_table: Arc<dyn Table> = match variant {
            Variant::Grouped => {
                Arc::new(GroupedTable::spawn(table.clone(), GroupOptions::default()))
            }
            _ => table.clone(),
        };
        let (recorder, _task) = Recorder::spawn(RecorderOptions::default());
        Self {
            variant,
            ledger: Ledger::new(ledger_table, options),
            table,
            recorder,
            clock: Clock::start(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            models: Mutex::default(),
            gone: Mutex::default(),
            next_attempt: AtomicUsize::new(1),
            answered: AtomicUsize::new(0),
            violations: Mutex::default(),
        }
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.rng.lock().expect("lock"))
    }

    fn record_violation(&self, text: String) {
        self.violations.lock().expect("lock").push(text);
    }

    /// Records a run of a call at the upstream.
    fn record_run(&self, key: &str, received: Instant) {
        let mut models = self.models.lock().expect("lock");
        let model = models.entry(key.to_owned()).or_default();
        model.runs += 1;
        if model.runs > 1 {
            self.record_violation(format!("{key} ran {} times", model.runs));
        }
        if model
            .last_not_run
            .is_some_and(|told_at| received <= told_at)
        {
            self.record_violation(format!("{key} ran for a request older than `not_run`"));
        }
    }

    /// Records what a caller is told about its key.
    fn record_report(&self, key: &str, report: RunReport) {
        let says_not_run = match self.variant {
            Variant::OwnAttemptOnly => report.attempt == AttemptOutcome::NotRun,
            _ => report.outcome == RunOutcome::NotRun,
        };
        self.answered.fetch_add(1, Ordering::Relaxed);
        let mut models = self.models.lock().expect("lock");
        let model = models.entry(key.to_owned()).or_default();
        if says_not_run && model.runs > 0 {
            self.record_violation(format!("{key} is told `not_run` after it ran"));
        }
        if report.outcome == RunOutcome::Run && model.runs == 0 {
            self.record_violation(format!("{key} is told `run` before it ran"));
        }
        if says_not_run {
            model.last_not_run = Some(Instant::now());
        }
    }

    fn record_release(&self, key: &str, outcome: ReleaseOutcome) {
        let mut report = outcome.report(Instant::now());
        if self.variant == Variant::UnlimitedProof && matches!(outcome, ReleaseOutcome::NotRun(_)) {
            report.outcome = RunOutcome::NotRun;
        }
        self.record_report(key, report);
        if let ReleaseOutcome::Unavailable(abandoned) = outcome {
            let _ = self.recorder.submit(abandoned);
        }
    }

    /// Lets time pass between two steps. The node may pause for a long time or die.
    async fn step(&self, node: &Claimant) -> Result<(), NodeDied> {
        if self.draw(|rng| rng.random_bool(0.03)) {
            self.gone.lock().expect("lock").insert(node.clone());
            return Err(NodeDied);
        }
        let millis = match self.draw(|rng| rng.random_range(0..10)) {
            0 => self.draw(|rng| rng.random_range(500..3_000)),
            1 => self.draw(|rng| rng.random_range(20_000..90_000)),
            _ => self.draw(|rng| rng.random_range(0..30)),
        };
        sleep(Duration::from_millis(millis)).await;
        Ok(())
    }

    /// Returns whether a node is considered gone. A live node is at times considered gone too.
    fn is_gone(&self, node: &Claimant) -> bool {
        self.gone.lock().expect("lock").contains(node) || self.draw(|rng| rng.random_bool(0.2))
    }
}

/// Makes one try of a call on a node that makes no other.
async fn attempt_call(simulation: &Simulation, key: &str) -> Result<(), NodeDied> {
    let attempt = simulation.next_attempt.fetch_add(1, Ordering::Relaxed);
    let node = claimant(attempt);
    let skew = Duration::from_millis(simulation.draw(|rng| rng.random_range(0..=2 * MAX_SKEW_MS)));
    let received = Instant::now();
    let received_at = simulation.clock.now().saturating_add(skew);
    simulation.step(&node).await?;
    let mut req = request(key, attempt, simulation.clock.now().saturating_add(skew));
    req.received_at = received_at;
    if simulation.variant == Variant::Unconditional {
        return unconditional_call(simulation, key, req, received).await;
    }
    if simulation.draw(|rng| rng.random_bool(0.2)) {
        let outcome = simulation
            .ledger
            .refuse(req, |node| simulation.is_gone(node))
            .await;
        simulation.step(&node).await?;
        simulation.record_release(key, outcome);
        return Ok(());
    }
    if simulation.draw(|rng| rng.random_bool(0.3)) {
        return begin_dispatched_call(simulation, key, req, received).await;
    }
    let begun = simulation
        .ledger
        .begin(req, |node| simulation.is_gone(node))
        .await;
    simulation.step(&node).await?;
    match begun {
        BeginOutcome::Claimed(attempt) => {
            claimed_call(simulation, key, attempt, &node, received).await
        }
        BeginOutcome::Occupied(status) => {
            simulation.record_report(
                key,
                RunReport::decide(Evidence::Row(&status), Instant::now()),
            );
            Ok(())
        }
        BeginOutcome::Unavailable(abandoned) => {
            simulation.record_report(key, RunReport::decide(Evidence::RowNotRead, Instant::now()));
            let _ = simulation.recorder.submit(abandoned);
            Ok(())
        }
    }
}

/// Makes a call that is claimed and dispatched with one write.
async fn begin_dispatched_call(
    simulation: &Simulation,
    key: &str,
    req: BeginRequest,
    received: Instant,
) -> Result<(), NodeDied> {
    let node = req.claimant.clone();
    let begun = simulation
        .ledger
        .begin_dispatched(req, |node| simulation.is_gone(node))
        .await;
    simulation.step(&node).await?;
    let dispatched = match begun {
        BeginDispatchedOutcome::Dispatched(attempt) => DispatchOutcome::Dispatched(attempt),
        BeginDispatchedOutcome::Occupied(status) => DispatchOutcome::Fenced(status),
        BeginDispatchedOutcome::Unavailable(abandoned) => DispatchOutcome::Unavailable(abandoned),
    };
    after_dispatch(simulation, key, dispatched, &node, received).await
}

async fn claimed_call(
    simulation: &Simulation,
    key: &str,
    attempt: Attempt<Claimed>,
    node: &Claimant,
    received: Instant,
) -> Result<(), NodeDied> {
    if simulation.draw(|rng| rng.random_bool(0.2)) {
        let outcome = attempt.release().await;
        simulation.step(node).await?;
        simulation.record_release(key, outcome);
        return Ok(());
    }
    let dispatched = attempt.dispatch().await;
    simulation.step(node).await?;
    after_dispatch(simulation, key, dispatched, node, received).await
}

async fn after_dispatch(
    simulation: &Simulation,
    key: &str,
    dispatched: DispatchOutcome,
    node: &Claimant,
    received: Instant,
) -> Result<(), NodeDied> {
    match dispatched {
        DispatchOutcome::Dispatched(attempt) => {
            dispatched_call(simulation, key, attempt, node, received).await
        }
        DispatchOutcome::Fenced(status) => {
            simulation.record_report(
                key,
                RunReport::decide(Evidence::Row(&status), Instant::now()),
            );
            Ok(())
        }
        DispatchOutcome::Unavailable(abandoned) => {
            simulation.record_report(key, RunReport::decide(Evidence::RowNotRead, Instant::now()));
            let _ = simulation.recorder.submit(abandoned);
            Ok(())
        }
    }
}

async fn dispatched_call(
    simulation: &Simulation,
    key: &str,
    attempt: Attempt<Dispatched>,
    node: &Claimant,
    received: Instant,
) -> Result<(), NodeDied> {
    if simulation.draw(|rng| rng.random_bool(0.1)) {
        let outcome = attempt.withdraw().await;
        simulation.step(node).await?;
        simulation.record_release(key, outcome);
        return Ok(());
    }
    simulation.record_run(key, received);
    simulation.step(node).await?;
    if simulation.draw(|rng| rng.random_bool(0.1)) {
        simulation.record_report(
            key,
            RunReport::decide(Evidence::SentWithoutAnswer, Instant::now()),
        );
        return Ok(());
    }
    let settled = attempt.settle(answer(key)).await;
    if let SettleOutcome::Unrecorded(unrecorded) = settled {
        let _ = simulation.recorder.submit(unrecorded);
    }
    simulation.step(node).await?;
    simulation.record_report(key, RunReport::decide(Evidence::Answered, Instant::now()));
    Ok(())
}

/// Makes a call by reading its row and then overwriting it unconditionally.
async fn unconditional_call(
    simulation: &Simulation,
    key: &str,
    req: BeginRequest,
    received: Instant,
) -> Result<(), NodeDied> {
    let row_key = ledger_key(key).row_key();
    match simulation.table.read(&row_key).await {
        Ok(None) => (),
        Ok(Some(_)) | Err(_) => return Ok(()),
    }
    simulation.step(&req.claimant).await?;
    let write = Write {
        key: row_key,
        condition: Condition::Always,
        mutation: Mutation::Put("dispatched".into()),
    };
    if let WriteOutcome::NotSent(_) = simulation.table.write(vec![write]).await {
        return Ok(());
    }
    simulation.record_run(key, received);
    Ok(())
}

async fn run_caller(simulation: Arc<Simulation>, key: String, start: Duration) {
    sleep(start).await;
    for _ in 0..TRIES_PER_CALLER {
        let _ = attempt_call(&simulation, &key).await;
        let pause = simulation.draw(|rng| rng.random_range(0..4_000));
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Compares the rows with the recorded runs after all callers have finished.
async fn check_rows(simulation: &Simulation) {
    for index in 0..KEYS {
        let key = format!("key-{index}");
        let record = simulation
            .ledger
            .look_up(&ledger_key(&key))
            .await
            .expect("read");
        let runs = simulation
            .models
            .lock()
            .expect("lock")
            .get(&key)
            .map_or(0, |model| model.runs);
        match record.map(|record| record.state) {
            Some(RecordState::Answered(_)) if runs == 0 => {
                simulation.record_violation(format!("{key} is answered and did not run"));
            }
            Some(RecordState::Claimed | RecordState::Released) | None if runs > 0 => {
                simulation.record_violation(format!("{key} ran and its row may be claimed"));
            }
            _ => (),
        }
    }
}

/// Runs one simulation. Returns the violations and the number of answers.
fn simulate(variant: Variant, seed: u64) -> (Vec<String>, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let simulation = Arc::new(Simulation::new(variant, seed));
        let mut callers = Vec::new();
        for index in 0..KEYS * CALLERS_PER_KEY {
            let key = format!("key-{}", index % KEYS);
            let start = Duration::from_millis(simulation.draw(|rng| rng.random_range(0..3_000)));
            callers.push(tokio::spawn(run_caller(simulation.clone(), key, start)));
        }
        for caller in callers {
            caller.await.expect("caller");
        }
        sleep(Duration::from_secs(1_000)).await;
        if variant != Variant::Unconditional {
            check_rows(&simulation).await;
        }
        let violations = simulation.violations.lock().expect("lock").clone();
        (violations, simulation.answered.load(Ordering::Relaxed))
    })
}

#[rstest]
#[case::ungrouped(Variant::Unchanged)]
#[case::grouped(Variant::Grouped)]
fn calls_run_at_most_once_and_not_run_is_true(#[case] variant: Variant) {
    let mut answers = 0;
    for seed in 0..SEEDS {
        let (violations, answered) = simulate(variant, seed);

        assert_eq!(violations.first(), None, "seed {seed}");
        answers += answered;
    }

    assert!(answers > SEEDS as usize, "only {answers} answers");
}

#[rstest]
#[case(Variant::Unconditional)]
#[case(Variant::OwnAttemptOnly)]
#[case(Variant::UnlimitedProof)]
fn the_simulation_detects_a_faulty_variant(#[case] variant: Variant) {
    let is_detected = |seed| !simulate(variant, seed).0.is_empty();

    let detected = (0..SEEDS).find(|seed| is_detected(*seed));

    assert!(
        detected.is_some(),
        "no fault of {variant:?} in {SEEDS} seeds"
    );
}
