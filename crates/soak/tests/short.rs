//! Short runs with fixed seeds.

use std::time::Duration;

use rstest::rstest;
use verbenahead_soak::{SoakOptions, run};

fn options(seed: u64) -> SoakOptions {
    SoakOptions {
        seed,
        time: Duration::from_secs(15),
        chat_callers: 3,
        booking_callers: 2,
        is_verbose: true,
    }
}

#[rstest]
#[case::nodes_killed_and_a_zone_lost(120)]
#[case::a_zone_lost_during_an_outage(1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_keeps_all_invariants(#[case] seed: u64) {
    let options = options(seed);

    let outcome = run(options).await.expect("the processes start");

    let tails: Vec<_> = outcome
        .log_tails
        .iter()
        .map(|(name, log)| format!("--- end of the log of {name}\n{log}"))
        .collect();
    assert_eq!(outcome.broken, None, "{}", tails.join("\n"));
    assert!(outcome.report.faults > 0);
    assert!(outcome.report.chats > 0);
    assert!(outcome.report.bookings > 0);
    assert!(outcome.report.publications > 0);
}
