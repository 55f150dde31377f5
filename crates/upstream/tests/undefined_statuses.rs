//! Failure pattern: an upstream in trouble answers with a status that HTTP does not define.

use std::time::Duration;

use http::Request;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use verbenahead_upstream::{Connections, ConnectionsOptions, Error, Reuse, SegmentedBody};

const LIMIT: Duration = Duration::from_secs(10);

// Guards against statuses outside the range that HTTP defines, which a caller cannot interpret.
#[rstest]
#[tokio::test]
async fn a_status_that_http_does_not_define_is_no_answer(
    #[values("000", "099", "101", "600", "999", "0", "20", "0200")] status: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buf = [0; 1_024];
        let _ = stream.read(&mut buf).await?;
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).await
    });
    let connections = Connections::new(ConnectionsOptions::default());
    let req = Request::get("/call").header("host", "upstream");
    let req = req.body(SegmentedBody::default()).expect("a request");

    let sent = connections.send_to(address, req, Reuse::Forbidden, LIMIT);
    let error = sent.await.expect_err("no answer");

    assert!(
        matches!(error, Error::Malformed { .. } | Error::Interrupted { .. }),
        "{error}"
    );
}
