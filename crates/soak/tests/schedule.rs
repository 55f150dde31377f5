//! The schedule depends only on its seed and leaves enough healthy processes in each round.

use rand::{SeedableRng as _, rngs::StdRng};
use rstest::rstest;
use verbenahead_soak::schedule::{BOOKING_ZONES, ENGINE_ZONES, Fault, NODE_ZONES, Round};

const ROUNDS: usize = 200;

fn draw(seed: u64) -> Vec<Round> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..ROUNDS).map(|_| Round::draw(&mut rng)).collect()
}

/// Returns the numbers of nodes, engines and booking replicas that a fault makes unavailable.
fn affected(fault: &Fault) -> [usize; 3] {
    match fault {
        Fault::KillNode { .. } | Fault::FreezeNode { .. } | Fault::StopNode { .. } => [1, 0, 0],
        Fault::KillEngine { .. } | Fault::ReclaimEngine { .. } => [0, 1, 0],
        Fault::ReclaimZone { zone, .. } => {
            let count = |zones: &[&str]| zones.iter().filter(|other| *other == zone).count();
            [
                count(&NODE_ZONES),
                count(&ENGINE_ZONES),
                count(&BOOKING_ZONES),
            ]
        }
        Fault::BookingSlow { .. } | Fault::BookingCloses { .. } => [0, 0, 1],
        Fault::PlatformDown | Fault::PlatformSlow { .. } | Fault::PlatformAnswersLost { .. } => {
            [0, 0, 0]
        }
    }
}

#[test]
fn the_same_seed_draws_the_same_rounds() {
    let first = draw(7);

    let second = draw(7);

    assert_eq!(first, second);
    assert_ne!(first, draw(8));
}

#[rstest]
fn each_round_leaves_enough_healthy_processes(#[values(1, 2, 3, 4)] seed: u64) {
    for round in draw(seed) {
        let sum = |kind: usize| -> usize {
            let faults = round.faults.iter();
            faults.map(|(fault, _)| affected(fault)[kind]).sum()
        };

        assert!(NODE_ZONES.len() - sum(0) >= 2, "{round:?}");
        assert!(ENGINE_ZONES.len() - sum(1) >= 1, "{round:?}");
        assert!(BOOKING_ZONES.len() - sum(2) >= 1, "{round:?}");
    }
}
