//! Randomised test of nodes that compete for one lease, pause between any two steps, and send
//! orders that may be delivered late.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{
    claimant,
    random_table::RandomTable,
    restored_table::{NodeTable, Restores},
    retry_options,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_manifest::EngineFencing;
use verbenahead_services::{RowKey, Table};
use verbenahead_state::lease::{
    AcquireOutcome, Candidate, Held, LEASE_TABLE, Lease, LeaseOptions, LeaseStore, OrderGate,
    RenewOutcome, RestoreGuard,
};

const SEEDS: u64 = 200;
const NODES: usize = 4;
const RUN: Duration = Duration::from_secs(600);

/// Time between two restores of the table from a copy, and the age of the copy, in milliseconds.
const RESTORE_INTERVAL: std::ops::Range<u64> = 1_000..60_000;
const COPY_AGE: std::ops::Range<u64> = 0..20_000;

/// `Variant` selects the correct holder or one with a known fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// Correct behaviour.
    Correct,
    /// A new holder sends its first order at once, although the engine ignores fencing numbers.
    NoWait,
    /// The lease is checked once, and not again immediately before the send.
    CheckedOnce,
}

/// Engine that ignores fencing numbers. Records the orders that it carried out.
#[derive(Debug, Default)]
struct Engine {
    executed: Vec<FencingNumber>,
}

/// Terms of the leases by fencing number, each with its end as known to its holder.
#[derive(Debug, Default)]
struct TermLog {
    ends: Vec<(FencingNumber, Instant)>,
    overlaps: Vec<String>,
}

impl TermLog {
    fn record(&mut self, gate: &OrderGate) {
        let now = Instant::now();
        for (fencing, end) in &self.ends {
            if *fencing < gate.fencing && *end > now {
                let text = format!("{} holds the lease while {fencing} is valid", gate.fencing);
                self.overlaps.push(text);
            }
        }
        self.ends.push((gate.fencing, gate.valid_until));
    }

    /// Records that a holder releases its lease.
    fn end(&mut self, ended: FencingNumber) {
        self.ends.retain(|(fencing, _)| *fencing != ended);
    }
}

struct Node {
    variant: Variant,
    /// Guards of all nodes, which hear of each fencing number at once.
    guards: Vec<RestoreGuard>,
    options: LeaseOptions,
    rng: StdRng,
    engine: Arc<Mutex<Engine>>,
    terms: Arc<Mutex<TermLog>>,
}

impl Node {
    async fn pause(&mut self) {
        let millis = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(5_000..40_000),
            1 => self.rng.random_range(1_000..5_000),
            _ => self.rng.random_range(0..500),
        };
        sleep(Duration::from_millis(millis)).await;
    }

    async fn run(mut self, mut lease: Lease<Candidate>) {
        loop {
            self.pause().await;
            lease = match lease.try_acquire().await {
                AcquireOutcome::Held(lease) => self.hold(lease).await,
                AcquireOutcome::NotHeld(lease) => lease,
            };
        }
    }

    async fn hold(&mut self, mut lease: Lease<Held>) -> Lease<Candidate> {
        loop {
            let fencing = lease.fencing();
            self.guards.iter().for_each(|g| g.record_fencing(fencing));
            self.terms.lock().expect("lock").record(&lease.gate());
            for _ in 0..3 {
                self.pause().await;
                self.order(&lease.gate()).await;
            }
            if self.rng.random_bool(0.05) {
                sleep(self.options.order_timeout).await;
                self.terms.lock().expect("lock").end(lease.fencing());
                return lease.release().await;
            }
            lease = match lease.renew().await {
                RenewOutcome::Renewed(lease) | RenewOutcome::NotExtended(lease) => lease,
                RenewOutcome::Lost(lease) => return lease,
            };
        }
    }

    async fn order(&mut self, gate: &OrderGate) {
        let fencing = match self.variant {
            Variant::NoWait => EngineFencing::Checked,
            _ => EngineFencing::Ignored,
        };
        let Ok(permit) = gate.permit(fencing, Instant::now()) else {
            return;
        };
        self.pause().await;
        if self.variant == Variant::CheckedOnce {
            self.deliver(permit.fencing());
            return;
        }
        let _ = permit
            .send(|fencing| {
                self.deliver(fencing);
                std::future::ready(())
            })
            .await;
    }

    /// Delivers an order after 1 ms, or with a random delay of up to a term and the margin.
    fn deliver(&mut self, fencing: FencingNumber) {
        let latest = self.options.term + self.options.margin;
        let latest = u64::try_from(latest.as_millis()).expect("short");
        let delay = match self.rng.random_bool(0.2) {
            true => self.rng.random_range(0..latest),
            false => 1,
        };
        let engine = Arc::clone(&self.engine);
        tokio::spawn(async move {
            sleep(Duration::from_millis(delay)).await;
            engine.lock().expect("lock").executed.push(fencing);
        });
    }
}

/// Lets the table come back from copies without end.
async fn restore_repeatedly(table: Arc<RandomTable>, restores: Restores, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xC0DE);
    let row = RowKey::new(LEASE_TABLE, "drafting");
    loop {
        sleep(Duration::from_millis(rng.random_range(RESTORE_INTERVAL))).await;
        let copied = table.inner.read(&row).await.expect("the row");
        sleep(Duration::from_millis(rng.random_range(COPY_AGE))).await;
        restores.restore(&table.inner, row.clone(), copied).await;
    }
}

/// Runs one seed. Returns the violations, and the number of holders whose orders were executed.
fn run_seed(variant: Variant, seed: u64, has_restores: bool) -> (Vec<String>, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let options = LeaseOptions {
            retry: retry_options(),
            ..LeaseOptions::default()
        };
        let table = Arc::new(RandomTable::new(seed, 0.1));
        let restores = Restores::default();
        let tables = (0..NODES).map(|_| NodeTable::new(&table, &restores));
        let (tables, guards): (Vec<_>, Vec<_>) = tables
            .map(|table| {
                let guard = RestoreGuard::new(table.noticed());
                (table, guard)
            })
            .unzip();
        let service = ServiceId::try_new("drafting").expect("valid id");
        let engine = Arc::new(Mutex::new(Engine::default()));
        let terms = Arc::new(Mutex::new(TermLog::default()));
        for (index, table) in tables.into_iter().enumerate() {
            let store = LeaseStore::new(Arc::new(table), options);
            let store = store.with_restore_guard(guards[index].clone());
            let node = Node {
                variant,
                guards: guards.clone(),
                options,
                rng: StdRng::seed_from_u64(seed * 10 + index as u64),
                engine: Arc::clone(&engine),
                terms: Arc::clone(&terms),
            };
            let lease = store.candidate(service.clone(), claimant(index));
            tokio::spawn(node.run(lease));
        }
        if has_restores {
            tokio::spawn(restore_repeatedly(table, restores, seed));
        }
        sleep(RUN).await;

        let mut violations = terms.lock().expect("lock").overlaps.clone();
        let mut executed = engine.lock().expect("lock").executed.clone();
        for pair in executed.windows(2) {
            if pair[1] < pair[0] {
                violations.push(format!("order of {} after one of {}", pair[1], pair[0]));
            }
        }
        executed.dedup();
        (violations, executed.len())
    })
}

// With restores it guards against holders that go on with a record from the copy.
#[rstest]
#[case::lasting_table(false)]
#[case::restored_table(true)]
fn terms_and_orders_of_holders_never_overlap(#[case] has_restores: bool) {
    let mut most_holders = 0;
    for seed in 0..SEEDS {
        let (violations, holders) = run_seed(Variant::Correct, seed, has_restores);

        assert_eq!(violations.first(), None, "seed {seed}");
        most_holders = most_holders.max(holders);
    }

    assert!(most_holders > 3, "too few holders: {most_holders}");
}

#[rstest]
#[case(Variant::NoWait)]
#[case(Variant::CheckedOnce)]
fn the_test_detects_a_faulty_variant(#[case] variant: Variant) {
    let is_broken = |seed| !run_seed(variant, seed, false).0.is_empty();

    let broken = (0..SEEDS).find(|seed| is_broken(*seed));

    assert!(broken.is_some(), "no fault of {variant:?} in {SEEDS} seeds");
}
