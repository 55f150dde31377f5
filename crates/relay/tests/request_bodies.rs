//! Reading of request bodies within limits on size and memory.

use std::{convert::Infallible, net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use rstest::rstest;
use tokio::time::Instant;
use verbenahead_core::units::ByteSize;
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_relay::{
    BodyError, BodyLimits, BodyProgressOptions, MemoryAccount, MemoryBudget, MemoryReservation,
    ReadBody, read_body,
};

const MAX: usize = 1 << 20;

/// Memory that is reserved beyond the bytes of a body: the rest of its last segment.
const SEGMENT: usize = 16 << 10;

fn budget(limit: usize) -> (MemoryBudget, MemoryAccount) {
    let budget = MemoryBudget::new(ClientMemoryOptions {
        limit: limit as u64,
        large_ratio: 1.0,
        ..ClientMemoryOptions::default()
    });
    let account = budget.open(0, Ipv4Addr::LOCALHOST.into(), 0);
    (budget, account)
}

fn limits() -> BodyLimits {
    BodyLimits {
        max: ByteSize(MAX as u64),
        deadline: Instant::now() + Duration::from_secs(10),
        progress: BodyProgressOptions::default(),
    }
}

fn content(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n % 251) as u8).collect()
}

async fn read(
    content: Vec<u8>,
    chunk: Option<usize>,
    account: &MemoryAccount,
) -> Result<ReadBody, BodyError> {
    let Some(chunk) = chunk else {
        return read_body(&mut Full::<Bytes>::from(content), account, limits()).await;
    };
    let chunks: Vec<_> = content.chunks(chunk).map(Bytes::copy_from_slice).collect();
    let frames = chunks
        .into_iter()
        .map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    read_body(
        &mut StreamBody::new(stream::iter(frames)),
        account,
        limits(),
    )
    .await
}

// Guards against segments that lose, repeat or reorder bytes, and against memory that is taken beyond the body or kept
// after it.
#[rstest]
#[tokio::test]
async fn a_body_is_read_as_it_was_sent(
    #[values(None, Some(1), Some(700), Some(SEGMENT), Some(MAX))] chunk: Option<usize>,
    #[values(0, 1, SEGMENT - 1, SEGMENT, SEGMENT + 1, MAX)] size: usize,
) {
    let (budget, account) = budget(3 * MAX);

    let body = read(content(size), chunk, &account).await.expect("a body");

    let used = budget.used() as usize;
    assert!((size..=size + SEGMENT).contains(&used), "{used} for {size}");
    assert_eq!(body.data.len(), size);
    let whole = body.into_bytes().await.expect("memory for a copy");
    assert_eq!(whole, content(size));
    assert!(budget.used() as usize >= size);
    drop(whole);
    assert_eq!(budget.used(), 0);
}

// Guards against bodies over the limit that are read on, and against memory that a refused body keeps.
#[rstest]
#[case::announced_over(MAX + 1, None, 3 * MAX, BodyError::TooLarge)]
#[case::chunks_over(MAX + 1, Some(700), 3 * MAX, BodyError::TooLarge)]
#[case::far_over(8 * MAX, Some(700), 3 * MAX, BodyError::TooLarge)]
#[case::announced_without_memory(MAX, None, MAX / 2, BodyError::NoMemory)]
#[case::chunks_without_memory(MAX, Some(700), MAX / 2, BodyError::NoMemory)]
#[tokio::test]
async fn a_body_that_does_not_fit_is_refused(
    #[case] size: usize,
    #[case] chunk: Option<usize>,
    #[case] limit: usize,
    #[case] expected: BodyError,
) {
    let (budget, account) = budget(limit);

    let refused = read(content(size), chunk, &account).await;

    assert_eq!(refused.err(), Some(expected));
    assert_eq!(budget.used(), 0);
}

/// Opens a connection of an unknown client that holds nearly all memory, and has had time to become known.
fn overdue(budget: &MemoryBudget) -> (MemoryAccount, MemoryReservation) {
    let unknown = budget.open(0, Ipv4Addr::LOCALHOST.into(), 0);
    let mut held = unknown.reservation();
    assert!(held.try_grow(MAX - SEGMENT));
    for _ in 0..2 {
        budget.observe(Duration::from_secs(60));
    }
    (unknown, held)
}

// Guards against memory that is given to a request while the connection that was closed for it still holds it.
#[tokio::test]
async fn a_body_waits_for_the_memory_of_a_closed_connection() {
    let (budget, account) = budget(MAX);
    account.set_known(None);
    let (unknown, held) = overdue(&budget);
    let reading = tokio::spawn(async move { read(content(MAX / 2), Some(700), &account).await });
    unknown.closed().await;
    let before = reading.is_finished();

    drop((held, unknown));

    let body = reading.await.expect("a task that ends").expect("a body");
    assert!(!before);
    assert_eq!(body.data.len(), MAX / 2);
    assert!(budget.used() <= MAX as u64);
}

// Guards against requests that wait without end for a connection whose task does not run.
#[tokio::test(start_paused = true)]
async fn a_body_is_refused_if_the_memory_is_not_released() {
    let (budget, account) = budget(MAX);
    account.set_known(None);
    let (unknown, held) = overdue(&budget);

    let started = Instant::now();

    let refused = read(content(MAX / 2), Some(700), &account).await;

    assert_eq!(refused.err(), Some(BodyError::NoMemory));
    assert!(started.elapsed() > Duration::ZERO, "it was refused at once");
    drop((unknown, held));
}
