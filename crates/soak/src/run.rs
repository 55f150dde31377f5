//! A whole run: set-up, rounds of faults under load, final checks.

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
    options::SoakOptions,
    publisher::{Accepted, Publisher},
    report::{Counters, SoakReport},
    schedule::Round,
    verdict::{Broken, Verdict},
    watch::{Watch, settle, wait_in_force},
};

/// Time between two checks of generations and runs.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time in which a call ends that was under way at a booking replica when its caller had gone.
const LATE_RUN_TIME: Duration = Duration::from_secs(3);

/// Longest time until callers end their last requests.
const FINISH_LIMIT: Duration = Duration::from_secs(150);

/// Distance between the seeds of callers of one kind and those of the next.
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
    pub broken: Option<Broken>,
    /// Names of the nodes that took part in it, and the ends of their logs.
    pub log_tails: Vec<(String, String)>,
}

struct Soak {
    options: SoakOptions,
    deployment: Arc<Deployment>,
    counters: Arc<Counters>,
    verdict: Arc<Verdict>,
    records: Arc<BookingRecords>,
    accepted: Arc<Accepted>,
    watch: Watch,
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
        broken = soak.verdict.wait() => Some(broken),
        result = soak.carry_out() => {
            result?;
            soak.verdict.first()
        }
        never = soak.keep_checking() => match never {},
    };
    Ok(soak.outcome(broken))
}

impl Soak {
    async fn start(options: SoakOptions) -> Result<Self> {
        Ok(Self {
            options,
            deployment: Arc::new(Deployment::start().await?),
            counters: Arc::default(),
            verdict: Arc::default(),
            records: Arc::default(),
            accepted: Arc::default(),
            watch: Watch::default(),
            stop: StopFlag::default(),
            started: Instant::now(),
        })
    }

    async fn carry_out(&self) -> Result<()> {
        let mut publisher = self.publisher();
        if let Err(broken) = self.set_up(&mut publisher).await {
            self.verdict.report(broken);
            return Ok(());
        }
        let mut callers = self.start_callers(publisher);
        self.run_rounds().await?;
        self.stop.set();
        let finish = tokio::time::timeout(FINISH_LIMIT, async {
            while let Some(result) = callers.join_next().await {
                self.verdict.record(result.unwrap_or_else(|error| {
                    Err(Broken::new("a caller runs to its end", error.to_string()))
                }));
            }
        });
        if finish.await.is_err() {
            let detail = format!("{} callers are not done", callers.len());
            self.verdict
                .report(Broken::new("every request ends", detail));
        }
        self.verdict.record(self.check_end().await);
        Ok(())
    }

    async fn set_up(&self, publisher: &mut Publisher) -> Result<(), Broken> {
        while self.accepted.get() == 0 {
            publisher.publish().await?;
            sleep(CHECK_PERIOD).await;
        }
        settle(&self.deployment).await
    }

    fn publisher(&self) -> Publisher {
        Publisher::new(
            self.seed_of(2, 0),
            Arc::clone(&self.deployment.directory),
            Arc::clone(&self.accepted),
            Arc::clone(&self.counters),
        )
    }

    fn start_callers(&self, publisher: Publisher) -> JoinSet<Result<(), Broken>> {
        let mut callers = JoinSet::new();
        let directory = &self.deployment.directory;
        for number in 0..self.options.chat_callers {
            let seed = self.seed_of(0, number);
            let counters = Arc::clone(&self.counters);
            let caller = ChatCaller::new(number, seed, Arc::clone(directory), counters);
            self.spawn(&mut callers, caller.run(self.stop.clone()));
        }
        for number in 0..self.options.booking_callers {
            let caller = BookingCaller::new(
                number,
                self.seed_of(1, number),
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
        callers: &mut JoinSet<Result<(), Broken>>,
        caller: impl Future<Output = Result<(), Broken>> + Send + 'static,
    ) {
        let verdict = Arc::clone(&self.verdict);
        callers.spawn(async move {
            verdict.record(caller.await);
            Ok(())
        });
    }

    async fn run_rounds(&self) -> Result<()> {
        let injector = Injector::new(
            Arc::clone(&self.deployment),
            Arc::clone(&self.counters),
            Arc::clone(&self.verdict),
        );
        let mut rng = StdRng::seed_from_u64(self.options.seed);
        let begin = Instant::now();
        while begin.elapsed() < self.options.time {
            let round = Round::draw(&mut rng);
            self.tell(&serde_json::to_string(&round)?);
            injector.carry_out(&round).await?;
            self.verdict.record(self.check_round().await);
            if self.verdict.first().is_some() {
                return Ok(());
            }
            self.tell(&serde_json::to_string(&self.report())?);
        }
        Ok(())
    }

    async fn check_round(&self) -> Result<(), Broken> {
        settle(&self.deployment).await?;
        wait_in_force(&self.deployment, self.accepted.get()).await?;
        self.deployment.check_logs()
    }

    async fn check_end(&self) -> Result<(), Broken> {
        sleep(LATE_RUN_TIME).await;
        self.check_round().await?;
        let runs = self.deployment.runs().await;
        let runs = runs.map_err(|error| Broken::new("replicas tell their runs", error.to_string()));
        self.records.check_words(&runs?)
    }

    /// Checks generations and runs until the run is over.
    async fn keep_checking(&self) -> std::convert::Infallible {
        loop {
            sleep(CHECK_PERIOD).await;
            self.verdict
                .record(self.watch.check_generations(&self.deployment).await);
            // A replica that is being replaced does not answer; the next check reads it.
            if let Ok(runs) = self.deployment.runs().await {
                self.verdict.record(self.records.check_at_most_once(&runs));
            }
        }
    }

    fn outcome(&self, broken: Option<Broken>) -> SoakOutcome {
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

    fn seed_of(&self, kind: u64, number: usize) -> u64 {
        let own = kind * SEED_STEP + number as u64 + 1;
        self.options
            .seed
            .wrapping_mul(SEED_STEP * SEED_STEP)
            .wrapping_add(own)
    }

    fn tell(&self, line: &str) {
        if self.options.is_verbose {
            eprintln!("{:7.1} s {line}", self.started.elapsed().as_secs_f64());
        }
    }
}
