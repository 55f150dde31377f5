//! Compares the ledger with an in-memory model by random sequences of steps. Single writes may be
//! lost, delayed or unanswered, which must not change any outcome.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Clock, answer,
    faulty_table::{FaultyTable, WriteFault},
    request, retry_options,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tokio::{runtime::Runtime, time::advance};
use verbenahead_core::{Digest, HashMap};
use verbenahead_state::{
    RetryOptions,
    ledger::{
        Attempt, BeginOutcome, Claimant, Claimed, DispatchOutcome, Dispatched, Ledger,
        LedgerOptions, ReleaseOutcome, RowStatus, SettleOutcome,
    },
};

const SEED: u64 = 20_261_203;

/// Durations by which the clock advances. They are multiples of 400 ms, so that the few
/// milliseconds that retried writes take do not change which limits have passed.
const ADVANCES_MS: [u64; 3] = [400, 2_000, 31_200];

const CLAIM_TIMEOUT_MS: u64 = 30_000;
const RELEASE_COOLDOWN_MS: u64 = 1_500;

#[derive(Debug, Clone, Copy)]
enum Step {
    Begin { key: usize, body: usize },
    Dispatch(usize),
    Release(usize),
    Withdraw(usize),
    Settle(usize),
    NodeGone(usize),
    Advance(u64),
    Fault(WriteFault),
    DeliverLate,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Claimed,
    Dispatched,
    NotRun,
    Recorded,
    Answered,
    InProgress,
    Unknown,
    KeyReused { has_run: bool },
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Claimed,
    Dispatched,
    Answered,
    Released,
}

#[derive(Debug, Clone)]
struct ModelRow {
    attempt: usize,
    body: usize,
    began_at: u64,
    claimable_from: u64,
    stage: Stage,
}

/// An attempt from the point of view of its node.
#[derive(Debug, Clone)]
struct ModelAttempt {
    key: usize,
    stage: Stage,
    is_finished: bool,
    is_gone: bool,
}

#[derive(Debug, Clone, Default)]
struct Model {
    now: u64,
    rows: HashMap<usize, ModelRow>,
    attempts: Vec<ModelAttempt>,
    outcome: Option<Outcome>,
}

impl Model {
    fn is_at(&self, attempt: usize, stage: Stage) -> bool {
        let at = |known: &ModelAttempt| !known.is_finished && known.stage == stage;
        self.attempts.get(attempt).is_some_and(at)
    }

    fn begin(&mut self, key: usize, body: usize) -> Outcome {
        let outcome = self.claim_row(key, body);
        self.attempts.push(ModelAttempt {
            key,
            stage: Stage::Claimed,
            is_finished: outcome != Outcome::Claimed,
            is_gone: false,
        });
        outcome
    }

    fn claim_row(&mut self, key: usize, body: usize) -> Outcome {
        let claimable_from = match self.rows.get(&key) {
            None => 0,
            Some(row) if !self.is_free(row, body) => return row_outcome(row, body),
            Some(row) => row.claimable_from,
        };
        let row = ModelRow {
            attempt: self.attempts.len(),
            body,
            began_at: self.now,
            claimable_from,
            stage: Stage::Claimed,
        };
        self.rows.insert(key, row);
        Outcome::Claimed
    }

    fn is_free(&self, row: &ModelRow, body: usize) -> bool {
        let is_abandoned = match row.stage {
            Stage::Released => true,
            Stage::Claimed => {
                let is_old = self.now - row.began_at >= CLAIM_TIMEOUT_MS;
                is_old || self.attempts[row.attempt].is_gone
            }
            Stage::Dispatched | Stage::Answered => false,
        };
        is_abandoned && row.body == body && self.now >= row.claimable_from
    }

    /// Changes the stage of the attempt's row, unless the row belongs to another attempt.
    fn change_stage(&mut self, attempt: usize, to: Stage, outcome: Outcome) -> Outcome {
        let known = &mut self.attempts[attempt];
        known.stage = to;
        let row = self
            .rows
            .get_mut(&known.key)
            .expect("a row that was claimed");
        if row.attempt != attempt {
            known.is_finished = true;
            return row_outcome(row, row.body);
        }
        row.stage = to;
        if to == Stage::Released {
            row.claimable_from = self.now + RELEASE_COOLDOWN_MS;
        }
        known.is_finished = to != Stage::Dispatched;
        outcome
    }
}

fn row_outcome(row: &ModelRow, body: usize) -> Outcome {
    let has_run = row.stage == Stage::Answered;
    if row.body != body {
        return Outcome::KeyReused { has_run };
    }
    match row.stage {
        Stage::Answered => Outcome::Answered,
        Stage::Dispatched => Outcome::Unknown,
        Stage::Claimed | Stage::Released => Outcome::InProgress,
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let attempt = || 0..state.attempts.len().max(1);
        let fault = prop::sample::select(vec![
            WriteFault::AnswerLost,
            WriteFault::Lost,
            WriteFault::Late,
            WriteFault::NotSent,
        ]);
        prop_oneof![
            4 => (0..2_usize, 0..8_usize).prop_map(|(key, body)| Step::Begin { key, body: body / 7 }),
            4 => attempt().prop_map(Step::Dispatch),
            2 => attempt().prop_map(Step::Release),
            1 => attempt().prop_map(Step::Withdraw),
            1 => attempt().prop_map(Step::Settle),
            1 => attempt().prop_map(Step::NodeGone),
            2 => prop::sample::select(ADVANCES_MS.to_vec()).prop_map(Step::Advance),
            2 => fault.prop_map(Step::Fault),
            1 => Just(Step::DeliverLate),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match *step {
            Step::Dispatch(attempt) | Step::Release(attempt) => {
                state.is_at(attempt, Stage::Claimed)
            }
            Step::Withdraw(attempt) | Step::Settle(attempt) => {
                state.is_at(attempt, Stage::Dispatched)
            }
            Step::NodeGone(attempt) => attempt < state.attempts.len(),
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let outcome = match *step {
            Step::Begin { key, body } => Some(state.begin(key, body)),
            Step::Dispatch(a) => {
                Some(state.change_stage(a, Stage::Dispatched, Outcome::Dispatched))
            }
            Step::Release(a) | Step::Withdraw(a) => {
                Some(state.change_stage(a, Stage::Released, Outcome::NotRun))
            }
            Step::Settle(a) => Some(state.change_stage(a, Stage::Answered, Outcome::Recorded)),
            Step::NodeGone(attempt) => {
                state.attempts[attempt].is_gone = true;
                None
            }
            Step::Advance(millis) => {
                state.now += millis;
                None
            }
            Step::Fault(_) | Step::DeliverLate => None,
        };
        state.outcome = outcome;
        state
    }
}

/// The ledger under test with its open attempts.
struct LedgerUnderTest {
    runtime: Arc<Runtime>,
    table: Arc<FaultyTable>,
    ledger: Ledger,
    clock: Clock,
    next_attempt: usize,
    gone_nodes: Vec<Claimant>,
    claimed: HashMap<usize, Attempt<Claimed>>,
    dispatched: HashMap<usize, Attempt<Dispatched>>,
}

impl LedgerUnderTest {
    async fn begin(&mut self, key: usize, body: usize) -> Outcome {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let mut req = request(&format!("key-{key}"), attempt, self.clock.now());
        req.fingerprint = Digest::of(body.to_string());
        let gone_nodes = &self.gone_nodes;
        match self
            .ledger
            .begin(req, |node| gone_nodes.contains(node))
            .await
        {
            BeginOutcome::Claimed(claimed) => {
                self.claimed.insert(attempt, claimed);
                Outcome::Claimed
            }
            BeginOutcome::Occupied(status) => status_outcome(status),
            BeginOutcome::Unavailable(_) => Outcome::Unavailable,
        }
    }

    async fn dispatch(&mut self, attempt: usize) -> Outcome {
        let claimed = self.claimed.remove(&attempt).expect("claimed");
        match claimed.dispatch().await {
            DispatchOutcome::Dispatched(dispatched) => {
                self.dispatched.insert(attempt, dispatched);
                Outcome::Dispatched
            }
            DispatchOutcome::Fenced(status) => status_outcome(status),
            DispatchOutcome::Unavailable(_) => Outcome::Unavailable,
        }
    }

    async fn give_up(&mut self, attempt: usize) -> Outcome {
        let outcome = match self.claimed.remove(&attempt) {
            Some(claimed) => claimed.release().await,
            None => {
                let dispatched = self.dispatched.remove(&attempt).expect("dispatched");
                dispatched.withdraw().await
            }
        };
        match outcome {
            ReleaseOutcome::NotRun(_) => Outcome::NotRun,
            ReleaseOutcome::Occupied(status) => status_outcome(status),
            ReleaseOutcome::Unavailable(_) => Outcome::Unavailable,
        }
    }

    async fn settle(&mut self, attempt: usize) -> Outcome {
        let dispatched = self.dispatched.remove(&attempt).expect("dispatched");
        match dispatched.settle(answer("filed")).await {
            SettleOutcome::Recorded => Outcome::Recorded,
            SettleOutcome::Superseded => Outcome::Answered,
            SettleOutcome::Unrecorded(_) => Outcome::Unavailable,
        }
    }

    async fn apply(&mut self, step: Step) -> Option<Outcome> {
        match step {
            Step::Begin { key, body } => return Some(self.begin(key, body).await),
            Step::Dispatch(attempt) => return Some(self.dispatch(attempt).await),
            Step::Release(attempt) | Step::Withdraw(attempt) => {
                return Some(self.give_up(attempt).await);
            }
            Step::Settle(attempt) => return Some(self.settle(attempt).await),
            Step::NodeGone(attempt) => self.gone_nodes.push(common::claimant(attempt)),
            Step::Advance(millis) => advance(Duration::from_millis(millis)).await,
            Step::Fault(fault) => {
                self.table.clear_faults();
                self.table.push_faults([fault]);
            }
            Step::DeliverLate => {
                let _ = self.table.deliver_late().await;
            }
        }
        None
    }
}

fn status_outcome(status: RowStatus) -> Outcome {
    match status {
        RowStatus::Answered(_) => Outcome::Answered,
        RowStatus::InProgress { .. } => Outcome::InProgress,
        RowStatus::OutcomeUnknown { .. } => Outcome::Unknown,
        RowStatus::KeyReused { has_run } => Outcome::KeyReused { has_run },
    }
}

impl StateMachineTest for LedgerUnderTest {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &Model) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        let options = LedgerOptions {
            retry: RetryOptions {
                first_backoff: Duration::from_millis(1),
                ..retry_options()
            },
            ..LedgerOptions::default()
        };
        let table = FaultyTable::new([]);
        let clock = runtime.block_on(async { Clock::start() });
        Self {
            ledger: Ledger::new(table.clone(), options),
            runtime: Arc::new(runtime),
            table,
            clock,
            next_attempt: 0,
            gone_nodes: Vec::new(),
            claimed: HashMap::default(),
            dispatched: HashMap::default(),
        }
    }

    fn apply(mut state: Self, model: &Model, step: Step) -> Self {
        let runtime = Arc::clone(&state.runtime);

        let outcome = runtime.block_on(state.apply(step));

        assert_eq!(outcome, model.outcome, "{step:?}");
        state
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_ledger_matches_the_model(sequential 1..60 => LedgerUnderTest);
}
