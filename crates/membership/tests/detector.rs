//! Tests of the failure detector with simulated time and simulated answers.

use std::{net::SocketAddr, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use rand::{SeedableRng as _, rngs::StdRng};
use rstest::rstest;
use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId};
use verbenahead_membership::{
    Ack, Call, Detector, Error, Member, MemberState, MembershipOptions, NodeIdentity, Ping,
    StateDigest, probe::ProbeId,
};

const STEP: Duration = Duration::from_millis(250);
const FREEZE: Duration = Duration::from_secs(30);

fn node(index: u16) -> NodeId {
    NodeId::try_new(format!("node-{index}")).expect("a valid id")
}

fn identity(index: u16) -> NodeIdentity {
    NodeIdentity {
        node: node(index),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index)),
        zone: AvailabilityZone::try_new("zone-0").expect("a valid zone"),
    }
}

fn member(index: u16) -> Member {
    identity(index).into()
}

/// Returns the detector of node 0, which knows the nodes 1 to `others`.
fn detector(others: u16, now: Instant) -> Detector {
    let rng = StdRng::seed_from_u64(1);
    let options = MembershipOptions::default();
    let mut detector =
        Detector::try_new(options, identity(0), Vec::new(), rng, now).expect("the chart is valid");
    for index in 1..=others {
        receive_ping_from(&mut detector, index, now);
    }
    detector
}

fn receive_ping_from(detector: &mut Detector, index: u16, now: Instant) {
    let ping = Ping {
        to: node(0),
        from: member(index),
        claims: Vec::new(),
        news: StateDigest::default(),
    };
    detector
        .ping_received(&ping, now)
        .expect("it is for node 0");
}

/// Advances time until the detector starts a probe. Returns its id and the address of the member.
fn next_probe(detector: &mut Detector, now: &mut Instant) -> (ProbeId, SocketAddr) {
    loop {
        let calls = detector.tick(*now);
        let probe = calls.into_iter().find_map(|call| match call {
            Call::Ping { probe, peer, .. } => probe.map(|probe| (probe, peer)),
            _ => None,
        });
        if let Some(probe) = probe {
            return probe;
        }
        *now += STEP;
    }
}

/// Fails a probe. The helpers answer that they did not reach the member either.
fn fail_probe(detector: &mut Detector, probe: ProbeId, now: Instant) {
    let lost = Err(Error::call(member(1).address, "deadline passed"));
    let helpers = detector.ping_finished(Some(probe), &lost, now);
    for _ in helpers {
        detector.indirect_probe_finished(probe, &Ok(false), now);
    }
}

fn state(detector: &Detector, address: SocketAddr) -> MemberState {
    let members = detector.members();
    let member = members.iter().find(|member| member.address == address);
    member.expect("it is known").state
}

/// Advances time by `time` while the detector receives pings from the member `pinging`.
fn advance(detector: &mut Detector, now: &mut Instant, time: Duration, pinging: u16) {
    let end = *now + time;
    while *now < end {
        *now += STEP;
        receive_ping_from(detector, pinging, *now);
    }
}

#[test]
fn a_suspect_is_not_declared_dead_before_the_suspicion_timeout() {
    let mut now = Instant::now();
    let mut detector = detector(2, now);
    let (first, suspect) = next_probe(&mut detector, &mut now);
    fail_probe(&mut detector, first, now);

    let (mut probe, mut peer) = next_probe(&mut detector, &mut now);
    while peer != suspect {
        (probe, peer) = next_probe(&mut detector, &mut now);
    }
    fail_probe(&mut detector, probe, now);

    assert_eq!(state(&detector, suspect), MemberState::Suspect);
}

#[test]
fn an_overdue_suspect_is_declared_dead_only_after_one_more_failed_probe() {
    let mut now = Instant::now();
    let mut detector = detector(2, now);
    let (first, suspect) = next_probe(&mut detector, &mut now);
    fail_probe(&mut detector, first, now);
    let pinging = if suspect == member(1).address { 2 } else { 1 };
    let timeout = MembershipOptions::default().suspicion_timeout;

    advance(&mut detector, &mut now, 2 * timeout, pinging);
    let overdue = state(&detector, suspect);
    let (mut probe, mut peer) = next_probe(&mut detector, &mut now);
    while peer != suspect {
        (probe, peer) = next_probe(&mut detector, &mut now);
    }
    fail_probe(&mut detector, probe, now);

    assert_eq!(overdue, MemberState::Suspect);
    assert_eq!(state(&detector, suspect), MemberState::Dead);
}

#[test]
fn a_probe_that_started_before_a_freeze_is_ignored() {
    let mut now = Instant::now();
    let mut detector = detector(3, now);
    let (probe, peer) = next_probe(&mut detector, &mut now);

    now += FREEZE;
    let lost = Err(Error::call(peer, "deadline passed"));
    let calls = detector.ping_finished(Some(probe), &lost, now);

    assert_eq!(calls, Vec::<Call>::new());
    assert_eq!(state(&detector, peer), MemberState::Alive);
}

#[test]
fn the_suspicion_timeout_restarts_after_a_freeze() {
    let mut now = Instant::now();
    let mut detector = detector(2, now);
    let (first, suspect) = next_probe(&mut detector, &mut now);
    fail_probe(&mut detector, first, now);
    let pinging = if suspect == member(1).address { 2 } else { 1 };

    now += FREEZE;
    receive_ping_from(&mut detector, pinging, now);
    now += STEP;
    receive_ping_from(&mut detector, pinging, now);
    let (mut probe, mut peer) = next_probe(&mut detector, &mut now);
    while peer != suspect {
        (probe, peer) = next_probe(&mut detector, &mut now);
    }
    fail_probe(&mut detector, probe, now);

    assert_eq!(state(&detector, suspect), MemberState::Suspect);
}

#[test]
fn a_suspicion_is_refuted_with_a_higher_incarnation() {
    let now = Instant::now();
    let mut detector = detector(2, now);
    let suspicion = Member {
        state: MemberState::Suspect,
        ..member(0)
    };
    let ping = Ping {
        to: node(0),
        from: member(1),
        claims: vec![suspicion],
        news: StateDigest::default(),
    };

    let ack = detector
        .ping_received(&ping, now)
        .expect("it is for node 0");

    assert_eq!(ack.from.state, MemberState::Alive);
    assert_eq!(ack.from.incarnation, Incarnation(2));
}

#[test]
fn a_ping_for_another_node_is_refused() {
    let now = Instant::now();
    let mut detector = detector(1, now);
    let ping = Ping {
        to: node(9),
        from: member(1),
        claims: Vec::new(),
        news: StateDigest::default(),
    };

    let result = detector.ping_received(&ping, now);

    assert!(matches!(result, Err(Error::WrongNode { .. })));
}

#[test]
fn claims_in_one_message_stay_within_their_bound() {
    let now = Instant::now();
    let mut detector = detector(200, now);
    let max_bytes = MembershipOptions::default().max_claim_bytes;

    let mut sent = 0;
    for _ in 0..50 {
        let Ack { claims, .. } = detector
            .ping_received(
                &Ping {
                    to: node(0),
                    from: member(1),
                    claims: Vec::new(),
                    news: StateDigest::default(),
                },
                now,
            )
            .expect("it is for node 0");
        let bytes: usize = claims.iter().map(Member::max_encoded_bytes).sum();
        assert!(bytes <= max_bytes);
        sent += claims.len();
    }

    assert!(sent >= 200, "only {sent} claims were passed on");
}

/// Delivers a claim about node 7 in a ping from node 1.
fn receive_claim(detector: &mut Detector, incarnation: u64, state: MemberState, now: Instant) {
    let claim = Member {
        incarnation: Incarnation(incarnation),
        state,
        ..member(7)
    };
    let ping = Ping {
        to: node(0),
        from: member(1),
        claims: vec![claim],
        news: StateDigest::default(),
    };
    detector
        .ping_received(&ping, now)
        .expect("it is for node 0");
}

/// Returns the incarnation and the state of node 7 that the detector knows.
fn known_claim(detector: &Detector) -> Option<(u64, MemberState)> {
    let members = detector.members();
    let member = members.iter().find(|member| member.node == node(7));
    member.map(|member| (member.incarnation.0, member.state))
}

#[rstest]
#[case(MemberState::Alive)]
#[case(MemberState::Leaving)]
#[case(MemberState::Suspect)]
fn a_claim_that_a_member_is_dead_applies_in_every_present_state(#[case] state: MemberState) {
    let now = Instant::now();
    let mut detector = detector(1, now);
    receive_claim(&mut detector, 3, state, now);

    receive_claim(&mut detector, 3, MemberState::Dead, now);

    assert_eq!(known_claim(&detector), Some((3, MemberState::Dead)));
}

fn any_state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Leaving),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
    ]
}

/// Returns the rank of a state among claims of the same incarnation.
fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Leaving => 1,
        MemberState::Suspect => 2,
        MemberState::Dead => 3,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The reference model keeps the claim with the highest incarnation and, within it, the highest
    /// rank.
    #[test]
    fn claims_are_applied_as_in_the_reference_model(
        claims in prop::collection::vec((1_u64..5, any_state()), 0..20),
    ) {
        let now = Instant::now();
        let mut detector = detector(1, now);
        let mut model: Option<(u64, MemberState)> = None;
        for (incarnation, state) in claims {
            receive_claim(&mut detector, incarnation, state, now);

            let key = (incarnation, rank(state));
            let is_adopted = match model {
                None => state != MemberState::Dead,
                Some((known, known_state)) => key > (known, rank(known_state)),
            };
            if is_adopted {
                model = Some((incarnation, state));
            }
            prop_assert_eq!(known_claim(&detector), model);
        }
    }
}
