//! Tests of journals at other nodes: placement, lookup, batched appends and hand-over.

mod support;

use rstest::rstest;
use support::{Node, append, member, member_of, node_id, record, start, zone};
use verbenahead_core::{HashMap, HashSet, RequestId};
use verbenahead_membership::{Member, MemberState};
use verbenahead_peer::{
    Error, JournalAppender, JournalRefusal, JournalTakeOver, PeerSecurity, find_journal,
    hand_over_journals, journal_holders, journal_lookup_order,
};

const REQUESTS: u128 = 2_000;

fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

fn request(index: u128) -> RequestId {
    RequestId(index.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835))
}

async fn start_all(count: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..count {
        nodes.push(start(index, Vec::new(), PeerSecurity::PlaintextOnLoopback).await);
    }
    nodes
}

fn members_of(nodes: &[Node]) -> Vec<Member> {
    nodes.iter().map(member_of).collect()
}

#[rstest]
#[case(4)]
#[case(16)]
#[case(330)]
fn holder_is_in_another_zone_and_among_the_first_two_in_lookup_order(#[case] count: usize) {
    let members = members(count);

    for index in 0..REQUESTS {
        let owner = usize::try_from(index).expect("small") % count;
        let holders = journal_holders(request(index), &node_id(owner), &zone(owner), &members);
        let order = journal_lookup_order(request(index), &members);

        let holder = members
            .iter()
            .find(|m| m.node == holders[0])
            .expect("a member");
        assert_ne!(holder.zone, zone(owner));
        assert!(order[..2].contains(&holder.node));
        assert_eq!(order.iter().collect::<HashSet<_>>().len(), count);
    }
}

#[test]
fn journals_are_distributed_evenly() {
    let members = members(16);
    let mut counts: HashMap<_, u128> = HashMap::default();

    for index in 0..REQUESTS {
        let holders = journal_holders(request(index), &node_id(0), &zone(0), &members);
        *counts.entry(holders[0].clone()).or_default() += 1;
    }

    assert_eq!(counts.len(), 12);
    let mean = REQUESTS / 12;
    assert!(
        counts
            .values()
            .all(|count| *count > mean / 2 && *count < mean * 2)
    );
}

#[test]
fn most_holders_stay_when_members_join_and_leave() {
    let before = members(16);
    let after: Vec<_> = members(20).into_iter().skip(1).collect();

    let unchanged = (0..REQUESTS).filter(|index| {
        let holders = |members| journal_holders(request(*index), &node_id(1), &zone(1), members);
        holders(&before)[0] == holders(&after)[0]
    });

    assert!(unchanged.count() as u128 > REQUESTS / 2);
}

#[rstest]
#[case(MemberState::Leaving)]
#[case(MemberState::Dead)]
fn leaving_and_dead_nodes_hold_no_journals(#[case] state: MemberState) {
    let mut members = members(8);
    for member in members.iter_mut().skip(2) {
        member.state = state;
    }

    let holders = journal_holders(request(1), &node_id(0), &zone(0), &members);

    assert_eq!(holders, [node_id(1)]);
}

#[test]
fn suspects_are_last_in_the_holder_order() {
    let mut members = members(8);
    members[3].state = MemberState::Suspect;

    for index in 0..100 {
        let holders = journal_holders(request(index), &node_id(0), &zone(0), &members);
        assert_eq!(holders.last(), Some(&node_id(3)));
    }
}

#[tokio::test]
async fn journal_is_found_and_taken_over_by_another_node() {
    let nodes = start_all(5).await;
    let members = members_of(&nodes);
    let record = record(77, &["a", "b"]);
    let holders = journal_holders(record.request, &node_id(0), &nodes[0].zone, &members);
    let holder = members
        .iter()
        .find(|m| m.node == holders[0])
        .expect("a member");
    let clients = &nodes[0].clients;
    clients
        .put_journal(holder.address, record.clone())
        .await
        .expect("the holder responds");

    let finder = &nodes[4];
    let found = find_journal(
        &finder.clients,
        &finder.journals,
        &finder.id,
        &members,
        record.request,
        1,
    );
    let found = found.await.expect("the holder responds");
    let take_over = JournalTakeOver {
        request: record.request,
        epoch: found.record.epoch,
        owner: finder.id.clone(),
    };
    let taken = finder
        .clients
        .take_over_journal(found.address, take_over)
        .await;
    let late = clients
        .append_journals(holder.address, vec![append(77, 1, 2, &["c"])])
        .await;

    assert_eq!(found.holder, holder.node);
    assert_eq!(found.record.tokens, ["b"]);
    let taken = taken.expect("the epoch is current");
    assert_eq!((taken.epoch, taken.tokens.len()), (2, 2));
    let stale = JournalRefusal::StaleEpoch { current: 2 };
    assert_eq!(late.expect("the holder responds"), [Err(stale)]);
}

#[rstest]
#[case::longer(1, &["a", "b"], 1, &["a"])]
#[case::later_epoch(2, &["a"], 1, &["a", "b", "c"])]
#[tokio::test]
async fn lookup_ignores_outdated_copies(
    #[case] epoch: u64,
    #[case] tokens: &[&str],
    #[case] old_epoch: u64,
    #[case] old_tokens: &[&str],
) {
    let nodes = start_all(4).await;
    let members = members_of(&nodes);
    let now = tokio::time::Instant::now();
    let (mut old, mut new) = (record(9, old_tokens), record(9, tokens));
    (old.epoch, new.epoch) = (old_epoch, epoch);
    for (node, record) in [(1, old.clone()), (2, new.clone()), (3, old)] {
        nodes[node]
            .journals
            .put(record, now)
            .expect("there is room");
    }

    let node = &nodes[0];
    let found = find_journal(
        &node.clients,
        &node.journals,
        &node.id,
        &members,
        new.request,
        0,
    );

    let found = found.await.expect("it is there");
    assert_eq!((found.holder, found.record), (node_id(2), new));
}

#[tokio::test]
async fn lookup_of_an_unknown_journal_reports_not_found() {
    let nodes = start_all(3).await;
    let members = members_of(&nodes);
    let node = &nodes[0];

    let result = find_journal(
        &node.clients,
        &node.journals,
        &node.id,
        &members,
        RequestId(5),
        0,
    );

    let result = result.await;
    assert!(
        matches!(
            result,
            Err(Error::JournalNotFound {
                asked: 3,
                unreachable: 0
            })
        ),
        "{result:?}"
    );
}

#[tokio::test]
async fn batched_appends_of_many_requests_arrive_in_order() {
    let nodes = start_all(2).await;
    let holder = nodes[1].address;
    let appender = JournalAppender::start(nodes[0].clients.clone());
    let requests = 50;
    for request in 0..requests {
        let record = record(request, &[]);
        nodes[0]
            .clients
            .put_journal(holder, record)
            .await
            .expect("the holder responds");
    }

    let mut tasks = Vec::new();
    for request in 0..requests {
        let appender = appender.clone();
        tasks.push(tokio::spawn(async move {
            for position in 0..20 {
                let token = format!("t{position}");
                let append = append(request, 1, position, &[&token]);
                appender
                    .append(holder, append)
                    .await
                    .expect("the holder responds");
            }
        }));
    }
    for task in tasks {
        task.await.expect("the task did not panic");
    }

    let expected: Vec<_> = (0..20).map(|position| format!("t{position}")).collect();
    for request in 0..requests {
        let kept = nodes[1]
            .journals
            .read(RequestId(request), 0)
            .expect("it is there");
        assert_eq!(kept.tokens, expected);
    }
}

#[tokio::test]
async fn refused_append_does_not_affect_others_in_its_batch() {
    let nodes = start_all(2).await;
    let holder = nodes[1].address;
    let clients = &nodes[0].clients;
    clients
        .put_journal(holder, record(1, &[]))
        .await
        .expect("the holder responds");

    let appends = vec![append(2, 1, 0, &["x"]), append(1, 1, 0, &["a"])];
    let outcomes = clients.append_journals(holder, appends).await;

    let outcomes = outcomes.expect("the holder responds");
    assert_eq!(outcomes, [Err(JournalRefusal::NotFound), Ok(())]);
}

#[tokio::test]
async fn leaving_node_hands_over_all_journals_despite_an_unreachable_peer() {
    let mut nodes = start_all(6).await;
    let mut members = members_of(&nodes);
    members[1].state = MemberState::Leaving;
    let now = tokio::time::Instant::now();
    for index in 0..200 {
        let mut kept = record(index, &["a", "b"]);
        kept.request = request(index);
        nodes[1].journals.put(kept, now).expect("there is room");
    }
    let unreachable = nodes.remove(5);
    unreachable.server.shut_down().await;

    let leaving = &nodes[1];
    let outcome =
        hand_over_journals(&leaving.journals, &leaving.clients, &leaving.id, &members).await;

    assert_eq!((outcome.transferred, outcome.remaining), (200, 0));
    assert!(leaving.journals.is_empty());
    let reader = &nodes[0];
    for index in 0..200 {
        let found = find_journal(
            &reader.clients,
            &reader.journals,
            &reader.id,
            &members,
            request(index),
            0,
        );
        assert_eq!(
            found
                .await
                .expect("the journal was transferred")
                .record
                .tokens,
            ["a", "b"]
        );
    }
}

#[tokio::test]
async fn journals_without_another_holder_remain_in_the_store() {
    let nodes = start_all(1).await;
    let members = members_of(&nodes);
    let node = &nodes[0];
    let mut own = record(1, &["a"]);
    own.owner = node_id(9);
    node.journals
        .put(own, tokio::time::Instant::now())
        .expect("there is room");

    let outcome = hand_over_journals(&node.journals, &node.clients, &node.id, &members).await;

    assert_eq!((outcome.transferred, outcome.remaining), (0, 1));
    assert_eq!(node.journals.len(), 1);
}
