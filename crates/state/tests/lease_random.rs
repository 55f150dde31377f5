//! Randomised test of nodes that compete for one lease, pause between any two steps, and send
//! orders that may be delivered late.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{claimant, random_table::RandomTable, retry_options};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_manifest::EngineFencing;
use verbenahead_state::lease::{
    AcquireOutcome, Candidate, Held, Lease, LeaseOptions, LeaseStore, OrderGate, RenewOutcome,
};

const SEEDS: u64 = 200;
const NODES: usize = 4;
const RUN: Duration = Duration::from_secs(600);

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

/// Runs one seed. Returns the violations, and the highest fencing number of an executed order.
fn run_seed(variant: Variant, seed: u64) -> (Vec<String>, FencingNumber) {
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
        let store = LeaseStore::new(Arc::new(RandomTable::new(seed, 0.1)), options);
        let service = ServiceId::try_new("drafting").expect("valid id");
        let engine = Arc::new(Mutex::new(Engine::default()));
        let terms = Arc::new(Mutex::new(TermLog::default()));
        for index in 0..NODES {
            let node = Node {
                variant,
                options,
                rng: StdRng::seed_from_u64(seed * 10 + index as u64),
                engine: Arc::clone(&engine),
                terms: Arc::clone(&terms),
            };
            let lease = store.candidate(service.clone(), claimant(index));
            tokio::spawn(node.run(lease));
        }
        sleep(RUN).await;

        let mut violations = terms.lock().expect("lock").overlaps.clone();
        let executed = engine.lock().expect("lock").executed.clone();
        for pair in executed.windows(2) {
            if pair[1] < pair[0] {
                violations.push(format!("order of {} after one of {}", pair[1], pair[0]));
            }
        }
        let highest = executed.into_iter().max().unwrap_or_default();
        (violations, highest)
    })
}

#[test]
fn terms_and_orders_of_holders_never_overlap() {
    let mut highest = FencingNumber(0);
    for seed in 0..SEEDS {
        let (violations, reached) = run_seed(Variant::Correct, seed);

        assert_eq!(violations.first(), None, "seed {seed}");
        highest = highest.max(reached);
    }

    assert!(highest > FencingNumber(3), "too few holders: {highest}");
}

#[rstest]
#[case(Variant::NoWait)]
#[case(Variant::CheckedOnce)]
fn the_test_detects_a_faulty_variant(#[case] variant: Variant) {
    let is_broken = |seed| !run_seed(variant, seed).0.is_empty();

    let broken = (0..SEEDS).find(|seed| is_broken(*seed));

    assert!(broken.is_some(), "no fault of {variant:?} in {SEEDS} seeds");
}
