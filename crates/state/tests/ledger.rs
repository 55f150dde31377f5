//! Steps of an attempt in the ledger, with table faults at each step.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Clock, all_gone, answer,
    faulty_table::{FaultyTable, WriteFault},
    ledger, ledger_key, none_gone, request,
};
use rstest::rstest;
use tokio::time::{Instant, advance};
use verbenahead_core::{Digest, RunOutcome};
use verbenahead_services::{MemoryTable, WriteOutcome, memory::TableFaults};
use verbenahead_state::ledger::{
    Attempt, AttemptOutcome, BeginOutcome, Claimed, DispatchOutcome, Dispatched, Evidence, Ledger,
    RecordState, ReleaseOutcome, RowStatus, RunReport, SettleOutcome,
};

fn claimed(outcome: BeginOutcome) -> Attempt<Claimed> {
    match outcome {
        BeginOutcome::Claimed(attempt) => attempt,
        other => panic!("not claimed: {other:?}"),
    }
}

fn dispatched(outcome: DispatchOutcome) -> Attempt<Dispatched> {
    match outcome {
        DispatchOutcome::Dispatched(attempt) => attempt,
        other => panic!("not dispatched: {other:?}"),
    }
}

fn occupied(outcome: BeginOutcome) -> RowStatus {
    match outcome {
        BeginOutcome::Occupied(status) => status,
        other => panic!("not occupied: {other:?}"),
    }
}

async fn claim(ledger: &Ledger, key: &str, attempt: usize, clock: Clock) -> Attempt<Claimed> {
    let outcome = ledger.begin(request(key, attempt, clock.now()), none_gone);
    claimed(outcome.await)
}

async fn state_of(ledger: &Ledger, key: &str) -> Option<RecordState> {
    let record = ledger.look_up(&ledger_key(key)).await.expect("read");
    record.map(|record| record.state)
}

#[tokio::test(start_paused = true)]
async fn an_answered_call_is_replayed_from_its_row() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let attempt = dispatched(claim(&ledger, "k", 1, clock).await.dispatch().await);

    let settled = attempt.settle(answer("filed")).await;
    let again = ledger.begin(request("k", 2, clock.now()), none_gone).await;

    assert!(matches!(settled, SettleOutcome::Recorded));
    assert_eq!(occupied(again), RowStatus::Answered(answer("filed")));
}

#[tokio::test(start_paused = true)]
async fn a_key_in_progress_is_not_claimed_twice() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let _first = claim(&ledger, "k", 1, clock).await;

    let second = ledger.begin(request("k", 2, clock.now()), none_gone).await;

    assert!(matches!(occupied(second), RowStatus::InProgress { .. }));
}

#[tokio::test(start_paused = true)]
async fn a_key_reused_for_another_call_is_reported() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let _first = claim(&ledger, "k", 1, clock).await;
    let mut other = request("k", 2, clock.now());
    other.fingerprint = Digest::of("POST /payments");

    let status = occupied(ledger.begin(other, all_gone).await);

    assert_eq!(status, RowStatus::KeyReused { has_run: false });
}

#[rstest]
#[case::node_gone(Duration::ZERO, true)]
#[case::claim_too_old(Duration::from_secs(30), false)]
#[tokio::test(start_paused = true)]
async fn a_claim_that_was_taken_over_is_fenced(#[case] age: Duration, #[case] is_gone: bool) {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let first = claim(&ledger, "k", 1, clock).await;
    advance(age).await;

    let taken = ledger
        .begin(request("k", 2, clock.now()), |_| is_gone)
        .await;
    let resumed = first.dispatch().await;

    let _second = claimed(taken);
    assert!(matches!(
        resumed,
        DispatchOutcome::Fenced(RowStatus::InProgress { .. })
    ));
}

#[tokio::test(start_paused = true)]
async fn a_dispatched_row_is_never_taken_over() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let _first = dispatched(claim(&ledger, "k", 1, clock).await.dispatch().await);
    advance(Duration::from_secs(3_000)).await;

    let second = ledger.begin(request("k", 2, clock.now()), all_gone).await;

    assert!(matches!(occupied(second), RowStatus::OutcomeUnknown { .. }));
}

#[rstest]
#[case::answer_lost(WriteFault::AnswerLost)]
#[case::write_lost(WriteFault::Lost)]
#[case::write_late(WriteFault::Late)]
#[case::not_sent(WriteFault::NotSent)]
#[tokio::test(start_paused = true)]
async fn each_step_survives_one_unknown_write(#[case] fault: WriteFault) {
    let table = FaultyTable::new([fault]);
    let ledger = ledger(table.clone());
    let clock = Clock::start();

    let attempt = claim(&ledger, "k", 1, clock).await;
    table.push_faults([fault]);
    let attempt = dispatched(attempt.dispatch().await);
    table.push_faults([fault]);
    let settled = attempt.settle(answer("filed")).await;
    let late = table.deliver_late().await;

    assert!(matches!(settled, SettleOutcome::Recorded));
    assert!(
        late.iter()
            .all(|late| matches!(late, WriteOutcome::Refused(_)))
    );
    assert_eq!(
        state_of(&ledger, "k").await,
        Some(RecordState::Answered(answer("filed")))
    );
}

#[tokio::test(start_paused = true)]
async fn a_late_dispatch_write_has_no_effect_after_the_release_of_an_abandoned_attempt() {
    let table = FaultyTable::new([]);
    let ledger = ledger(table.clone());
    let clock = Clock::start();
    let attempt = claim(&ledger, "k", 1, clock).await;
    table.push_faults([WriteFault::Late; 100]);

    let DispatchOutcome::Unavailable(abandoned) = attempt.dispatch().await else {
        panic!("the dispatch is not known");
    };
    table.clear_faults();
    let recorded = abandoned.record().await;
    let late = table.deliver_late().await;

    assert!(recorded.is_ok());
    assert!(
        late.iter()
            .all(|late| matches!(late, WriteOutcome::Refused(_)))
    );
    assert_eq!(state_of(&ledger, "k").await, Some(RecordState::Released));
}

#[tokio::test(start_paused = true)]
async fn a_late_claim_write_has_no_effect_after_the_release_of_an_abandoned_attempt() {
    let table = FaultyTable::new([WriteFault::Late; 100]);
    let ledger = ledger(table.clone());
    let clock = Clock::start();

    let outcome = ledger.begin(request("k", 1, clock.now()), none_gone).await;
    let BeginOutcome::Unavailable(abandoned) = outcome else {
        panic!("the claim is not known");
    };
    table.clear_faults();
    let recorded = abandoned.record().await;
    let _ = table.deliver_late().await;

    assert!(recorded.is_ok());
    assert_eq!(state_of(&ledger, "k").await, Some(RecordState::Released));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_dispatched_while_the_table_is_down() {
    let table = Arc::new(MemoryTable::default());
    let ledger = ledger(table.clone());
    let clock = Clock::start();
    let attempt = claim(&ledger, "k", 1, clock).await;
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });

    let outcome = attempt.dispatch().await;

    assert!(matches!(outcome, DispatchOutcome::Unavailable(_)));
}

#[tokio::test(start_paused = true)]
async fn a_released_attempt_is_reported_not_run_only_while_its_proof_is_valid() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();

    let released = claim(&ledger, "k", 1, clock).await.release().await;
    let at_once = released.report(Instant::now());
    let second = ledger.begin(request("k", 2, clock.now()), all_gone).await;
    advance(Duration::from_secs(1)).await;
    let too_late = released.report(Instant::now());

    assert_eq!(at_once.outcome, RunOutcome::NotRun);
    assert!(matches!(occupied(second), RowStatus::InProgress { .. }));
    assert_eq!(too_late.outcome, RunOutcome::Unknown);
    assert_eq!(too_late.attempt, AttemptOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn a_request_received_before_not_run_was_answered_never_claims_the_row() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let mut early = request("k", 1, clock.now());
    let refused = ledger.refuse(request("k", 2, clock.now()), none_gone).await;
    assert_eq!(refused.report(Instant::now()).outcome, RunOutcome::NotRun);
    advance(Duration::from_secs(2)).await;
    let retried = claim(&ledger, "k", 3, clock).await;
    drop(retried);

    early.now = clock.now();
    let outcome = ledger.begin(early, all_gone).await;

    assert!(matches!(occupied(outcome), RowStatus::InProgress { .. }));
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_attempt_frees_the_key() {
    let ledger = ledger(Arc::new(MemoryTable::default()));
    let clock = Clock::start();
    let attempt = dispatched(claim(&ledger, "k", 1, clock).await.dispatch().await);

    let withdrawn = attempt.withdraw().await;
    advance(Duration::from_secs(2)).await;
    let again = ledger.begin(request("k", 2, clock.now()), none_gone).await;

    assert!(matches!(withdrawn, ReleaseOutcome::NotRun(_)));
    let _again = claimed(again);
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_recorded_after_an_outage() {
    let table = Arc::new(MemoryTable::default());
    let ledger = ledger(table.clone());
    let clock = Clock::start();
    let attempt = dispatched(claim(&ledger, "k", 1, clock).await.dispatch().await);
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });

    let SettleOutcome::Unrecorded(unrecorded) = attempt.settle(answer("filed")).await else {
        panic!("recorded while the table is down");
    };
    table.set_faults(TableFaults::default());
    let settled = unrecorded.record().await;

    assert!(matches!(settled, SettleOutcome::Recorded));
    assert_eq!(
        state_of(&ledger, "k").await,
        Some(RecordState::Answered(answer("filed")))
    );
}

#[rstest]
#[case(Evidence::RowNotRead, RunOutcome::Unknown, AttemptOutcome::NotRun)]
#[case(
    Evidence::SentWithoutAnswer,
    RunOutcome::Unknown,
    AttemptOutcome::Unknown
)]
#[case(Evidence::Answered, RunOutcome::Run, AttemptOutcome::Run)]
#[case(
    Evidence::Row(&RowStatus::InProgress { retry_after: Duration::ZERO }),
    RunOutcome::Unknown,
    AttemptOutcome::NotRun
)]
#[case(
    Evidence::Row(&RowStatus::KeyReused { has_run: true }),
    RunOutcome::Run,
    AttemptOutcome::NotRun
)]
#[tokio::test]
async fn reports_without_a_proof_never_say_not_run(
    #[case] evidence: Evidence<'_>,
    #[case] outcome: RunOutcome,
    #[case] attempt: AttemptOutcome,
) {
    let report = RunReport::decide(evidence, Instant::now());

    assert_eq!(report, RunReport { outcome, attempt });
}
