//! Tests of the quarantine of parts of prompts, and of the memory of sound parts.

use std::time::Duration;

use rstest::rstest;
use verbenahead_core::{ContentKey, ContentKind, QuarantinedContent, time::UnixMillis};
use verbenahead_policy::{
    Quarantine, QuarantineOptions, SoundContent, SoundContentOptions, Timestamp,
};

const PART: ContentKey = part(1);
const START: UnixMillis = UnixMillis(1_700_000_000_000);
const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

const fn part(id: u64) -> ContentKey {
    ContentKey {
        service: 7,
        kind: ContentKind::PromptPart,
        id,
    }
}

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineOptions::default())
}

fn after(period: Duration) -> UnixMillis {
    START.saturating_add(period)
}

#[test]
fn a_part_is_quarantined_for_a_time_and_then_on_probation() {
    let mut quarantine = quarantine();

    quarantine.add(PART, START);

    assert_eq!(quarantine.remaining(PART, START), Some(10 * MINUTE));
    assert_eq!(quarantine.remaining(part(2), START), None);
    assert!(!quarantine.is_on_probation(PART, START));
    assert_eq!(quarantine.remaining(PART, after(10 * MINUTE)), None);
    assert!(quarantine.is_on_probation(PART, after(10 * MINUTE)));
}

#[test]
fn each_further_quarantine_is_twice_as_long_up_to_a_day() {
    let mut quarantine = quarantine();
    let mut now = START;
    let mut periods = Vec::new();
    for _ in 0..10 {
        let quarantined = quarantine.add(PART, now);
        periods.push(quarantined.until.since(now));
        now = quarantined.until;
    }

    assert_eq!(periods[..3], [10 * MINUTE, 20 * MINUTE, 40 * MINUTE]);
    assert_eq!(periods[9], DAY);
}

#[test]
fn nodes_that_exchange_a_quarantine_do_not_prolong_it() {
    let (mut left, mut right) = (quarantine(), quarantine());
    let quarantined = left.add(PART, START);
    let mut now = START;
    for _ in 0..100 {
        now = now.saturating_add(Duration::from_millis(700));
        left.active(now).for_each(|q| {
            right.merge(q, now);
        });
        right.active(now).for_each(|q| {
            left.merge(q, now);
        });
    }

    assert!(left.active(now).eq([quarantined]));
    assert!(right.active(now).eq([quarantined]));
}

#[rstest]
#[case::already_over(START.saturating_sub(MINUTE), None)]
#[case::in_force(after(MINUTE), Some(MINUTE))]
#[case::for_years(UnixMillis(u64::MAX), Some(DAY))]
fn what_another_node_tells_is_bounded(
    #[case] until: UnixMillis,
    #[case] expected: Option<Duration>,
) {
    let mut quarantine = quarantine();

    let times = u32::MAX;
    quarantine.merge(
        QuarantinedContent {
            key: PART,
            until,
            times,
        },
        START,
    );

    assert_eq!(quarantine.remaining(PART, START), expected);
    let again = quarantine.add(PART, after(DAY));
    assert!(again.until.since(after(DAY)) <= DAY);
}

#[test]
fn a_release_ends_a_quarantine() {
    let mut quarantine = quarantine();
    quarantine.add(PART, START);

    assert!(quarantine.release(PART, START));
    assert!(!quarantine.release(PART, START));

    assert_eq!(quarantine.remaining(PART, START), None);
    assert!(quarantine.is_empty());
}

#[test]
fn the_number_of_quarantined_parts_is_bounded() {
    let mut quarantine = quarantine();
    for id in 0..1_000 {
        quarantine.add(part(id), after(Duration::from_millis(id)));
    }

    let now = after(MINUTE);
    assert_eq!(quarantine.active(now).count(), 256);
    assert!(quarantine.remaining(part(999), now).is_some());
}

#[test]
fn a_sound_part_is_remembered_for_a_time() {
    let mut sound = SoundContent::new(SoundContentOptions::default());
    sound.record(PART, Timestamp::from_secs_f64(5.0));

    assert!(sound.contains(PART, Timestamp::from_secs_f64(34.9)));
    assert!(!sound.contains(PART, Timestamp::from_secs_f64(35.0)));
    assert!(!sound.contains(part(2), Timestamp::from_secs_f64(5.0)));
}

#[test]
fn the_latest_sound_parts_are_kept_within_a_bound() {
    let mut sound = SoundContent::new(SoundContentOptions::default());
    for id in 0..100_000 {
        sound.record(part(id), Timestamp(Duration::from_micros(id)));
    }

    let now = Timestamp::from_secs_f64(0.1);
    let kept = (0..100_000).filter(|id| sound.contains(part(*id), now));
    assert!(kept.count() <= 4_096);
    assert!((99_000..100_000).all(|id| sound.contains(part(id), now)));
}

#[test]
fn a_sound_request_is_remembered_for_a_shorter_time_than_a_part() {
    let mut sound = SoundContent::new(SoundContentOptions::default());
    let request = ContentKey {
        kind: ContentKind::Request,
        ..PART
    };
    sound.record(PART, Timestamp::default());
    sound.record(request, Timestamp::default());

    assert!(sound.contains(request, Timestamp::from_secs_f64(1.9)));
    assert!(!sound.contains(request, Timestamp::from_secs_f64(2.0)));
    assert!(sound.contains(PART, Timestamp::from_secs_f64(2.0)));
}

#[test]
fn requests_do_not_displace_sound_parts() {
    let mut sound = SoundContent::new(SoundContentOptions::default());
    sound.record(PART, Timestamp::default());
    for id in 0..10_000 {
        let request = ContentKey {
            kind: ContentKind::Request,
            ..part(id)
        };
        sound.record(request, Timestamp(Duration::from_micros(id)));
    }

    assert!(sound.contains(PART, Timestamp::from_secs_f64(0.1)));
}
