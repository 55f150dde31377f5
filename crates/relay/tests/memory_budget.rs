//! Tests of the memory limit for clients when many large bodies arrive at once.

use std::net::{IpAddr, Ipv4Addr};

use tokio::time::{Duration, timeout};
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_relay::{CloseReason, MemoryBudget};

const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn budget(limit: u64) -> MemoryBudget {
    MemoryBudget::new(ClientMemoryOptions {
        limit,
        ..ClientMemoryOptions::default()
    })
}

#[test]
fn all_bodies_together_stay_within_the_budget() {
    let budget = budget(100);
    let (one, two) = (budget.open(0, CLIENT, 0), budget.open(0, CLIENT, 0));
    let (mut first, mut second) = (one.reservation(), two.reservation());

    let grown = [first.try_grow(60), second.try_grow(50), second.try_grow(40)];

    assert_eq!(grown, [true, false, true]);
    assert_eq!(budget.used(), 100);
}

#[test]
fn a_dropped_body_releases_its_memory() {
    let budget = budget(100);
    let account = budget.open(0, CLIENT, 0);
    let mut first = account.reservation();
    assert!(first.try_grow(30));
    assert!(!first.try_grow(80));

    drop(first);

    assert_eq!(budget.used(), 0);
}

// Guards against a connection that is told to close before it waits for it, and then stays open.
#[tokio::test]
async fn a_closed_connection_learns_it_whenever_it_asks() {
    let budget = budget(100);
    let (stalled, caller) = (budget.open(0, CLIENT, 0), budget.open(0, CLIENT, 0));
    caller.set_known(None);
    let mut held = stalled.reservation();
    assert!(held.try_grow(90));
    let mut wanted = caller.reservation();
    // An unknown client has 0.5 s to become known.
    for _ in 0..2 {
        budget.observe(Duration::from_secs(60));
    }

    assert!(wanted.try_grow(50));

    let closed = timeout(Duration::from_secs(1), stalled.closed()).await;
    closed.expect("the connection is closed");
    let reports = budget.take_closed();
    assert_eq!(reports[&CloseReason::Memory].count, 1);
}
