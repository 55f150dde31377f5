//! Start of a process after the store came back from a copy, which may lack what the operator and the replicas wrote.

mod duty_support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use duty_support::{OTHER, report_of, routes};
use rstest::rstest;
use tokio::{
    sync::watch,
    time::{Instant, advance, sleep},
};
use verbenahead::relay_node::{
    restore_settling::RestoreSettling,
    route_gate::RouteGate,
    stream_directory::StreamDirectory,
    stream_keeper::{self, StreamKeeperParts},
};
use verbenahead_core::{Generation, NodeId};
use verbenahead_manifest::RouteTable;
use verbenahead_membership::{OriginMessage, Roster, RosterOptions, SharedRoster};
use verbenahead_relay::{OriginTransport, StreamOrigins, StreamOriginsOptions, UpstreamRegistry};
use verbenahead_services::{EraView, MemoryTable, SeenEra, StoreEra};
use verbenahead_state::{ReportHistory, RetryOptions, UsageLog};

/// Longest time for which routes are held back.
const LIMIT: Duration = Duration::from_secs(3);

/// Time that rows take to be written again.
const SETTLING: Duration = Duration::from_secs(2);

/// Time after which the gate has acted on what it was told.
const MOMENT: Duration = Duration::from_millis(100);

/// `StartedProcess` is a process whose first answer of the store was just read.
struct StartedProcess {
    stored: watch::Sender<Option<Arc<RouteTable>>>,
    in_force: watch::Receiver<Option<Arc<RouteTable>>>,
    roster: SharedRoster,
    log: UsageLog,
    settling: RestoreSettling,
}

impl StartedProcess {
    fn new(era: u64) -> Self {
        let seen = SeenEra {
            era: StoreEra(era),
            since: Instant::now(),
        };
        let eras = EraView::new(watch::channel(Some(seen)).1);
        let log = UsageLog::new(
            Arc::new(MemoryTable::default()),
            RetryOptions::default(),
            eras,
        );
        let own = NodeId::try_new("own").expect("valid id");
        let roster = SharedRoster::new(Roster::new(own, RosterOptions::default()));
        let (stored, stored_rx) = watch::channel(None);
        let (in_force_tx, in_force) = watch::channel(None);
        let settling = RestoreSettling::new(log.clone());
        let gate = RouteGate {
            stored: stored_rx,
            in_force: in_force_tx,
            roster: roster.clone(),
            settling: settling.clone(),
            limit: LIMIT,
        };
        tokio::spawn(gate.run());
        Self {
            stored,
            in_force,
            roster,
            log,
            settling,
        }
    }

    fn store(&self, generation: u64) {
        let routes = routes(Generation(generation));
        self.stored.send_replace(Some(Arc::new(routes)));
    }

    /// Lets a live node report the generation that it has in force.
    fn hear(&self, generation: u64) {
        let mut report = report_of("other", 1_000, 0);
        report.generation = Generation(generation);
        self.roster.lock().apply_report(report, OTHER);
    }

    fn in_force(&self) -> Option<Generation> {
        let routes = self.in_force.borrow();
        routes.as_ref().map(|routes| routes.generation())
    }
}

#[rstest]
#[case::first_era(0, None)]
#[case::another_node_knows_none_later(1, Some(4))]
#[case::another_node_is_behind(1, Some(3))]
#[tokio::test(start_paused = true)]
async fn routes_are_in_force_at_once_when_no_later_ones_can_be_lost(
    #[case] era: u64,
    #[case] heard: Option<u64>,
) {
    let process = StartedProcess::new(era);
    heard
        .into_iter()
        .for_each(|generation| process.hear(generation));

    process.store(4);
    sleep(MOMENT).await;

    assert_eq!(process.in_force(), Some(Generation(4)));
}

// Guards against requests that are handled as an older configuration allows, since the process starts before the
// operator has written the later one again.
#[tokio::test(start_paused = true)]
async fn routes_of_a_copy_wait_for_those_that_another_node_knows() {
    let process = StartedProcess::new(1);
    process.hear(5);

    process.store(4);
    sleep(SETTLING + MOMENT).await;
    let before = process.in_force();
    process.store(5);
    sleep(MOMENT).await;
    let after = process.in_force();
    process.store(6);
    sleep(MOMENT).await;

    assert_eq!((before, after), (None, Some(Generation(5))));
    assert_eq!(process.in_force(), Some(Generation(6)));
}

// Guards against a process that never serves, since the operator does not write the later routes again.
#[tokio::test(start_paused = true)]
async fn routes_are_held_back_for_a_limited_time() {
    let process = StartedProcess::new(1);
    process.hear(5);
    process.store(4);

    sleep(LIMIT - MOMENT).await;
    let before = process.in_force();
    sleep(MOMENT * 2).await;

    assert_eq!((before, process.in_force()), (None, Some(Generation(4))));
}

/// What tells a process how old the last restore is.
#[derive(Debug, Clone, Copy)]
enum Told {
    Nothing,
    /// A holder of the lease has opened the history of the era.
    History,
    /// The history in the copy is of an earlier era.
    OlderHistory,
}

// Guards against rows of a copy that are trusted before those that it lacks are written again, also those from which
// the versions of streams are known, and against a wait at each start for ever after a restore.
#[rstest]
#[case::nothing(Told::Nothing, false)]
#[case::history(Told::History, true)]
#[case::older_history(Told::OlderHistory, false)]
#[tokio::test(start_paused = true)]
async fn a_process_with_no_other_node_waits_until_rows_are_written_again(
    #[case] told: Told,
    #[case] is_settled: bool,
) {
    let process = StartedProcess::new(2);
    let era = match told {
        Told::Nothing => None,
        Told::History => Some(2),
        Told::OlderHistory => Some(1),
    };
    if let Some(era) = era.map(StoreEra) {
        let complete_from = 7;
        let history = ReportHistory { era, complete_from };
        process.log.open_history(history).await.expect("written");
    }
    process.store(4);
    let settling = process.settling.clone();
    let settled = tokio::spawn(async move { settling.wait().await });

    sleep(SETTLING - MOMENT).await;
    let before = (process.in_force().is_some(), settled.is_finished());
    advance(MOMENT * 2).await;
    sleep(MOMENT).await;

    assert_eq!(before, (is_settled, is_settled));
    assert!(process.in_force().is_some() && settled.is_finished());
}

/// `NoTransport` sends nothing.
struct NoTransport;

impl OriginTransport for NoTransport {
    fn send(&self, _to: &[SocketAddr], _message: &OriginMessage) {}
}

// Guards against a stream that is taken up at another version than it began at, since the copy lacks that version and
// its replicas have yet to register again.
#[rstest]
#[case::first_era(0, true)]
#[case::after_a_restore(1, false)]
#[tokio::test(start_paused = true)]
async fn versions_of_a_copy_are_not_taken_for_all_at_once(
    #[case] era: u64,
    #[case] is_read_at_once: bool,
) {
    let process = StartedProcess::new(era);
    let node = NodeId::try_new("own").expect("valid id");
    let registry = Arc::new(UpstreamRegistry::default());
    let origins = StreamOrigins::new(
        StreamOriginsOptions::default(),
        node.clone(),
        process.roster.clone(),
        Arc::new(NoTransport),
    );
    let parts = StreamKeeperParts {
        node,
        directory: StreamDirectory::new(Arc::new(MemoryTable::default())),
        roster: process.roster.clone(),
        registry: Arc::clone(&registry),
        origins: Arc::new(origins),
        routes: process.in_force.clone(),
        restores: watch::channel(0).1,
        settling: process.settling.clone(),
    };

    tokio::spawn(stream_keeper::run(parts));
    sleep(MOMENT).await;
    let at_once = registry.is_history_read();
    sleep(SETTLING).await;

    assert_eq!(at_once, is_read_at_once);
    assert!(registry.is_history_read());
}
