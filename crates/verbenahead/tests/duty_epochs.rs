//! What a holder of the duties knows ends with its lease, also when a step of the duties lasts longer than it.

mod duty_support;

use std::time::Duration;

use duty_support::{
    CallContent, Deployment, DutyNode, LinkState, OTHER, RecordedCall, TERM, WINDOW,
    is_lease_released, report_of, until, workspace,
};
use rstest::rstest;
use tokio::time::sleep;

/// Requests that only the second holder hears of.
const HEARD_BY_SECOND: u64 = 7;

/// Brings about a step of node `a` that begins under its first lease and ends after it has taken a later one.
/// Between the two node `b` holds the lease, acts, and releases it. Returns the node, and the window of the
/// requests that only `b` has heard of.
async fn step_across_two_leases(deployment: &mut Deployment) -> (DutyNode, u64) {
    let platform = deployment.platform.clone();
    let a = deployment.start("a");
    until("orders and reports of a", || is_active(&platform.calls())).await;
    a.link.send_replace(LinkState::Cut);
    // The step that reports the next window waits for the usage log.
    sleep(WINDOW * 2).await;
    let b = deployment.start("b");
    let window = deployment.current_window() + 12;
    let report = report_of("c", window, HEARD_BY_SECOND);
    b.roster.lock().apply_report(report, OTHER);
    until("orders and reports of b", || {
        is_active(&platform.calls_of("b"))
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    b.stop().await;
    a.link.send_replace(LinkState::UsageHeld);
    sleep(TERM).await;
    a.link.send_replace(LinkState::Up);
    (a, window)
}

fn is_active(calls: &[RecordedCall]) -> bool {
    let has = |is_kind: fn(&CallContent) -> bool| calls.iter().any(|call| is_kind(&call.content));
    has(|content| matches!(content, CallContent::Usage(_)))
        && has(|content| matches!(content, CallContent::Order(_)))
}

// Guards against calls with the fencing number of an earlier lease under the permit of a later one: the holder was
// cut off while it read the usage log, and another node had acted meanwhile.
#[tokio::test(start_paused = true)]
async fn a_step_that_outlasts_its_lease_sends_no_outdated_fencing_number() {
    let mut deployment = Deployment::default();

    let (_a, _) = step_across_two_leases(&mut deployment).await;
    sleep(Duration::from_secs(5)).await;

    let calls = deployment.platform.calls();
    let fencing: Vec<_> = calls.iter().map(|call| call.holder.fencing).collect();
    assert!(fencing.is_sorted(), "{calls:?}");
    let last = &calls.last().expect("calls").holder;
    assert_eq!(last.node.as_str(), "a");
    assert!(last.fencing > deployment.platform.calls_of("a")[0].holder.fencing);
}

// Guards against orders that are left out or taken back, since the holder takes the orders of its earlier lease for
// the last ones.
#[tokio::test(start_paused = true)]
async fn orders_of_an_earlier_lease_are_forgotten() {
    let mut deployment = Deployment::default();

    let (_a, _) = step_across_two_leases(&mut deployment).await;
    sleep(Duration::from_secs(5)).await;

    let calls = deployment.platform.calls_of("a");
    let orders = calls
        .iter()
        .filter(|call| matches!(call.content, CallContent::Order(_)));
    let mut leases: Vec<_> = orders.map(|call| call.holder.fencing).collect();
    leases.dedup();
    assert_eq!(leases.len(), 2, "{calls:?}");
}

// Guards against counts that another holder saved meanwhile and that are overwritten unread, so that the window is
// reported with too few requests.
#[tokio::test(start_paused = true)]
async fn counts_that_another_holder_saved_are_reported() {
    let mut deployment = Deployment::default();

    let (_a, window) = step_across_two_leases(&mut deployment).await;
    sleep(WINDOW * 60).await;

    let calls = deployment.platform.calls();
    let reports = calls.iter().filter_map(|call| match &call.content {
        CallContent::Usage(report) if report.window == window => Some(report),
        _ => None,
    });
    let counts: Vec<_> = reports
        .map(|report| report.counts.get(&workspace()))
        .collect();
    assert_eq!(counts, [Some(&HEARD_BY_SECOND)]);
}

/// How a node gives up the duties.
#[derive(Debug, Clone, Copy)]
enum End {
    Leaving,
    Closed,
}

// Guards against a node that leaves and holds the lease until its step has ended, which waits for a store that does
// not answer: the next holder could not act for the rest of the grace.
#[rstest]
#[case::leaving(End::Leaving)]
#[case::closed(End::Closed)]
#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_during_a_step_gives_the_lease_back(#[case] end: End) {
    let mut deployment = Deployment::default();
    let platform = deployment.platform.clone();
    let a = deployment.start("a");
    until("orders and reports of a", || is_active(&platform.calls())).await;
    a.link.send_replace(LinkState::UsageHeld);
    sleep(WINDOW * 3).await;
    let reported = platform.calls().len();

    let stopping = match end {
        End::Leaving => {
            a.status.set_leaving();
            None
        }
        End::Closed => Some(tokio::spawn(a.stop())),
    };
    sleep(TERM).await;

    let calls = platform.calls();
    assert!(is_lease_released(&deployment.table).await);
    assert_eq!(calls.len(), reported, "{calls:?}");
    assert!(stopping.is_none_or(|stopping| stopping.is_finished()));
}
