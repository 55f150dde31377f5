//! Failure pattern: a request fails before any of it was written. It has not reached the upstream, which the
//! error must tell, since the caller may then send it again.

use std::{
    net::TcpListener,
    sync::{Arc, OnceLock},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use rstest::rstest;
use verbenahead_upstream::{Connections, ConnectionsOptions, Error, Reuse, SegmentedBody};

/// Time limit of a request that gets no answer.
const LIMIT: Duration = Duration::from_millis(300);

/// Tasks that keep a node busy. Each runs for a millisecond, so the connection is not served within the limit.
const BUSY_TASKS: usize = 600;

fn request(body: &'static str) -> Request<SegmentedBody> {
    Request::post("/call")
        .header("host", "replica")
        .body(SegmentedBody::from(Bytes::from_static(body.as_bytes())))
        .expect("a request")
}

// Guards against a promise of no run for a request that was written, and against an unknown outcome for one
// that was not, because the node had no time for it.
#[rstest]
#[case::node_without_time(BUSY_TASKS, false)]
#[case::silent_upstream(0, true)]
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_times_out_is_unknown_only_if_it_was_written(
    #[case] busy_tasks: usize,
    #[case] is_written: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a socket");
    let listener = Arc::new(listener);
    let accepted = Arc::new(OnceLock::new());
    for _ in 0..busy_tasks {
        let (listener, accepted) = (Arc::clone(&listener), Arc::clone(&accepted));
        tokio::spawn(async move {
            loop {
                if accepted.get().is_some() {
                    thread::sleep(Duration::from_millis(1));
                } else if let Ok(connection) = listener.accept() {
                    // Another thread might see the connection only after the request was written.
                    accepted.set(connection).expect("one connection");
                }
                tokio::task::yield_now().await;
            }
        });
    }

    let connections = Connections::new(ConnectionsOptions::default());
    let sent = connections.send_to(address, request("once"), Reuse::Forbidden, LIMIT);
    let error = sent.await.expect_err("no answer");

    // Without it, the case would be that of an upstream that accepts no connection.
    assert_eq!(accepted.get().is_some(), busy_tasks > 0);
    let is_unknown = error == Error::TimedOut;
    let is_not_sent = matches!(error, Error::NotSent { .. });
    assert_eq!(
        (is_unknown, is_not_sent),
        (is_written, !is_written),
        "{error}"
    );
}
