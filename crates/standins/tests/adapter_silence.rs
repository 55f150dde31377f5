//! Tests of the HTTP adapter over connections that stay open but stop carrying bytes.

mod support;

use anyhow::Result;
use futures_util::future::join_all;
use rstest::rstest;
use support::{SHORT_TIMEOUT, adapter, put, row_key, start_platform};
use tokio::time::timeout;
use verbenahead_services::{Condition, HttpPlatform, Table as _, WriteOutcome};
use verbenahead_standins::{
    Server,
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
};

/// Number of connections open when the link goes silent.
const OPEN_CONNECTIONS: usize = 8;

/// Number of calls after the link went silent; each fails if it uses an old connection.
const LATER_CALLS: usize = 3 * OPEN_CONNECTIONS;

struct Fixture {
    _platform: Server,
    link: Link,
    adapter: HttpPlatform,
}

async fn start() -> Result<Fixture> {
    let platform = start_platform().await?;
    let link = Link::start(LinkOptions::new(platform.address())).await?;
    let adapter = adapter(link.address(), SHORT_TIMEOUT)?;
    Ok(Fixture {
        _platform: platform,
        link,
        adapter,
    })
}

/// Opens several connections and leaves them idle in the pool.
async fn open_connections(adapter: &HttpPlatform) -> Result<()> {
    let key = row_key("a");
    let reads = (0..OPEN_CONNECTIONS).map(|_| adapter.read(&key));
    for read in join_all(reads).await {
        read?;
    }
    Ok(())
}

fn silence_open_connections(link: &Link, mode: LinkMode) {
    link.set(LinkChange {
        mode,
        new_connections: NewConnections::Pass,
        ..LinkChange::default()
    });
}

#[rstest]
#[case::both(LinkMode::Silent)]
#[case::to_platform(LinkMode::SilentTo)]
#[case::from_platform(LinkMode::SilentFrom)]
#[tokio::test]
async fn one_call_fails_and_all_later_ones_use_new_connections(
    #[case] mode: LinkMode,
) -> Result<()> {
    let fixture = start().await?;
    open_connections(&fixture.adapter).await?;
    silence_open_connections(&fixture.link, mode);

    let first = fixture.adapter.read(&row_key("a")).await;
    let mut later = Vec::new();
    for _ in 0..LATER_CALLS {
        later.push(fixture.adapter.read(&row_key("a")).await);
    }

    assert!(first.is_err());
    assert!(later.iter().all(|read| *read == Ok(None)), "{later:?}");
    Ok(())
}

#[rstest]
#[case::to_platform(LinkMode::SilentTo, false)]
#[case::from_platform(LinkMode::SilentFrom, true)]
#[tokio::test]
async fn a_write_over_a_silent_connection_is_unknown(
    #[case] mode: LinkMode,
    #[case] has_taken_effect: bool,
) -> Result<()> {
    let fixture = start().await?;
    open_connections(&fixture.adapter).await?;
    silence_open_connections(&fixture.link, mode);

    let write = vec![put("a", Condition::Absent, "1")];
    let outcome = fixture.adapter.write(write).await;
    let row = fixture.adapter.read(&row_key("a")).await?;

    assert!(matches!(outcome, WriteOutcome::Unknown(_)), "{outcome:?}");
    assert_eq!(row.is_some(), has_taken_effect);
    Ok(())
}

#[tokio::test]
async fn a_call_dropped_by_its_caller_does_not_delay_later_ones() -> Result<()> {
    let fixture = start().await?;
    open_connections(&fixture.adapter).await?;
    silence_open_connections(&fixture.link, LinkMode::Silent);

    let key = row_key("a");
    let first = timeout(SHORT_TIMEOUT / 4, fixture.adapter.read(&key)).await;
    let later = fixture.adapter.read(&key).await;

    assert!(first.is_err());
    assert_eq!(later, Ok(None));
    Ok(())
}

#[tokio::test]
async fn calls_in_progress_fail_together_and_do_not_delay_later_ones() -> Result<()> {
    let fixture = start().await?;
    open_connections(&fixture.adapter).await?;
    silence_open_connections(&fixture.link, LinkMode::Silent);

    let key = row_key("a");
    let reads = (0..OPEN_CONNECTIONS).map(|_| fixture.adapter.read(&key));
    let first = join_all(reads).await;
    let later = fixture.adapter.read(&key).await;

    assert!(first.iter().all(Result::is_err), "{first:?}");
    assert_eq!(later, Ok(None));
    Ok(())
}

#[tokio::test]
async fn a_write_over_a_cut_link_is_not_done() -> Result<()> {
    let fixture = start().await?;
    open_connections(&fixture.adapter).await?;
    fixture.link.set(LinkChange {
        mode: LinkMode::Cut,
        ..LinkChange::default()
    });

    let write = vec![put("a", Condition::Absent, "1")];
    let outcome = fixture.adapter.write(write).await;
    fixture.link.set(LinkChange::default());
    let later = fixture.adapter.read(&row_key("a")).await;

    assert!(!matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
    assert_eq!(later, Ok(None));
    Ok(())
}
