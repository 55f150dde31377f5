//! Randomised runs of the ledger: several callers on each key, nodes that pause and die between
//! any two steps, and a table that loses answers, delays writes and has outages.
//!
//! The judge is a naive model: a map behind one lock that counts what ran, and what was answered.

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
const CALLERS: usize = 5;
const TRIES: usize = 3;
const KEYS: usize = 3;

/// Largest difference of a node's clock from the true time, in milliseconds.
const MAX_SKEW_MS: u64 = 200;

/// Which ledger is driven, and how its evidence is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The ledger as it is.
    Real,
    /// The ledger over a table that groups writes.
    Grouped,
    /// Writes without conditions; an unknown write counts as done.
    Unconditional,
    /// `not_run` whenever the own attempt sent nothing.
    AttemptIsKey,
    /// A released row is not closed, and its proof never ends.
    ProofWithoutEnd,
}

/// What ran and what was answered, for one key.
#[derive(Debug, Default)]
struct Model {
    runs: usize,
    last_not_run: Option<Instant>,
}

struct World {
    variant: Variant,
    table: Arc<RandomTable>,
    ledger: Ledger,
    recorder: Recorder,
    clock: Clock,
    rng: Mutex<StdRng>,
    models: Mutex<HashMap<String, Model>>,
    gone: Mutex<HashSet<Claimant>>,
    attempts: AtomicUsize,
    answered: AtomicUsize,
    violations: Mutex<Vec<String>>,
}

/// The node of an actor died.
struct Died;

impl World {
    fn new(variant: Variant, seed: u64) -> Self {
        let table = Arc::new(RandomTable::new(seed, 0.15));
        let quiet = match variant {
            Variant::ProofWithoutEnd => Duration::ZERO,
            _ => LedgerOptions::default().quiet_period,
        };
        let options = LedgerOptions {
            retry: retry_options(),
            quiet_period: quiet,
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
            attempts: AtomicUsize::new(1),
            answered: AtomicUsize::new(0),
            violations: Mutex::default(),
        }
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.rng.lock().expect("lock"))
    }

    fn violation(&self, text: String) {
        self.violations.lock().expect("lock").push(text);
    }

    /// Runs a call at the upstream.
    fn run(&self, key: &str, received: Instant) {
        let mut models = self.models.lock().expect("lock");
        let model = models.entry(key.to_owned()).or_default();
        model.runs += 1;
        if model.runs > 1 {
            self.violation(format!("{key} ran {} times", model.runs));
        }
        if model.last_not_run.is_some_and(|told| received <= told) {
            self.violation(format!("{key} ran for a request older than `not_run`"));
        }
    }

    /// Tells a caller the outcome of its key.
    fn tell(&self, key: &str, report: RunReport) {
        let says_not_run = match self.variant {
            Variant::AttemptIsKey => report.attempt == AttemptOutcome::NotRun,
            _ => report.outcome == RunOutcome::NotRun,
        };
        self.answered.fetch_add(1, Ordering::Relaxed);
        let mut models = self.models.lock().expect("lock");
        let model = models.entry(key.to_owned()).or_default();
        if says_not_run && model.runs > 0 {
            self.violation(format!("{key} is told `not_run` after it ran"));
        }
        if report.outcome == RunOutcome::Run && model.runs == 0 {
            self.violation(format!("{key} is told `run` before it ran"));
        }
        if says_not_run {
            model.last_not_run = Some(Instant::now());
        }
    }

    fn tell_release(&self, key: &str, outcome: ReleaseOutcome) {
        let mut report = outcome.report(Instant::now());
        if self.variant == Variant::ProofWithoutEnd && matches!(outcome, ReleaseOutcome::NotRun(_))
        {
            report.outcome = RunOutcome::NotRun;
        }
        self.tell(key, report);
        if let ReleaseOutcome::Unavailable(abandoned) = outcome {
            let _ = self.recorder.submit(abandoned);
        }
    }

    /// Lets time pass between two steps. The node may be frozen for long, or die.
    async fn step(&self, node: &Claimant) -> Result<(), Died> {
        if self.draw(|rng| rng.random_bool(0.03)) {
            self.gone.lock().expect("lock").insert(node.clone());
            return Err(Died);
        }
        let millis = match self.draw(|rng| rng.random_range(0..10)) {
            0 => self.draw(|rng| rng.random_range(500..3_000)),
            1 => self.draw(|rng| rng.random_range(20_000..90_000)),
            _ => self.draw(|rng| rng.random_range(0..30)),
        };
        sleep(Duration::from_millis(millis)).await;
        Ok(())
    }

    /// Says whether a node is taken for gone. A node that lives is at times suspected wrongly.
    fn is_gone(&self, node: &Claimant) -> bool {
        self.gone.lock().expect("lock").contains(node) || self.draw(|rng| rng.random_bool(0.2))
    }
}

/// Makes one try of a call on a node of its own.
async fn attempt_call(world: &World, key: &str) -> Result<(), Died> {
    let attempt = world.attempts.fetch_add(1, Ordering::Relaxed);
    let node = claimant(attempt);
    let skew = Duration::from_millis(world.draw(|rng| rng.random_range(0..=2 * MAX_SKEW_MS)));
    let received = Instant::now();
    let received_at = world.clock.now().saturating_add(skew);
    world.step(&node).await?;
    let mut req = request(key, attempt, world.clock.now().saturating_add(skew));
    req.received_at = received_at;
    if world.variant == Variant::Unconditional {
        return unconditional_call(world, key, req, received).await;
    }
    if world.draw(|rng| rng.random_bool(0.2)) {
        let outcome = world.ledger.refuse(req, |node| world.is_gone(node)).await;
        world.step(&node).await?;
        world.tell_release(key, outcome);
        return Ok(());
    }
    if world.draw(|rng| rng.random_bool(0.3)) {
        return direct_call(world, key, req, received).await;
    }
    let begun = world.ledger.begin(req, |node| world.is_gone(node)).await;
    world.step(&node).await?;
    match begun {
        BeginOutcome::Claimed(attempt) => claimed_call(world, key, attempt, &node, received).await,
        BeginOutcome::Occupied(reading) => {
            world.tell(
                key,
                RunReport::decide(Evidence::Row(&reading), Instant::now()),
            );
            Ok(())
        }
        BeginOutcome::Unavailable(abandoned) => {
            world.tell(key, RunReport::decide(Evidence::RowNotRead, Instant::now()));
            let _ = world.recorder.submit(abandoned);
            Ok(())
        }
    }
}

/// Makes a call that is claimed and dispatched with one write.
async fn direct_call(
    world: &World,
    key: &str,
    req: BeginRequest,
    received: Instant,
) -> Result<(), Died> {
    let node = req.claimant.clone();
    let begun = world
        .ledger
        .begin_dispatched(req, |node| world.is_gone(node))
        .await;
    world.step(&node).await?;
    let dispatched = match begun {
        BeginDispatchedOutcome::Dispatched(attempt) => DispatchOutcome::Dispatched(attempt),
        BeginDispatchedOutcome::Occupied(reading) => DispatchOutcome::Fenced(reading),
        BeginDispatchedOutcome::Unavailable(abandoned) => DispatchOutcome::Unavailable(abandoned),
    };
    after_dispatch(world, key, dispatched, &node, received).await
}

async fn claimed_call(
    world: &World,
    key: &str,
    attempt: Attempt<Claimed>,
    node: &Claimant,
    received: Instant,
) -> Result<(), Died> {
    if world.draw(|rng| rng.random_bool(0.2)) {
        let outcome = attempt.release().await;
        world.step(node).await?;
        world.tell_release(key, outcome);
        return Ok(());
    }
    let dispatched = attempt.dispatch().await;
    world.step(node).await?;
    after_dispatch(world, key, dispatched, node, received).await
}

async fn after_dispatch(
    world: &World,
    key: &str,
    dispatched: DispatchOutcome,
    node: &Claimant,
    received: Instant,
) -> Result<(), Died> {
    match dispatched {
        DispatchOutcome::Dispatched(attempt) => {
            dispatched_call(world, key, attempt, node, received).await
        }
        DispatchOutcome::Fenced(reading) => {
            world.tell(
                key,
                RunReport::decide(Evidence::Row(&reading), Instant::now()),
            );
            Ok(())
        }
        DispatchOutcome::Unavailable(abandoned) => {
            world.tell(key, RunReport::decide(Evidence::RowNotRead, Instant::now()));
            let _ = world.recorder.submit(abandoned);
            Ok(())
        }
    }
}

async fn dispatched_call(
    world: &World,
    key: &str,
    attempt: Attempt<Dispatched>,
    node: &Claimant,
    received: Instant,
) -> Result<(), Died> {
    if world.draw(|rng| rng.random_bool(0.1)) {
        let outcome = attempt.withdraw().await;
        world.step(node).await?;
        world.tell_release(key, outcome);
        return Ok(());
    }
    world.run(key, received);
    world.step(node).await?;
    if world.draw(|rng| rng.random_bool(0.1)) {
        world.tell(
            key,
            RunReport::decide(Evidence::SentWithoutAnswer, Instant::now()),
        );
        return Ok(());
    }
    let settled = attempt.settle(answer(key)).await;
    if let SettleOutcome::Unrecorded(unrecorded) = settled {
        let _ = world.recorder.submit(unrecorded);
    }
    world.step(node).await?;
    world.tell(key, RunReport::decide(Evidence::Answered, Instant::now()));
    Ok(())
}

/// The naive ledger: a row is read, then written whatever it has become meanwhile.
async fn unconditional_call(
    world: &World,
    key: &str,
    req: BeginRequest,
    received: Instant,
) -> Result<(), Died> {
    let row_key = ledger_key(key).row_key();
    match world.table.read(&row_key).await {
        Ok(None) => (),
        Ok(Some(_)) | Err(_) => return Ok(()),
    }
    world.step(&req.claimant).await?;
    let write = Write {
        key: row_key,
        condition: Condition::Always,
        mutation: Mutation::Put("dispatched".into()),
    };
    if let WriteOutcome::NotSent(_) = world.table.write(vec![write]).await {
        return Ok(());
    }
    world.run(key, received);
    Ok(())
}

async fn call_until_run(world: Arc<World>, key: String, start: Duration) {
    sleep(start).await;
    for _ in 0..TRIES {
        let _ = attempt_call(&world, &key).await;
        let pause = world.draw(|rng| rng.random_range(0..4_000));
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Compares the rows with what ran, once all is quiet.
async fn check_rows(world: &World) {
    for index in 0..KEYS {
        let key = format!("key-{index}");
        let record = world.ledger.look_up(&ledger_key(&key)).await.expect("read");
        let runs = world
            .models
            .lock()
            .expect("lock")
            .get(&key)
            .map_or(0, |model| model.runs);
        match record.map(|record| record.state) {
            Some(RecordState::Answered(_)) if runs == 0 => {
                world.violation(format!("{key} is answered and did not run"));
            }
            Some(RecordState::Claimed | RecordState::Released) | None if runs > 0 => {
                world.violation(format!("{key} ran and its row may be claimed"));
            }
            _ => (),
        }
    }
}

/// Drives one world. Returns what was violated, and how many answers were told.
fn drive(variant: Variant, seed: u64) -> (Vec<String>, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let world = Arc::new(World::new(variant, seed));
        let mut callers = Vec::new();
        for index in 0..KEYS * CALLERS {
            let key = format!("key-{}", index % KEYS);
            let start = Duration::from_millis(world.draw(|rng| rng.random_range(0..3_000)));
            callers.push(tokio::spawn(call_until_run(world.clone(), key, start)));
        }
        for caller in callers {
            caller.await.expect("caller");
        }
        sleep(Duration::from_secs(1_000)).await;
        if variant != Variant::Unconditional {
            check_rows(&world).await;
        }
        let violations = world.violations.lock().expect("lock").clone();
        (violations, world.answered.load(Ordering::Relaxed))
    })
}

#[rstest]
#[case::alone(Variant::Real)]
#[case::grouped(Variant::Grouped)]
fn calls_run_at_most_once_and_not_run_is_true(#[case] variant: Variant) {
    let mut answers = 0;
    for seed in 0..SEEDS {
        let (violations, answered) = drive(variant, seed);

        assert_eq!(violations.first(), None, "seed {seed}");
        answers += answered;
    }

    assert!(answers > SEEDS as usize, "only {answers} answers");
}

#[rstest]
#[case(Variant::Unconditional)]
#[case(Variant::AttemptIsKey)]
#[case(Variant::ProofWithoutEnd)]
fn the_run_finds_the_fault_of_a_naive_variant(#[case] variant: Variant) {
    let is_broken = |seed| !drive(variant, seed).0.is_empty();

    let broken = (0..SEEDS).find(|seed| is_broken(*seed));

    assert!(broken.is_some(), "no fault of {variant:?} in {SEEDS} seeds");
}
