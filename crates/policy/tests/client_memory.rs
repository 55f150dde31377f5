//! Tests of the memory budget for clients: who gets memory and whose connection is closed when it runs short.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use proptest::prelude::*;
use rstest::rstest;
use verbenahead_policy::{
    ClientMemory, ClientMemoryOptions, ConnectionId, ExpiryReason, Growth, Observed, Stage,
    Timestamp,
};

const LIMIT: u64 = 1_000_000;
const TICK: Duration = Duration::from_millis(250);

fn memory() -> ClientMemory {
    ClientMemory::new(ClientMemoryOptions {
        limit: LIMIT,
        ..ClientMemoryOptions::default()
    })
}

fn client(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n))
}

fn at(millis: u64) -> Timestamp {
    Timestamp(Duration::from_millis(millis))
}

/// Opens a connection whose body arrives since time 0, known as one of `workspace` unless that is `None`.
fn body(memory: &mut ClientMemory, workspace: Option<u64>, bytes: u64) -> ConnectionId {
    let id = memory.open(0, client(1), at(0));
    if workspace.is_some() {
        memory.set_known(id, workspace);
    }
    memory.set_stage(id, Stage::Body, at(0));
    memory.add(id, bytes);
    id
}

/// Observes a connection up to `until` ms with this progress in each interval.
fn observe(memory: &mut ClientMemory, id: ConnectionId, until: u64, moved: u64, is_blocked: bool) {
    for tick in 1..=until / 250 {
        let observed = Observed { moved, is_blocked };
        memory.observe(id, observed, TICK, at(250 * tick));
    }
}

// Guards against a few hundred bodies without an end that shut everybody else out.
#[test]
fn the_stalled_connection_that_holds_most_is_closed_first() {
    let mut memory = memory();
    let small = body(&mut memory, Some(1), 300_000);
    let large = body(&mut memory, Some(1), 350_000);
    let moving = body(&mut memory, Some(1), 340_000);
    observe(&mut memory, moving, 1_000, 100_000, false);
    let caller = body(&mut memory, Some(2), 0);

    assert_eq!(
        memory.grow(caller, 60_000, at(1_000)),
        Growth::Granted(vec![large])
    );
    assert_eq!(
        memory.grow(caller, 60_000, at(1_000)),
        Growth::Granted(vec![])
    );
    assert_ne!(small, moving);
}

// Guards against clients without a key that displace known ones, and for known ones that wait for them.
#[rstest]
#[case::known_displaces_unknown(Some(1), None, 100, true)]
#[case::small_displaces_large(Some(1), Some(1), 100, true)]
#[case::stalled_goes_for_known(Some(1), Some(1), 1_000, true)]
#[case::unknown_waits_for_known(None, Some(1), 1_000, false)]
#[case::stalled_unknown_goes_for_unknown(None, None, 1_000, true)]
fn a_connection_is_closed_only_for_one_that_comes_before_it(
    #[case] wants: Option<u64>,
    #[case] holds: Option<u64>,
    #[case] now: u64,
    #[case] is_closed: bool,
) {
    let mut memory = memory();
    let holder = body(&mut memory, holds, 990_000);
    let caller = body(&mut memory, wants, 0);

    let growth = memory.grow(caller, 30_000, at(now));

    let expected = match is_closed {
        true => Growth::Granted(vec![holder]),
        false => Growth::Refused,
    };
    assert_eq!(growth, expected);
}

// Guards against one workspace that fills the memory with moving bodies while another one wants some. A
// workspace alone may fill all that large bodies may have.
#[test]
fn a_workspace_above_its_share_gives_way_to_others() {
    let mut memory = memory();
    let first = body(&mut memory, Some(1), 400_000);
    let second = body(&mut memory, Some(1), 0);
    assert_eq!(
        memory.grow(second, 400_000, at(100)),
        Growth::Granted(vec![])
    );
    assert_eq!(memory.grow(second, 10_000, at(100)), Growth::Refused);
    let other = body(&mut memory, Some(2), 0);

    let growth = memory.grow(other, 300_000, at(100));

    assert!(matches!(growth, Growth::Granted(closed) if closed == [first] || closed == [second]));
}

// Guards against ordinary requests that are refused while large bodies arrive.
#[test]
fn large_bodies_leave_room_for_small_requests() {
    let mut memory = memory();
    let large = body(&mut memory, Some(1), 0);
    assert_eq!(memory.grow(large, 800_000, at(0)), Growth::Granted(vec![]));
    let (next, small) = (body(&mut memory, Some(1), 0), body(&mut memory, Some(1), 0));

    assert_eq!(memory.grow(next, 100_000, at(0)), Growth::Refused);
    assert_eq!(memory.grow(small, 20_000, at(0)), Growth::Granted(vec![]));
}

#[rstest]
#[case::slow_head(Stage::Head, 0, false, 3_500, Some(ExpiryReason::SlowHead))]
#[case::steady_head(Stage::Head, 100, false, 2_500, None)]
#[case::unread_answer(Stage::Serving, 0, true, 8_500, Some(ExpiryReason::SlowReader))]
#[case::trickled_answer(Stage::Serving, 400, true, 8_500, Some(ExpiryReason::SlowReader))]
#[case::slow_but_steady_answer(Stage::Serving, 4_000, true, 60_000, None)]
#[case::silent_replica(Stage::Serving, 0, false, 60_000, None)]
#[case::idle(Stage::Idle, 0, false, 12_000, None)]
fn a_connection_expires_by_its_progress(
    #[case] stage: Stage,
    #[case] moved: u64,
    #[case] is_blocked: bool,
    #[case] until: u64,
    #[case] reason: Option<ExpiryReason>,
) {
    let mut memory = memory();
    let id = memory.open(0, client(1), at(0));
    memory.set_stage(id, stage, at(0));
    observe(&mut memory, id, until, moved, is_blocked);

    let expired = memory.expired(Duration::from_secs(3), at(until));

    assert_eq!(expired, Vec::from_iter(reason.map(|reason| (id, reason))));
}

// Guards against a client that takes all places, and against the loss of connections that callers keep.
#[test]
fn the_oldest_unknown_connection_gives_its_place_to_a_new_one() {
    let mut memory = memory();
    let kept = memory.open(0, client(1), at(0));
    memory.set_known(kept, None);
    let elsewhere = memory.open(1, client(1), at(0));
    let oldest = memory.open(0, client(1), at(100));
    let newer = memory.open(0, client(2), at(200));
    let newest = memory.open(0, client(2), at(900));
    let stalled = body(&mut memory, Some(1), 10);

    let closed: Vec<_> = (0..4)
        .map(|_| memory.close_for_newcomer(0, at(1_000)))
        .collect();

    assert_eq!(closed, [Some(oldest), Some(newer), Some(stalled), None]);
    assert!(![kept, elsewhere, newest].contains(&oldest));
}

/// `Step` is what a client does in the property test.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open(u8, Option<u64>),
    Grow(usize, u64),
    Shrink(usize, u64),
    Progress(usize, u64),
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..4, prop::option::of(0_u64..3)).prop_map(|(client, key)| Step::Open(client, key)),
        (0_usize..32, 1_u64..300_000).prop_map(|(n, bytes)| Step::Grow(n, bytes)),
        (0_usize..32, 1_u64..300_000).prop_map(|(n, bytes)| Step::Shrink(n, bytes)),
        (0_usize..32, 0_u64..100_000).prop_map(|(n, bytes)| Step::Progress(n, bytes)),
        (0_usize..32).prop_map(Step::Remove),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    // Guards against memory that is granted beyond the limit, lost, or counted twice.
    #[test]
    fn what_is_granted_stays_within_the_limit_and_returns(steps in prop::collection::vec(step(), 1..200)) {
        let mut memory = memory();
        let mut open: Vec<ConnectionId> = Vec::new();
        for (n, step) in steps.into_iter().enumerate() {
            let now = at(100 * n as u64);
            let pick = |n: usize| open.get(n % open.len().max(1)).copied();
            match step {
                Step::Open(address, key) => {
                    let id = memory.open(0, client(address), now);
                    if key.is_some() {
                        memory.set_known(id, key);
                    }
                    memory.set_stage(id, Stage::Body, now);
                    open.push(id);
                }
                Step::Grow(n, bytes) => if let Some(id) = pick(n)
                    && let Growth::Granted(closed) = memory.grow(id, bytes, now)
                {
                    prop_assert!(!closed.contains(&id));
                    for id in closed {
                        memory.remove(id);
                        open.retain(|other| *other != id);
                    }
                },
                Step::Shrink(n, bytes) => if let Some(id) = pick(n) {
                    memory.shrink(id, bytes);
                },
                Step::Progress(n, moved) => if let Some(id) = pick(n) {
                    memory.observe(id, Observed { moved, is_blocked: moved < 100 }, TICK, now);
                },
                Step::Remove(n) => if let Some(id) = pick(n) {
                    memory.remove(id);
                    open.retain(|other| *other != id);
                },
            }
            let held: u64 = open.iter().map(|id| memory.held(*id)).sum();
            prop_assert_eq!(memory.used(), held);
            prop_assert!(held <= LIMIT);
        }
        for id in open {
            memory.remove(id);
        }
        prop_assert_eq!(memory.used(), 0);
    }
}

// Guards against ordinary calls on new connections that are closed for known clients before their key is known.
#[rstest]
#[case::new(100, false)]
#[case::overdue(600, true)]
fn a_connection_of_a_moment_ago_is_not_closed_for_a_known_one(
    #[case] age: u64,
    #[case] is_closed: bool,
) {
    let mut memory = memory();
    let unknown = memory.open(0, client(2), at(0));
    memory.set_stage(unknown, Stage::Head, at(0));
    memory.add(unknown, 60_000);
    let known = body(&mut memory, Some(1), 900_000);

    let growth = memory.grow(known, 0, at(age));
    assert_eq!(growth, Growth::Refused, "large bodies leave a fifth");
    let caller = body(&mut memory, Some(2), 10_000);
    let growth = memory.grow(caller, 40_000, at(age));

    let closed = if is_closed {
        vec![unknown]
    } else {
        vec![known]
    };
    assert_eq!(growth, Growth::Granted(closed));
}

// Guards against small requests that count as large ones, because the kernel keeps some bytes for every connection.
#[test]
fn what_the_kernel_may_keep_does_not_make_a_request_large() {
    let mut memory = ClientMemory::new(ClientMemoryOptions {
        limit: LIMIT,
        kernel: 32_768,
        ..ClientMemoryOptions::default()
    });
    body(&mut memory, Some(1), 850_000);
    let caller = body(&mut memory, Some(2), 60_000);

    let growth = memory.grow(caller, 20_000, at(0));

    assert_eq!(growth, Growth::Granted(vec![]));
}
