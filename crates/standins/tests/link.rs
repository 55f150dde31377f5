//! Faults of the link, seen from both ends.

use std::time::Duration;

use anyhow::Result;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use verbenahead_standins::link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections};

/// Time after which a byte that has not arrived counts as lost.
const SILENCE: Duration = Duration::from_millis(100);

/// Longest time that a byte may take that is not lost.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(10);

struct Ends {
    near: TcpStream,
    far: TcpStream,
}

async fn start_link() -> Result<(Link, TcpListener)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let link = Link::start(LinkOptions::new(listener.local_addr()?)).await?;
    Ok((link, listener))
}

async fn connect(link: &Link, listener: &TcpListener) -> Result<Ends> {
    let near = TcpStream::connect(link.address()).await?;
    let (far, _) = listener.accept().await?;
    Ok(Ends { near, far })
}

/// Returns whether a byte arrives as expected. Waits long only for one that should arrive.
async fn arrives(from: &mut TcpStream, to: &mut TcpStream, is_expected: bool) -> Result<bool> {
    from.write_all(b"x").await?;
    let limit = if is_expected { ARRIVAL_LIMIT } else { SILENCE };
    let mut buf = [0];
    match timeout(limit, to.read(&mut buf)).await {
        Ok(count) => Ok(count? == 1),
        Err(_) => Ok(false),
    }
}

#[rstest]
#[case::pass(LinkMode::Pass, true, true)]
#[case::silent_to(LinkMode::SilentTo, false, true)]
#[case::silent_from(LinkMode::SilentFrom, true, false)]
#[case::silent(LinkMode::Silent, false, false)]
#[tokio::test]
async fn bytes_arrive_in_the_directions_that_are_not_silent(
    #[case] mode: LinkMode,
    #[case] arrives_to: bool,
    #[case] arrives_from: bool,
) -> Result<()> {
    let (link, listener) = start_link().await?;
    let mut ends = connect(&link, &listener).await?;
    assert!(arrives(&mut ends.near, &mut ends.far, true).await?);

    link.set(LinkChange {
        mode,
        ..LinkChange::default()
    });

    let Ends { near, far } = &mut ends;
    assert_eq!(arrives(near, far, arrives_to).await?, arrives_to);
    assert_eq!(arrives(far, near, arrives_from).await?, arrives_from);
    Ok(())
}

#[tokio::test]
async fn an_old_connection_stays_silent_while_new_ones_pass() -> Result<()> {
    let (link, listener) = start_link().await?;
    let mut old = connect(&link, &listener).await?;
    link.set(LinkChange {
        mode: LinkMode::Silent,
        new_connections: NewConnections::Pass,
        ..LinkChange::default()
    });
    link.set(LinkChange::default());

    let mut new = connect(&link, &listener).await?;

    assert!(!arrives(&mut old.near, &mut old.far, false).await?);
    assert!(arrives(&mut new.near, &mut new.far, true).await?);
    Ok(())
}

#[tokio::test]
async fn the_end_of_one_side_is_lost_on_a_silent_connection() -> Result<()> {
    let (link, listener) = start_link().await?;
    let Ends { near, mut far } = connect(&link, &listener).await?;
    link.set(LinkChange {
        mode: LinkMode::Silent,
        ..LinkChange::default()
    });

    drop(near);
    let seen = timeout(SILENCE, far.read(&mut [0])).await;

    assert!(seen.is_err());
    Ok(())
}

#[tokio::test]
async fn a_cut_ends_open_connections() -> Result<()> {
    let (link, listener) = start_link().await?;
    let mut ends = connect(&link, &listener).await?;

    link.set(LinkChange {
        mode: LinkMode::Cut,
        ..LinkChange::default()
    });

    assert!(matches!(ends.near.read(&mut [0]).await, Ok(0) | Err(_)));
    assert!(matches!(ends.far.read(&mut [0]).await, Ok(0) | Err(_)));
    Ok(())
}
