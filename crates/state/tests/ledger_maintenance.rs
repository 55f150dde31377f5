//! Background recording, removal of expired rows, and resolution of unknown outcomes.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{
    Clock, all_gone, answer,
    faulty_table::{FaultyTable, WriteFault},
    ledger, ledger_key, none_gone, request,
};
use rstest::rstest;
use tokio::{
    sync::mpsc,
    time::{Instant, advance, sleep},
};
use verbenahead_core::{AttemptId, timer::Tick};
use verbenahead_services::{MemoryTable, memory::TableFaults};
use verbenahead_state::{
    UnixMillis,
    ledger::{
        AbandonedAttempt, Attempt, BeginOutcome, DispatchOutcome, Dispatched, Ledger,
        LedgerOptions, RecordState, Recorder, RecorderOptions, RecorderSummary, ReleaseOutcome,
        ResolveOutcome, SettleOutcome, SweepReport, Sweeper, SweeperOptions,
    },
};

/// Delay of each operation on a slow table.
const DELAY: Duration = Duration::from_millis(20);

/// Retention of the rows that [`request`] asks for.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Deadline of an operation while the table is down.
const OUTAGE_DEADLINE: Duration = Duration::from_millis(30);

fn ledger_with_outage_deadline(table: Arc<MemoryTable>) -> Ledger {
    let options = LedgerOptions {
        outage_deadline: OUTAGE_DEADLINE,
        ..*ledger(table.clone()).options()
    };
    Ledger::new(table, options)
}

fn tick() -> Tick {
    Tick {
        now: Instant::now(),
        late_by: Duration::ZERO,
    }
}

fn down() -> TableFaults {
    TableFaults {
        is_down: true,
        ..TableFaults::default()
    }
}

async fn dispatch(ledger: &Ledger, key: &str, now: UnixMillis) -> Attempt<Dispatched> {
    let BeginOutcome::Claimed(attempt) = ledger.begin(request(key, 1, now), none_gone).await else {
        panic!("not claimed");
    };
    match attempt.dispatch().await {
        DispatchOutcome::Dispatched(attempt) => attempt,
        other => panic!("not dispatched: {other:?}"),
    }
}

async fn abandon(table: &FaultyTable, ledger: &Ledger, now: UnixMillis) -> AbandonedAttempt {
    let BeginOutcome::Claimed(attempt) = ledger.begin(request("k", 1, now), none_gone).await else {
        panic!("not claimed");
    };
    table.push_faults([WriteFault::Lost; 100]);
    let DispatchOutcome::Unavailable(abandoned) = attempt.dispatch().await else {
        panic!("the dispatch is known");
    };
    table.clear_faults();
    abandoned
}

async fn state_of(ledger: &Ledger, key: &str) -> Option<RecordState> {
    let record = ledger.look_up(&ledger_key(key)).await.expect("read");
    record.map(|record| record.state)
}

#[tokio::test(start_paused = true)]
async fn the_recorder_records_after_an_outage_and_ends_when_it_is_dropped() {
    let table = Arc::new(MemoryTable::default());
    let ledger = ledger(table.clone());
    let attempt = dispatch(&ledger, "k", Clock::start().now()).await;
    let (recorder, task) = Recorder::spawn(RecorderOptions::default());
    table.set_faults(down());
    let SettleOutcome::Unrecorded(unrecorded) = attempt.settle(answer("filed")).await else {
        panic!("recorded while the table is down");
    };

    recorder.submit(unrecorded).expect("room");
    sleep(Duration::from_secs(60)).await;
    table.set_faults(TableFaults::default());
    drop(recorder);
    let summary = task.await.expect("task");

    let expected = RecorderSummary {
        recorded: 1,
        given_up: 0,
    };
    assert_eq!(summary, expected);
    assert_eq!(
        state_of(&ledger, "k").await,
        Some(RecordState::Answered(answer("filed")))
    );
}

#[tokio::test(start_paused = true)]
async fn the_recorder_gives_up_when_it_is_dropped_in_an_outage() {
    let table = Arc::new(MemoryTable::default());
    let ledger = ledger(table.clone());
    let attempt = dispatch(&ledger, "k", Clock::start().now()).await;
    let (recorder, task) = Recorder::spawn(RecorderOptions::default());
    table.set_faults(down());
    let SettleOutcome::Unrecorded(unrecorded) = attempt.settle(answer("filed")).await else {
        panic!("recorded while the table is down");
    };

    recorder.submit(unrecorded).expect("room");
    drop(recorder);
    let summary = task.await.expect("task");

    assert_eq!(summary.given_up, 1);
}

#[tokio::test(start_paused = true)]
async fn callers_are_answered_at_once_in_an_outage_and_served_after_it() {
    let table = Arc::new(MemoryTable::default());
    let ledger = ledger_with_outage_deadline(table.clone());
    let clock = Clock::start();
    let begin = |attempt| ledger.begin(request("k", attempt, clock.now()), none_gone);
    table.set_faults(down());
    let _ = begin(1).await;

    let asked = Instant::now();
    let in_outage = begin(2).await;
    let waited = asked.elapsed();
    sleep(Duration::from_secs(60)).await;
    table.set_faults(TableFaults {
        delay: OUTAGE_DEADLINE * 2,
        ..TableFaults::default()
    });
    sleep(Duration::from_secs(1)).await;
    let after = begin(3).await;

    assert!(matches!(in_outage, BeginOutcome::Unavailable(_)));
    assert!(waited <= OUTAGE_DEADLINE, "{waited:?}");
    assert!(matches!(after, BeginOutcome::Claimed(_)), "{after:?}");
    assert!(!ledger.is_table_down());
}

#[tokio::test(start_paused = true)]
async fn a_sweeper_sweeps_only_at_ticks_at_which_it_should() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let withdrawn = dispatch(&ledger, "k", UnixMillis(1)).await.withdraw().await;
    let sweeper = Sweeper::new(ledger.clone(), SweeperOptions::default());
    let (tx, rx) = mpsc::channel(1);
    let should_sweep = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&should_sweep);
    let task = tokio::spawn(sweeper.run(rx, move || flag.load(Ordering::Relaxed)));

    tx.send(tick()).await.expect("open");
    sleep(DELAY).await;
    let skipped = state_of(&ledger, "k").await;
    should_sweep.store(true, Ordering::Relaxed);
    tx.send(tick()).await.expect("open");
    drop(tx);
    task.await.expect("task");

    assert!(matches!(withdrawn, ReleaseOutcome::NotRun(_)));
    assert_eq!(skipped, Some(RecordState::Released));
    assert_eq!(state_of(&ledger, "k").await, None);
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_attempt_does_not_release_the_row_of_its_successor() {
    let table = FaultyTable::new([]);
    let ledger = ledger(table.clone());
    let now = Clock::start().now();
    let abandoned = abandon(&table, &ledger, now).await;
    table.inner.set_faults(TableFaults {
        delay: DELAY,
        ..TableFaults::default()
    });
    let successor = ledger.clone();
    let take_over = async move {
        let begun = successor.begin(request("k", 2, now), all_gone).await;
        let BeginOutcome::Claimed(attempt) = begun else {
            panic!("not claimed: {begun:?}");
        };
        attempt
    };

    // The successor's second write takes effect between the read and the write of the release.
    let taken = tokio::spawn(take_over);
    sleep(DELAY / 2).await;
    let released = abandoned.record().await;
    let taken = taken.await.expect("successor");
    let dispatched = taken.dispatch().await;

    assert!(released.is_err());
    assert!(matches!(dispatched, DispatchOutcome::Dispatched(_)));
}

// Guards against a repeated call that is told to wait for an attempt that was given up in an outage.
#[tokio::test(start_paused = true)]
async fn the_row_of_an_abandoned_attempt_can_be_claimed_at_once() {
    let table = FaultyTable::new([]);
    let ledger = ledger(table.clone());
    let now = Clock::start().now();
    let abandoned = abandon(&table, &ledger, now).await;

    let recorded = abandoned.record().await;
    let repeated = ledger.begin(request("k", 2, now), none_gone).await;

    assert!(recorded.is_ok());
    assert!(matches!(repeated, BeginOutcome::Claimed(_)), "{repeated:?}");
}

#[tokio::test(start_paused = true)]
async fn an_expired_answer_is_removed_with_its_entry() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let attempt = dispatch(&ledger, "k", clock.now()).await;
    let _ = attempt.settle(answer("filed")).await;
    let mut sweeper = Sweeper::new(ledger.clone(), SweeperOptions::default());

    let early = sweeper.sweep(clock.now()).await.expect("sweep");
    advance(RETENTION).await;
    let due = sweeper.sweep(clock.now()).await.expect("sweep");
    let again = sweeper.sweep(clock.now()).await.expect("sweep");

    let removed = SweepReport {
        examined: 1,
        removed: 1,
        kept: 0,
    };
    assert_eq!(early, SweepReport::default());
    assert_eq!(due, removed);
    assert_eq!(again, SweepReport::default());
    assert_eq!(state_of(&ledger, "k").await, None);
}

#[rstest]
#[case::within_the_grace(RETENTION, true)]
#[case::after_the_grace(RETENTION + Duration::from_secs(3_600), false)]
#[tokio::test(start_paused = true)]
async fn a_row_in_use_is_kept(#[case] age: Duration, #[case] is_kept: bool) {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let _attempt = dispatch(&ledger, "k", clock.now()).await;
    let mut sweeper = Sweeper::new(ledger.clone(), SweeperOptions::default());
    advance(age).await;

    let report = sweeper.sweep(clock.now()).await.expect("sweep");

    assert_eq!(report.kept == 1, is_kept);
    assert_eq!(state_of(&ledger, "k").await.is_some(), is_kept);
}

#[tokio::test(start_paused = true)]
async fn a_row_that_changes_while_it_is_swept_is_kept() {
    let table = Arc::new(MemoryTable::default());
    let ledger = ledger(table.clone());
    let clock = Clock::start();
    let BeginOutcome::Claimed(attempt) =
        ledger.begin(request("k", 1, clock.now()), none_gone).await
    else {
        panic!("not claimed");
    };
    let options = SweeperOptions {
        in_use_grace: Duration::ZERO,
        ..SweeperOptions::default()
    };
    let mut sweeper = Sweeper::new(ledger.clone(), options);
    advance(RETENTION).await;
    table.set_faults(TableFaults {
        delay: DELAY,
        ..TableFaults::default()
    });

    // The sweeper lists, reads, and removes the row at 20, 40 and 60 ms.
    let now = clock.now();
    let sweep = tokio::spawn(async move { sweeper.sweep(now).await });
    sleep(DELAY * 3 / 2).await;
    let dispatched = attempt.dispatch().await;
    let report = sweep.await.expect("task").expect("sweep");

    assert!(matches!(dispatched, DispatchOutcome::Dispatched(_)));
    assert_eq!(report.kept, 1);
    assert_eq!(state_of(&ledger, "k").await, Some(RecordState::Dispatched));
}

#[tokio::test(start_paused = true)]
async fn a_sweep_is_bounded_and_the_next_continues_after_rows_in_use() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    for key in ["a", "b", "c"] {
        let attempt = dispatch(&ledger, key, clock.now()).await;
        if key == "c" {
            let _ = attempt.settle(answer("filed")).await;
        }
    }
    let options = SweeperOptions {
        max_rows: 2,
        ..SweeperOptions::default()
    };
    let mut sweeper = Sweeper::new(ledger.clone(), options);
    advance(RETENTION).await;

    let first = sweeper.sweep(clock.now()).await.expect("sweep");
    let second = sweeper.sweep(clock.now()).await.expect("sweep");

    assert_eq!((first.examined, first.kept), (2, 2));
    assert_eq!((second.examined, second.removed), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_row_claimed_again_is_kept_after_its_first_expiry_time() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let withdrawn = dispatch(&ledger, "k", clock.now()).await.withdraw().await;
    drop(withdrawn);
    advance(Duration::from_secs(10)).await;
    let attempt = dispatch(&ledger, "k", clock.now()).await;
    let _ = attempt.settle(answer("filed")).await;
    let mut sweeper = Sweeper::new(ledger.clone(), SweeperOptions::default());
    advance(RETENTION - Duration::from_secs(10)).await;

    let report = sweeper.sweep(clock.now()).await.expect("sweep");

    assert_eq!((report.examined, report.removed, report.kept), (1, 0, 0));
    assert!(state_of(&ledger, "k").await.is_some());
}

#[rstest]
#[case::by_the_upstream(1, ResolveOutcome::Recorded)]
#[case::of_another_attempt(2, ResolveOutcome::Changed)]
#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_resolved(#[case] attempt: u128, #[case] expected: ResolveOutcome) {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let _attempt = dispatch(&ledger, "k", Clock::start().now()).await;

    let outcome = ledger
        .resolve(&ledger_key("k"), AttemptId(attempt), answer("filed"))
        .await
        .expect("read");

    assert_eq!(outcome, expected);
}

#[tokio::test(start_paused = true)]
async fn a_large_body_is_left_out_of_the_row() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let attempt = dispatch(&ledger, "k", Clock::start().now()).await;
    let body = "x".repeat(ledger.options().max_body + 1);

    let _ = attempt.settle(answer(&body)).await;

    let Some(RecordState::Answered(kept)) = state_of(&ledger, "k").await else {
        panic!("not answered");
    };
    let size = body.len() as u64;
    assert_eq!(
        kept.body,
        verbenahead_state::ledger::RecordedBody::TooLarge { size }
    );
}
