//! Tests of the faults of the link, observed at both ends of its connections.

use std::time::Duration;

use anyhow::Result;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use verbenahead_standins::link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections};

/// Time after which a byte that is not expected to arrive counts as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(100);

/// Time limit for a byte that is expected to arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

struct Connection {
    client: TcpStream,
    server: TcpStream,
}

async fn start_link() -> Result<(Link, TcpListener)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let link = Link::start(LinkOptions::new(listener.local_addr()?)).await?;
    Ok((link, listener))
}

async fn connect(link: &Link, listener: &TcpListener) -> Result<Connection> {
    let client = TcpStream::connect(link.address()).await?;
    let (server, _) = listener.accept().await?;
    Ok(Connection { client, server })
}

/// Returns whether a byte sent on `from` arrives at `to`, waiting [`ARRIVAL_TIMEOUT`] if it is
/// expected to and [`LOSS_TIMEOUT`] if not.
async fn arrives(from: &mut TcpStream, to: &mut TcpStream, is_expected: bool) -> Result<bool> {
    from.write_all(b"x").await?;
    let limit = if is_expected {
        ARRIVAL_TIMEOUT
    } else {
        LOSS_TIMEOUT
    };
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
    let mut connection = connect(&link, &listener).await?;
    assert!(arrives(&mut connection.client, &mut connection.server, true).await?);

    link.set(LinkChange {
        mode,
        ..LinkChange::default()
    });

    let Connection { client, server } = &mut connection;
    assert_eq!(arrives(client, server, arrives_to).await?, arrives_to);
    assert_eq!(arrives(server, client, arrives_from).await?, arrives_from);
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

    assert!(!arrives(&mut old.client, &mut old.server, false).await?);
    assert!(arrives(&mut new.client, &mut new.server, true).await?);
    Ok(())
}

#[tokio::test]
async fn a_close_is_not_forwarded_over_a_silent_connection() -> Result<()> {
    let (link, listener) = start_link().await?;
    let Connection { client, mut server } = connect(&link, &listener).await?;
    link.set(LinkChange {
        mode: LinkMode::Silent,
        ..LinkChange::default()
    });

    drop(client);
    let read = timeout(LOSS_TIMEOUT, server.read(&mut [0])).await;

    assert!(read.is_err());
    Ok(())
}

#[tokio::test]
async fn a_cut_closes_open_connections() -> Result<()> {
    let (link, listener) = start_link().await?;
    let mut connection = connect(&link, &listener).await?;

    link.set(LinkChange {
        mode: LinkMode::Cut,
        ..LinkChange::default()
    });

    assert!(matches!(
        connection.client.read(&mut [0]).await,
        Ok(0) | Err(_)
    ));
    assert!(matches!(
        connection.server.read(&mut [0]).await,
        Ok(0) | Err(_)
    ));
    Ok(())
}

#[rstest]
#[case::refused(NewConnections::Refused)]
#[case::unanswered(NewConnections::Unanswered)]
#[tokio::test]
async fn new_connections_are_accepted_only_after_the_fault(
    #[case] new_connections: NewConnections,
) -> Result<()> {
    let (link, listener) = start_link().await?;
    let mut open = connect(&link, &listener).await?;
    link.set(LinkChange {
        new_connections,
        ..LinkChange::default()
    });
    tokio::time::sleep(2 * LOSS_TIMEOUT).await;

    let during = timeout(2 * LOSS_TIMEOUT, TcpStream::connect(link.address())).await;
    let is_open_alive = arrives(&mut open.client, &mut open.server, true).await?;
    link.set(LinkChange::default());
    // The link reopens its listener in a task of its own.
    tokio::time::sleep(LOSS_TIMEOUT).await;
    let after = timeout(ARRIVAL_TIMEOUT, TcpStream::connect(link.address())).await;

    match new_connections {
        NewConnections::Refused => assert!(matches!(during, Ok(Err(_)))),
        _ => assert!(during.is_err()),
    }
    assert!(is_open_alive && matches!(after, Ok(Ok(_))));
    Ok(())
}
