//! A complete run: set-up, rounds of faults under load, final checks.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use rand::{SeedableRng as _, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    booking_caller::BookingCaller,
    booking_records::BookingRecords,
    chat_caller::ChatCaller,
    deployment::Deployment,
    injector::Injector,
    invariant::{BrokenInvariant, FirstFailure},
    monitor::{GenerationMonitor, wait_in_force, wait_until_settled},
    options::SoakOptions,
    publisher::{AcceptedGeneration, Publisher},
    report::{Counters, SoakReport},
    schedule::Round,
};

/// Time between two checks of generations and runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for a call to end at a booking replica after its caller has stopped waiting.
const LATE_RUN_GRACE: Duration = Duration::from_secs(3);

/// Longest time for callers to finish their last requests.
const FINISH_TIMEOUT: Duration = Duration::from_secs(150);

/// Distance between the seeds of one kind of caller and those of the next.
const SEED_STEP: u64 = 1000;

/// `StopFlag` tells callers to start no more requests.
#[derive(Debug, Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Tells callers to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether callers are to stop.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// `SoakOutcome` is the result of a run.
#[derive(Debug, Clone)]
pub struct SoakOutcome {
    /// Counts.
    pub report: SoakReport,
    /// The broken invariant that ended the run.
    pub broken: Option<BrokenInvariant>,
    /// Names of the nodes involved and the last lines of their logs.
    pub log_tails: Vec<(String, String)>,
}

struct Soak {
    options: SoakOptions,
    deployment: Arc<Deployment>,
    counters: Arc<Counters>,
    first_failure: Arc<FirstFailure>,
    records: Arc<BookingRecords>,
    accepted: Arc<AcceptedGeneration>,
    monitor: GenerationMonitor,
    stop: StopFlag,
    started: Instant,
}

/// Runs faults and callers until the time is over or an invariant breaks.
///
/// # Errors
///
/// When a program has not been built, or a stand-in or a start fails.
pub async fn run(options: SoakOptions) -> Result<SoakOutcome> {
    let soak = Soak::start(options).await?;
    let broken = tokio::select! {
        broken = soak.first_failure.wait() => Some(broken),
        result = soak.execute() => {
            result?;
            soak.first_failure.get()
        }
        never = soak.check_periodically() => match never {},
    };
    Ok(soak.outcome(broken))
}

impl Soak {
    async fn start(options: SoakOptions) -> Result<Self> {
        Ok(Self {
            options,
            deployment: Arc::new(Deployment::start().await?),
            counters: Arc::default(),
            first_failure: Arc::default(),
            records: Arc::default(),
            accepted: Arc::default(),
            monitor: GenerationMonitor::default(),
            stop: StopFlag::default(),
            started: Instant::now(),
        })
    }

    async fn execute(&self) -> Result<()> {
        let mut publisher = self.publisher();
        if let Err(broken) = self.set_up(&mut publisher).await {
            self.first_failure.report(broken);
            return Ok(());
        }
        let mut callers = self.start_callers(publisher);
        self.run_rounds().await?;
        self.stop.set();
        let finish = tokio::time::timeout(FINISH_TIMEOUT, async {
            while let Some(result) = callers.join_next().await {
                self.first_failure.record(result.unwrap_or_else(|error| {
                    Err(BrokenInvariant::new(
                        "a caller runs to its end",
                        error.to_string(),
                    ))
                }));
            }
        });
        if finish.await.is_err() {
            let detail = format!("{} callers are not done", callers.len());
            self.first_failure
                .report(BrokenInvariant::new("every request ends", detail));
        }
        self.first_failure.record(self.check_end().await);
        Ok(())
    }

    async fn set_up(&self, publisher: &mut Publisher) -> Result<(), BrokenInvariant> {
        while self.accepted.get() == 0 {
            publisher.publish().await?;
            sleep(CHECK_INTERVAL).await;
        }
        wait_until_settled(&self.deployment).await
    }

    fn publisher(&self) -> Publisher {
        Publisher::new(
            self.derive_seed(2, 0),
            Arc::clone(&self.deployment.directory),
            Arc::clone(&self.accepted),
            Arc::clone(&self.counters),
        )
    }

    fn start_callers(&self, publisher: Publisher) -> JoinSet<Result<(), BrokenInvariant>> {
        let mut callers = JoinSet::new();
        let directory = &self.deployment.directory;
        for number in 0..self.options.chat_callers {
            let seed = self.derive_seed(0, number);
            let counters = Arc::clone(&self.counters);
            let caller = ChatCaller::new(number, seed, Arc::clone(directory), counters);
            self.spawn(&mut callers, caller.run(self.stop.clone()));
        }
        for number in 0..self.options.booking_callers {
            let caller = BookingCaller::new(
                number,
                self.derive_seed(1, number),
                Arc::clone(directory),
                Arc::clone(&self.records),
                Arc::clone(&self.counters),
            );
            self.spawn(&mut callers, caller.run(self.stop.clone()));
        }
        self.spawn(&mut callers, publisher.run(self.stop.clone()));
        callers
    }

    /// Starts a caller whose broken invariant ends the run at once.
    fn spawn(
        &self,
        callers: &mut JoinSet<Result<(), BrokenInvariant>>,
        caller: impl Future<Output = Result<(), BrokenInvariant>> + Send + 'static,
    ) {
        let first_failure = Arc::clone(&self.first_failure);
        callers.spawn(async move {
            first_failure.record(caller.await);
            Ok(())
        });
    }

    async fn run_rounds(&self) -> Result<()> {
        let injector = Injector::new(
            Arc::clone(&self.deployment),
            Arc::clone(&self.counters),
            Arc::clone(&self.first_failure),
        );
        let mut rng = StdRng::seed_from_u64(self.options.seed);
        let begin = Instant::now();
        while begin.elapsed() < self.options.time {
            let round = Round::draw(&mut rng);
            self.print_progress(&serde_json::to_string(&round)?);
            injector.apply_round(&round).await?;
            self.first_failure.record(self.check_round().await);
            if self.first_failure.get().is_some() {
                return Ok(());
            }
            self.print_progress(&serde_json::to_string(&self.report())?);
        }
        Ok(())
    }

    async fn check_round(&self) -> Result<(), BrokenInvariant> {
        wait_until_settled(&self.deployment).await?;
        wait_in_force(&self.deployment, self.accepted.get()).await?;
        self.deployment.check_logs()
    }

    async fn check_end(&self) -> Result<(), BrokenInvariant> {
        sleep(LATE_RUN_GRACE).await;
        self.check_round().await?;
        let runs = self.deployment.runs().await;
        let runs = runs
            .map_err(|error| BrokenInvariant::new("replicas tell their runs", error.to_string()));
        self.records.check_outcomes(&runs?)
    }

    /// Checks generations and runs until the run is over.
    async fn check_periodically(&self) -> std::convert::Infallible {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.first_failure
                .record(self.monitor.check_generations(&self.deployment).await);
            // A replica that is being replaced does not answer; the next check reads it.
            if let Ok(runs) = self.deployment.runs().await {
                self.first_failure
                    .record(self.records.check_at_most_once(&runs));
            }
        }
    }

    fn outcome(&self, broken: Option<BrokenInvariant>) -> SoakOutcome {
        let mut report = self.report();
        report.broken = broken.is_some().into();
        let log_tails = broken
            .as_ref()
            .map(|broken| self.deployment.log_tails(&broken.nodes));
        SoakOutcome {
            report,
            log_tails: log_tails.unwrap_or_default(),
            broken,
        }
    }

    fn report(&self) -> SoakReport {
        let minutes = self.started.elapsed().as_secs_f64() / 60.0;
        self.counters.report(self.options.seed, minutes)
    }

    fn derive_seed(&self, kind: u64, number: usize) -> u64 {
        let offset = kind * SEED_STEP + number as u64 + 1;
        self.options
            .seed
            .wrapping_mul(SEED_STEP * SEED_STEP)
            .wrapping_add(offset)
    }

    fn print_progress(&self, line: &str) {
        if self.options.is_verbose {
            eprintln!("{:7.1} s {line}", self.started.elapsed().as_secs_f64());
        }
    }
}
