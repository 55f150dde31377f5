//! Usage reports on a store that comes back from an older copy, while holders of the duties end.

mod duty_support;

use std::{collections::BTreeMap, time::Duration};

use duty_support::{
    CallContent, Copy, Deployment, DutyNode, LinkState, RecordedCall, TERM, WINDOW, until,
    workspace,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_services::UsageReport;

/// Requests that the first holder counts in the window that it reports.
const RUNS: usize = 5;

/// Time after a restore in which all windows before it have been reported or left out.
const SETTLED: Duration = Duration::from_secs(40);

fn reports(calls: &[RecordedCall]) -> Vec<UsageReport> {
    let report = |call: &RecordedCall| match &call.content {
        CallContent::Usage(report) => Some(report.clone()),
        CallContent::Order(_) => None,
    };
    calls.iter().filter_map(report).collect()
}

/// Returns the windows that were reported with more than one set of counts.
fn repeated_windows(reports: &[UsageReport]) -> Vec<u64> {
    let mut first = BTreeMap::new();
    let mut repeated = Vec::new();
    for report in reports {
        if *first.entry(report.window).or_insert(&report.counts) != &report.counts {
            repeated.push(report.window);
        }
    }
    repeated
}

/// Which processes live on, and when those that ended start again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Survivors {
    /// All end and start again when the store is back.
    NoneStartedAfter,
    /// All end and start again before the store goes away, so that they notice the restore.
    NoneStartedBefore,
    /// A node that has not heard of the report.
    AnotherNode,
}

// Guards against a second report of a window with other counts (ONE), whose first report the store has lost.
#[rstest]
#[case::none_started_after(Survivors::NoneStartedAfter)]
#[case::none_started_before(Survivors::NoneStartedBefore)]
#[case::another_node(Survivors::AnotherNode)]
#[tokio::test(start_paused = true)]
async fn a_window_is_not_reported_again_when_its_report_is_lost(#[case] survivors: Survivors) {
    let mut deployment = Deployment::default();
    let platform = deployment.platform.clone();
    let a = deployment.start("a");
    until("a report of a", || !reports(&platform.calls()).is_empty()).await;
    let mut later = Vec::new();
    if survivors == Survivors::AnotherNode {
        later.push(deployment.start("b"));
        sleep(Duration::from_secs(1)).await;
    }
    a.count_runs(RUNS);
    let copy = deployment.copy().await;
    until("a report with requests", || {
        let reports = reports(&platform.calls());
        reports.iter().any(|report| !report.counts.is_empty())
    })
    .await;

    a.kill().await;
    if survivors == Survivors::NoneStartedBefore {
        later.push(deployment.start("b"));
        sleep(Duration::from_millis(100)).await;
    }
    deployment.restore(copy).await;
    if survivors == Survivors::NoneStartedAfter {
        later.push(deployment.start("b"));
    }
    sleep(SETTLED).await;

    let all = reports(&platform.calls());
    let later = reports(&platform.calls_of("b"));
    assert_eq!(repeated_windows(&all), [0; 0]);
    let last_before = all.len() - later.len();
    let gap = later
        .first()
        .map(|report| report.window - all[last_before - 1].window);
    assert!(gap.is_some_and(|gap| gap <= 6), "windows left out: {gap:?}");
}

/// Who holds the duties after the restore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextHolder {
    Same,
    /// Another node, since the holder ends soon after it has noticed the restore.
    Another,
}

// Guards against windows that are left out although the holder lives through the restore and knows that it has not
// reported them.
#[rstest]
#[case::same(NextHolder::Same)]
#[case::another(NextHolder::Another)]
#[tokio::test(start_paused = true)]
async fn no_window_is_left_out_when_the_holder_lives_through_the_restore(#[case] next: NextHolder) {
    let mut deployment = Deployment::default();
    let platform = deployment.platform.clone();
    let a = deployment.start("a");
    until("a report of a", || !reports(&platform.calls()).is_empty()).await;
    sleep(TERM).await;
    let b = deployment.start("b");
    let copy = deployment.copy().await;
    sleep(WINDOW * 3).await;

    deployment.restore(copy).await;
    a.count_runs(RUNS);
    sleep(TERM / 2).await;
    match next {
        NextHolder::Same => b.kill().await,
        NextHolder::Another => a.kill().await,
    }
    sleep(SETTLED).await;

    let all = reports(&platform.calls());
    assert_eq!(repeated_windows(&all), [0; 0]);
    let windows: Vec<u64> = all.iter().map(|report| report.window).collect();
    let (first, last) = (windows[0], windows[windows.len() - 1]);
    let missing: Vec<u64> = (first..=last).filter(|w| !windows.contains(w)).collect();
    assert_eq!(missing, [0; 0]);
    if next == NextHolder::Same {
        let runs = all
            .iter()
            .filter_map(|report| report.counts.get(&workspace()));
        assert_eq!(runs.sum::<u64>(), RUNS as u64);
    }
}

/// Time for which nodes end, start and lose their links at random.
const RANDOM_RUN: Duration = Duration::from_secs(300);

/// Age of the copies from which the table comes back.
const COPY_AGE: Duration = Duration::from_secs(6);

/// Most nodes that run at the same time.
const MAX_NODES: usize = 3;

/// `RandomRun` is a deployment under faults drawn from a seed.
struct RandomRun {
    rng: StdRng,
    deployment: Deployment,
    nodes: Vec<DutyNode>,
    copies: Vec<(Instant, Copy)>,
    started: usize,
    restores: usize,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            deployment: Deployment::default(),
            nodes: Vec::new(),
            copies: Vec::new(),
            started: 0,
            restores: 0,
        }
    }

    fn start(&mut self) {
        if self.nodes.len() < MAX_NODES {
            self.started += 1;
            let name = format!("n{}", self.started);
            self.nodes.push(self.deployment.start(&name));
        }
    }

    async fn kill(&mut self) {
        if !self.nodes.is_empty() {
            let index = self.rng.random_range(0..self.nodes.len());
            self.nodes.swap_remove(index).kill().await;
        }
    }

    async fn restore(&mut self) {
        self.copies.retain(|(at, _)| at.elapsed() < COPY_AGE);
        if !self.copies.is_empty() {
            let index = self.rng.random_range(0..self.copies.len());
            let (_, copy) = self.copies.swap_remove(index);
            self.deployment.restore(copy).await;
            self.restores += 1;
        }
    }

    async fn step(&mut self) {
        self.copies
            .push((Instant::now(), self.deployment.copy().await));
        match self.rng.random_range(0..100) {
            0..25 => self.start(),
            25..35 => self.kill().await,
            35..40 => {
                while !self.nodes.is_empty() {
                    self.kill().await;
                }
            }
            40..50 => self.restore().await,
            50..65 => {
                if let Some(node) = self.nodes.choose(&mut self.rng) {
                    let link = match *node.link.borrow() {
                        LinkState::Up => LinkState::Cut,
                        _ => LinkState::Up,
                    };
                    node.link.send_replace(link);
                }
            }
            _ => {
                if let Some(node) = self.nodes.choose(&mut self.rng) {
                    node.count_runs(1);
                }
            }
        }
    }
}

/// Number of seeds of the random runs.
const SEEDS: u64 = 40;

// Guards against the same faults, and against holders of the lease at the same time, when ends, starts, lost links and
// restores come in series and overlap.
#[test]
fn reports_and_fencing_numbers_stand_random_restores() {
    let (mut restores, mut most_holders, mut with_runs) = (0, 0, 0);
    for seed in 0..SEEDS {
        let run = run_seed(seed);

        let calls = run.deployment.platform.calls();
        let reports = reports(&calls);
        assert_eq!(repeated_windows(&reports), [0; 0], "seed {seed}");
        let fencing: Vec<_> = calls.iter().map(|call| call.holder.fencing).collect();
        assert!(fencing.is_sorted(), "seed {seed}: {fencing:?}");
        let mut holders = BTreeMap::new();
        for call in &calls {
            let holder = *holders
                .entry(call.holder.fencing)
                .or_insert(&call.holder.node);
            assert_eq!(holder, &call.holder.node, "seed {seed}");
        }
        restores += run.restores;
        most_holders = most_holders.max(holders.len());
        with_runs += reports.iter().filter(|r| !r.counts.is_empty()).count();
    }

    assert!(
        restores > 200 && most_holders > 5 && with_runs > 500,
        "too few faults or reports: {restores}, {most_holders}, {with_runs}"
    );
}

fn run_seed(seed: u64) -> RandomRun {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let mut run = RandomRun::new(seed);
        let end = Instant::now() + RANDOM_RUN;
        while Instant::now() < end {
            run.step().await;
            let pause = run.rng.random_range(100..1_500);
            sleep(Duration::from_millis(pause)).await;
        }
        run
    })
}

// Guards against a holder that hands over what it knew although another node had followed it before the restore: it was
// cut off or frozen for longer than its term.
#[tokio::test(start_paused = true)]
async fn a_holder_whose_term_had_ended_hands_nothing_over() {
    let mut deployment = Deployment::default();
    let platform = deployment.platform.clone();
    let a = deployment.start("a");
    until("a report of a", || !reports(&platform.calls()).is_empty()).await;
    sleep(TERM).await;
    let copy = deployment.copy().await;
    a.link.send_replace(LinkState::Cut);
    let b = deployment.start("b");
    sleep(TERM * 2).await;
    b.count_runs(RUNS);
    until("a report of b with requests", || {
        let of_b = reports(&platform.calls_of("b"));
        of_b.iter().any(|report| !report.counts.is_empty())
    })
    .await;

    b.kill().await;
    deployment.restore(copy).await;
    a.link.send_replace(LinkState::Up);
    sleep(SETTLED).await;

    let all = reports(&platform.calls());
    assert_eq!(repeated_windows(&all), [0; 0]);
    let calls = platform.calls();
    let last = &calls.last().expect("calls").holder.node;
    assert_eq!(last.as_str(), "a");
}
