//! Tests of burn reports: counts outlive their node, each request is counted once, and missing
//! sources are named.

use std::{sync::Arc, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;
use tokio::time::{advance, sleep};
use verbenahead::burn::{
    BurnAlert, BurnFlush, BurnFlushOptions, BurnRecorder, BurnReport, BurnReporter,
    BurnReporterOptions, BurnStore, Counts, HourRow, NodeBurnCounts, ObjectiveCounts,
    ObjectiveKind, RequestResult, RowEntry, SeriesKey, Slice, StoredState, Window, alert,
    render_page,
};
use verbenahead_core::{
    Incarnation, NodeId, ServiceId, WorkspaceId,
    time::{UnixMillis, WallClock},
    timer::TimerService,
};
use verbenahead_manifest::{Manifest, parse};
use verbenahead_services::{MemoryTable, Table, TableName, WriteOutcome, memory::TableFaults};

const QUICKSTART: &str = include_str!("../../../examples/manifest.jsonc");

/// Start of the simulated clock, at noon UTC.
const START: UnixMillis = UnixMillis(1_800_014_400_000);

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);

const GOOD: RequestResult = RequestResult {
    is_answered: true,
    first_token: Some(Duration::from_millis(100)),
    inter_token: Some(Duration::from_millis(10)),
};

const FAILED: RequestResult = RequestResult {
    is_answered: false,
    first_token: None,
    inter_token: None,
};

struct Node {
    id: NodeId,
    incarnation: Incarnation,
    recorder: Arc<BurnRecorder>,
    flush: BurnFlush,
}

impl Node {
    fn start(table: &Arc<MemoryTable>, clock: WallClock, id: &str, incarnation: u64) -> Self {
        let recorder = Arc::new(BurnRecorder::new(clock));
        recorder.apply(&manifest());
        let id: NodeId = id.parse().unwrap();
        let incarnation = Incarnation(incarnation);
        let options = BurnFlushOptions {
            roll_up_probability: 1.0,
            ..BurnFlushOptions::default()
        };
        let flush = BurnFlush::spawn(
            recorder.clone(),
            BurnStore::new(table.clone()),
            id.clone(),
            incarnation,
            TimerService,
            options,
        );
        Self {
            id,
            incarnation,
            recorder,
            flush,
        }
    }

    fn record(&self, result: RequestResult, count: usize) {
        let (workspace, service) = pair();
        for _ in 0..count {
            self.recorder.record(&workspace, &service, result);
        }
    }

    fn answer(&self) -> NodeBurnCounts {
        NodeBurnCounts {
            node: self.id.clone(),
            incarnation: self.incarnation,
            counts: self.recorder.live_counts(),
        }
    }
}

fn manifest() -> Manifest {
    parse("manifest.jsonc", QUICKSTART).unwrap()
}

fn pair() -> (WorkspaceId, ServiceId) {
    ("crew".parse().unwrap(), "drafting".parse().unwrap())
}

fn reporter(table: &Arc<MemoryTable>, clock: WallClock) -> BurnReporter {
    let options = BurnReporterOptions {
        max_age: Duration::ZERO,
    };
    BurnReporter::new(BurnStore::new(table.clone()), clock, options)
}

async fn report(reporter: &BurnReporter, answers: &[NodeBurnCounts]) -> BurnReport {
    let made_by = "node-z".parse().unwrap();
    reporter.report(&manifest(), &made_by, answers, &[]).await
}

fn availability(report: &BurnReport, window: Window) -> Option<Counts> {
    let (workspace, service) = pair();
    let is_match = |workspace_: &WorkspaceId, service_: &ServiceId| {
        *workspace_ == workspace && *service_ == service
    };
    let entries = report.entries.iter();
    let entry = entries
        .clone()
        .find(|entry| is_match(&entry.workspace, &entry.service));
    let objective = entry.unwrap().objectives.first().unwrap();
    assert_eq!(objective.objective, ObjectiveKind::Availability);
    let found = objective
        .windows
        .iter()
        .find(|entry| entry.window == window);
    found.unwrap().counts
}

fn counts(good: u64, total: u64) -> Option<Counts> {
    Some(Counts { good, total })
}

#[tokio::test(start_paused = true)]
async fn counts_in_memory_and_in_the_table_are_added_once() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let a = Node::start(&table, clock, "a", 1);
    let b = Node::start(&table, clock, "b", 1);
    a.record(GOOD, 7);
    b.record(FAILED, 3);
    sleep(2 * MINUTE).await;

    let report = report(&reporter(&table, clock), &[a.answer(), b.answer()]).await;

    for window in Window::ALL {
        assert_eq!(availability(&report, window), counts(7, 10), "{window}");
    }
}

#[tokio::test(start_paused = true)]
async fn counts_survive_the_replacement_of_a_drained_node() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let old = Node::start(&table, clock, "a", 1);
    old.record(FAILED, 4);
    old.flush.close().await;
    let new = Node::start(&table, clock, "a", 2);
    new.record(GOOD, 6);
    sleep(2 * MINUTE).await;

    let report = report(&reporter(&table, clock), &[new.answer()]).await;

    assert_eq!(availability(&report, Window::FiveMinutes), counts(6, 10));
    assert_eq!(availability(&report, Window::FourWeeks), counts(6, 10));
}

#[tokio::test(start_paused = true)]
async fn retried_write_after_a_lost_response_counts_once() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let node = Node::start(&table, clock, "a", 1);
    table.set_faults(TableFaults {
        lost_answers: 2,
        ..TableFaults::default()
    });
    node.record(FAILED, 5);

    sleep(5 * MINUTE).await;

    let report = report(&reporter(&table, clock), &[node.answer()]).await;
    assert_eq!(availability(&report, Window::SixHours), counts(0, 5));
}

#[tokio::test(start_paused = true)]
async fn table_outage_delays_counts_and_is_reported() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let node = Node::start(&table, clock, "a", 1);
    let reporter = reporter(&table, clock);
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });
    node.record(FAILED, 5);
    sleep(5 * HOUR).await;
    node.record(GOOD, 1);

    let during = report(&reporter, &[node.answer()]).await;
    table.set_faults(TableFaults::default());
    sleep(2 * MINUTE).await;
    let after = report(&reporter, &[node.answer()]).await;

    assert!(matches!(during.stored, StoredState::Missing { .. }));
    assert_eq!(availability(&during, Window::OneHour), counts(1, 1));
    assert_eq!(availability(&during, Window::SixHours), None);
    assert!(during.to_string().contains("TABLE NOT REACHABLE"));
    assert_eq!(availability(&after, Window::SixHours), counts(1, 6));
}

#[tokio::test(start_paused = true)]
async fn cached_counts_are_used_while_the_table_is_down() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let node = Node::start(&table, clock, "a", 1);
    let reporter = reporter(&table, clock);
    node.record(FAILED, 5);
    sleep(2 * MINUTE).await;
    report(&reporter, &[]).await;
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });
    advance(MINUTE).await;

    let stale = report(&reporter, &[]).await;

    assert!(matches!(stale.stored, StoredState::Stale { age_ms, .. } if age_ms == 60_000));
    assert_eq!(availability(&stale, Window::SixHours), counts(0, 5));
}

#[tokio::test(start_paused = true)]
async fn roll_up_preserves_the_counts_of_past_days() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let a = Node::start(&table, clock, "a", 1);
    let b = Node::start(&table, clock, "b", 1);
    for _ in 0..8 {
        a.record(GOOD, 3);
        b.record(FAILED, 2);
        sleep(DAY).await;
    }
    sleep(2 * MINUTE).await;

    let days = table.list(TableName("burn_days"), "", None, 100).await;
    let hours = table.list(TableName("burn_hours"), "", None, 100).await;
    let report = report(&reporter(&table, clock), &[]).await;

    assert_eq!(days.unwrap().len(), 4);
    assert_eq!(hours.unwrap().len(), 8);
    assert_eq!(availability(&report, Window::FourWeeks), counts(24, 40));
}

#[tokio::test(start_paused = true)]
async fn roll_up_with_lost_responses_counts_once() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let a = Node::start(&table, clock, "a", 1);
    let b = Node::start(&table, clock, "b", 1);
    for _ in 0..8 * 24 {
        table.set_faults(TableFaults {
            lost_answers: 3,
            ..TableFaults::default()
        });
        a.record(GOOD, 3);
        b.record(FAILED, 2);
        sleep(HOUR).await;
    }
    sleep(2 * MINUTE).await;

    let report = report(&reporter(&table, clock), &[]).await;

    let total = 8 * 24;
    assert_eq!(
        availability(&report, Window::FourWeeks),
        counts(3 * total, 5 * total)
    );
}

/// Returns the total number of requests in the table over four weeks.
async fn stored_total(store: &BurnStore) -> u64 {
    let (workspace, service) = pair();
    let stored = store.read(START).await.unwrap();
    let series = SeriesKey { workspace, service };
    let slices = stored.slices(&series);
    let in_window = slices.filter(|slice| slice.is_in(Window::FourWeeks, START));
    in_window.map(|slice| slice.counts.availability.total).sum()
}

#[tokio::test]
async fn hourly_rows_of_a_rolled_up_day_are_not_counted() {
    let table = Arc::new(MemoryTable::default());
    let store = BurnStore::new(table.clone());
    let (workspace, service) = pair();
    let week_ago = START.saturating_sub(7 * DAY).0 / 3_600_000;
    let mut row = HourRow::new(week_ago);
    row.entries.push(RowEntry {
        series: SeriesKey { workspace, service },
        slices: vec![Slice {
            start: week_ago * 60,
            minutes: 60,
            counts: ObjectiveCounts::from([3, 5, 0, 0, 0, 0]),
        }],
    });
    let node: NodeId = "a".parse().unwrap();
    let rows = [row];
    let written = store.write(&node, Incarnation(1), &rows).await;
    assert!(matches!(written, WriteOutcome::Done(_)));
    let before = stored_total(&store).await;
    store.roll_up(START).await.unwrap();
    let rolled_up = stored_total(&store).await;

    // A node that lost the response to its first write repeats the write.
    let written = store.write(&node, Incarnation(1), &rows).await;
    let rewritten = stored_total(&store).await;
    store.roll_up(START).await.unwrap();
    let after = stored_total(&store).await;

    assert!(matches!(written, WriteOutcome::Done(_)));
    assert_eq!([before, rolled_up, rewritten, after], [5; 4]);
    let hours = table.list(TableName("burn_hours"), "", None, 10).await;
    assert!(hours.unwrap().is_empty());
}

#[tokio::test(start_paused = true)]
async fn idle_node_writes_nothing_and_busy_node_keeps_the_write_limit() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let options = BurnFlushOptions {
        roll_up_probability: 0.0,
        ..BurnFlushOptions::default()
    };
    let recorder = Arc::new(BurnRecorder::new(clock));
    recorder.apply(&manifest());
    let store = BurnStore::new(table.clone());
    let id: NodeId = "a".parse().unwrap();
    let _flush = BurnFlush::spawn(
        recorder.clone(),
        store,
        id,
        Incarnation(1),
        TimerService,
        options,
    );
    let (workspace, service) = pair();

    sleep(HOUR).await;
    let (_, idle_writes) = table.call_counts();
    for _ in 0..3_600 {
        recorder.record(&workspace, &service, GOOD);
        sleep(Duration::from_secs(1)).await;
    }
    let (_, busy_writes) = table.call_counts();

    assert_eq!(idle_writes, 0);
    assert!(busy_writes <= 62, "{busy_writes} writes in an hour");
}

#[tokio::test(start_paused = true)]
async fn report_names_nodes_that_did_not_answer() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let missing: Vec<NodeId> = vec!["node-7".parse().unwrap()];
    let made_by = "node-1".parse().unwrap();

    let report = reporter(&table, clock)
        .report(&manifest(), &made_by, &[], &missing)
        .await;

    assert!(report.to_string().contains("NO ANSWER FROM node-7"));
    assert!(render_page(&report).contains("NO ANSWER FROM node-7"));
}

#[tokio::test(start_paused = true)]
async fn requests_of_unknown_workspaces_are_not_stored() {
    let clock = WallClock::starting_at(START);
    let recorder = BurnRecorder::new(clock);
    recorder.apply(&manifest());
    let (_, service) = pair();

    recorder.record(&"stranger".parse().unwrap(), &service, GOOD);

    assert!(recorder.live_counts().entries.is_empty());
}

#[tokio::test(start_paused = true)]
async fn page_escapes_markup_in_names() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let node = Node::start(&table, clock, "a", 1);
    node.record(FAILED, 1);
    let mut report = report(&reporter(&table, clock), &[node.answer()]).await;
    report.deployment = "<script>alert(1)</script>".to_owned();

    let page = render_page(&report);

    assert!(!page.contains("<script"), "{page}");
    assert!(page.contains("&lt;script&gt;"));
}

#[tokio::test(start_paused = true)]
async fn report_survives_a_json_round_trip() {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let node = Node::start(&table, clock, "a", 1);
    node.record(FAILED, 3);
    sleep(2 * MINUTE).await;
    let report = report(&reporter(&table, clock), &[node.answer()]).await;

    let json = serde_json::to_string(&report).unwrap();
    let read: BurnReport = serde_json::from_str(&json).unwrap();

    // The last digit of a rate may differ after a round trip through decimal.
    assert_eq!(read.to_string(), report.to_string());
    assert_eq!(availability(&read, Window::OneHour), counts(0, 3));
    assert_eq!(read.stored, report.stored);
}

#[rstest]
#[case::all_good(&[0.0, 0.0, 0.0, 0.0], BurnAlert::None)]
#[case::fast(&[20.0, 15.0, 3.0, 0.4], BurnAlert::Page)]
#[case::fast_but_ended(&[0.0, 15.0, 3.0, 0.4], BurnAlert::None)]
#[case::for_hours(&[2.0, 7.0, 6.5, 0.9], BurnAlert::Page)]
#[case::slow(&[1.0, 1.0, 1.2, 1.1], BurnAlert::Ticket)]
#[case::short_peak(&[50.0, 3.0, 0.5, 0.1], BurnAlert::None)]
fn alert_requires_both_windows(#[case] rates: &[f64; 4], #[case] expected: BurnAlert) {
    let rate = |window| {
        let index = Window::ALL.iter().position(|entry| *entry == window)?;
        rates.get(index).copied()
    };

    let raised = alert::most_urgent_alert(rate);

    assert_eq!(raised, expected);
}

/// A step of a random run: a wait, then requests at one of the nodes, then optionally its
/// replacement.
#[derive(Debug, Clone)]
struct Step {
    wait_seconds: u64,
    node: usize,
    good: usize,
    failed: usize,
    is_replaced: bool,
    lost_answers: u32,
}

fn step() -> impl Strategy<Value = Step> {
    let wait = 0..7_200_u64;
    (
        wait,
        0..3_usize,
        0..5_usize,
        0..5_usize,
        any::<bool>(),
        0..3_u32,
    )
        .prop_map(
            |(wait_seconds, node, good, failed, is_replaced, lost_answers)| Step {
                wait_seconds,
                node,
                good,
                failed,
                is_replaced,
                lost_answers,
            },
        )
}

async fn run(steps: Vec<Step>) -> (Option<Counts>, Option<Counts>) {
    let table = Arc::new(MemoryTable::default());
    let clock = WallClock::starting_at(START);
    let mut incarnation = 1;
    let start = |id: usize, incarnation| Node::start(&table, clock, &format!("n{id}"), incarnation);
    let mut nodes: Vec<_> = (0..3).map(|id| start(id, 1)).collect();
    let mut expected = Counts::default();
    for step in steps {
        sleep(Duration::from_secs(step.wait_seconds)).await;
        table.set_faults(TableFaults {
            lost_answers: step.lost_answers,
            ..TableFaults::default()
        });
        nodes[step.node].record(GOOD, step.good);
        nodes[step.node].record(FAILED, step.failed);
        expected.good += step.good as u64;
        expected.total += (step.good + step.failed) as u64;
        if step.is_replaced {
            incarnation += 1;
            let old = std::mem::replace(&mut nodes[step.node], start(step.node, incarnation));
            old.flush.close().await;
        }
    }
    sleep(5 * MINUTE).await;
    let answers: Vec<_> = nodes.iter().map(Node::answer).collect();
    let report = report(&reporter(&table, clock), &answers).await;
    (availability(&report, Window::FourWeeks), Some(expected))
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The counts over nodes that are replaced at random equal those of a single counter.
    #[test]
    fn counts_equal_those_of_a_single_counter(steps in prop::collection::vec(step(), 1..30)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();

        let (counted, expected) = runtime.block_on(run(steps));

        prop_assert_eq!(counted, expected);
    }
}
