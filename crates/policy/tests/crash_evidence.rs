//! Tests of the evidence on parts of prompts that crash replicas.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng, seq::index::sample};
use rstest::rstest;
use verbenahead_core::{ContentKey, ContentKind};
use verbenahead_policy::{ContentStanding, CrashEvidence, CrashEvidenceOptions, Timestamp};

const GENERAL: ContentKey = part(1);
const HARMFUL: ContentKey = part(2);
const OTHER: ContentKey = part(3);

const fn part(id: u64) -> ContentKey {
    ContentKey {
        service: 7,
        kind: ContentKind::PromptPart,
        id,
    }
}

const fn request(id: u64) -> ContentKey {
    ContentKey {
        service: 7,
        kind: ContentKind::Request,
        id,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp(Duration::from_millis(millis))
}

fn evidence() -> CrashEvidence {
    CrashEvidence::new(CrashEvidenceOptions::default())
}

/// Returns evidence of one crash at each of the times, for each of which the parts are suspects.
fn crashes(times: &[u64], suspects: &[ContentKey]) -> CrashEvidence {
    let mut evidence = evidence();
    for (replica, time) in times.iter().enumerate() {
        evidence.record(replica as u32, suspects, at(*time));
    }
    evidence
}

fn unknown(_: ContentKey) -> ContentStanding {
    ContentStanding::Unknown
}

#[rstest]
#[case::two_crashes(&[0, 500], None)]
#[case::three_crashes(&[0, 500, 900], Some(HARMFUL))]
#[case::at_the_same_time(&[0, 10, 20, 30, 40], None)]
#[case::twice_together(&[0, 10, 400, 410], None)]
#[case::one_long_ago(&[0, 60_500, 61_000], None)]
fn a_part_is_suspected_after_three_crashes(
    #[case] times: &[u64],
    #[case] expected: Option<ContentKey>,
) {
    let evidence = crashes(times, &[HARMFUL]);

    let last = times.last().expect("a time");
    assert_eq!(evidence.suspect(unknown, at(*last)), expected);
}

#[rstest]
#[case::two_crashes(&[0, 500], None)]
#[case::three_crashes(&[0, 500, 900], Some(request(2)))]
#[case::at_the_same_time(&[0, 10, 20], Some(request(2)))]
#[case::one_long_ago(&[0, 60_500, 61_000], None)]
fn a_request_is_suspected_after_three_crashes(
    #[case] times: &[u64],
    #[case] expected: Option<ContentKey>,
) {
    let evidence = crashes(times, &[request(2)]);

    let last = times.last().expect("a time");
    assert_eq!(evidence.suspect(unknown, at(*last)), expected);
}

/// Failure pattern: a zone goes, and replicas that ran the same request are among many others.
#[rstest]
#[case::few_others(2, Some(request(2)))]
#[case::many_others(8, None)]
fn a_request_at_few_of_the_replicas_that_fail_together_is_not_suspected(
    #[case] others: u32,
    #[case] expected: Option<ContentKey>,
) {
    let mut evidence = crashes(&[0, 10, 20], &[request(2)]);
    for other in 0..others {
        let suspects = [request(100 + u64::from(other))];
        evidence.record(100 + other, &suspects, at(15));
    }

    assert_eq!(evidence.suspect(unknown, at(20)), expected);
}

#[test]
fn a_request_is_suspected_before_the_parts_of_its_prompt() {
    let mut evidence = crashes(&[0, 300, 600], &[request(2), GENERAL, OTHER]);
    assert_eq!(evidence.suspect(unknown, at(600)), Some(request(2)));

    let standing = |key| match key == request(2) {
        true => ContentStanding::Quarantined,
        false => ContentStanding::Unknown,
    };
    assert_eq!(evidence.suspect(standing, at(600)), None);
    evidence.record(10, &[request(3), OTHER], at(900));
    assert_eq!(evidence.suspect(standing, at(900)), None);
    evidence.record(11, &[request(4), OTHER], at(1_200));

    assert_eq!(evidence.suspect(standing, at(1_200)), Some(OTHER));
}

#[test]
fn a_crash_that_several_nodes_report_counts_once() {
    let mut evidence = evidence();
    for time in [0, 200, 400, 600] {
        evidence.record(5, &[HARMFUL], at(time));
    }

    assert_eq!(evidence.suspect(unknown, at(600)), None);
}

#[test]
fn a_part_that_is_known_to_be_sound_is_not_suspected() {
    let mut evidence = crashes(&[0, 300, 600], &[GENERAL, HARMFUL]);

    evidence.clear(HARMFUL);

    assert_eq!(evidence.suspect(unknown, at(600)), Some(GENERAL));
    evidence.clear(GENERAL);
    assert_eq!(evidence.suspect(unknown, at(600)), None);
}

#[test]
fn of_several_parts_the_most_specific_is_suspected() {
    let evidence = crashes(&[0, 300, 600], &[GENERAL, HARMFUL]);

    assert_eq!(evidence.suspect(unknown, at(600)), Some(HARMFUL));
}

#[test]
fn the_part_of_most_crashes_is_suspected() {
    let mut evidence = evidence();
    for (replica, suspects) in [
        (0, &[HARMFUL, OTHER][..]),
        (1, &[HARMFUL, OTHER]),
        (2, &[HARMFUL, OTHER]),
        (3, &[HARMFUL]),
    ] {
        evidence.record(replica, suspects, at(u64::from(replica) * 200));
    }

    assert_eq!(evidence.suspect(unknown, at(600)), Some(HARMFUL));
}

#[test]
fn crashes_with_a_quarantined_part_count_for_no_other() {
    let standing = |part| match part == HARMFUL {
        true => ContentStanding::Quarantined,
        false => ContentStanding::Unknown,
    };
    let mut evidence = crashes(&[0, 300, 600, 900], &[OTHER, HARMFUL]);
    assert_eq!(evidence.suspect(standing, at(900)), None);

    evidence.record(10, &[OTHER], at(1_200));
    assert_eq!(evidence.suspect(standing, at(1_200)), None);
    evidence.record(11, &[OTHER], at(1_500));

    assert_eq!(evidence.suspect(standing, at(1_500)), Some(OTHER));
}

#[test]
fn a_part_on_probation_is_suspected_after_one_crash() {
    let evidence = crashes(&[0], &[HARMFUL]);

    let suspect = evidence.suspect(|_| ContentStanding::OnProbation, at(1));

    assert_eq!(suspect, Some(HARMFUL));
}

/// Failure pattern: each crash takes many sound requests along. Their parts are suspects too, some of
/// them several times, but the harmful one comes first in all drawn runs.
#[rstest]
fn the_harmful_part_is_found_among_many_sound_ones(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut evidence = evidence();
    let mut time = 0;
    let mut found = None;
    for replica in 0..5 {
        time += rng.random_range(110..900);
        let riders = sample(&mut rng, 60, 12);
        let mut suspects: Vec<ContentKey> = riders.iter().map(|id| part(100 + id as u64)).collect();
        suspects.insert(rng.random_range(0..=12), HARMFUL);
        evidence.record(replica, &suspects, at(time));
        found = evidence.suspect(unknown, at(time));
        if found == Some(HARMFUL) {
            break;
        }
    }

    assert_eq!(found, Some(HARMFUL));
}

#[test]
fn the_evidence_is_bounded() {
    let mut evidence = evidence();
    for replica in 0..10_000 {
        let suspects: Vec<ContentKey> = (0..300).map(part).collect();
        evidence.record(replica, &suspects, at(u64::from(replica)));
    }

    let size = format!("{evidence:?}").matches("ContentKey").count();
    assert!(size <= 64 * 128, "{size}");
}
