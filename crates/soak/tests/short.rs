//! A short run with a fixed seed.

use std::time::Duration;

use verbenahead_soak::{SoakOptions, run};

fn options() -> SoakOptions {
    SoakOptions {
        seed: 120,
        time: Duration::from_secs(15),
        chat_callers: 3,
        booking_callers: 2,
        is_verbose: true,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_breaks_nothing() {
    let options = options();

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
