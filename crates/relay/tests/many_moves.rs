//! Tests of many runs that leave a replica at once and share its link.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use rstest::rstest;
use support::{CallResponse, record, request, start};
use tokio::time::sleep;
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

/// Events of a complete stream, which lasts longer than its replica.
const EVENTS: u64 = 60;

/// Runs at the replica that leaves.
const RUNS: usize = 60;

/// Time from the notice to the end of the replica.
const NOTICE: Duration = Duration::from_secs(2);

// Guards against runs that are lost because each of them waits for the copies of all others, twice.
#[rstest]
#[case::half_of_the_margin(Duration::from_millis(10))]
#[case::most_of_the_margin(Duration::from_millis(20))]
#[tokio::test]
async fn no_run_is_lost_when_many_leave_at_once(#[case] copy_time: Duration) {
    let pause = Duration::from_millis(60);
    let fixture = start(1, ReplicaBehaviour::Stream(EVENTS, pause)).await;
    let source = &fixture.replicas[0];
    source.set_copy_time(copy_time);
    let ids: Vec<String> = (0..RUNS).map(|n| format!("r{n}")).collect();
    let opening = ids.iter().map(|id| {
        let mut req = request(Method::POST, "/draft/1", id);
        req.headers_mut().insert("deadline-ms", 8_000.into());
        fixture.open(req)
    });
    let opened = join_all(opening).await;
    let mut targets = Vec::new();
    for n in 1..=3 {
        let id = format!("i-{n}");
        let target = UsersReplica::start(&id, ReplicaBehaviour::Stream(EVENTS, pause)).await;
        let target = target.expect("a free port");
        let ready = record(&id, target.address(), ReplicaState::Ready);
        fixture.registry.apply(&ready);
        targets.push(target);
    }

    let state = ReplicaState::Leaving {
        remaining: Some(NOTICE),
    };
    fixture
        .registry
        .apply(&record("i-0", source.address(), state));
    let reading = opened
        .into_iter()
        .map(|opened| CallResponse::read(opened.expect("an answer")));
    let end = async {
        sleep(NOTICE).await;
        source.crash();
    };
    let (responses, ()) = tokio::join!(join_all(reading), end);

    let lost = responses.iter().filter(|response| !response.is_complete);
    assert_eq!(lost.count(), 0);
}
