//! Reading of request bodies with limits on size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;

use crate::callers::problem::{Problem, ProblemKind};

/// Reads a whole body of at most `max_bytes` within `limit`.
///
/// # Errors
///
/// Returns a [`Problem`] when the body is too large, too slow or cut off. Such a request did not run.
pub async fn read_body(body: Body, max_bytes: usize, limit: Duration) -> Result<Bytes, Problem> {
    let read = Limited::new(body, max_bytes).collect();
    match timeout(limit, read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::not_run(
            ProblemKind::TooLarge,
            format!("the body has more than {max_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(Problem::not_run(
            ProblemKind::BadRequest,
            format!("the body cannot be read: {error}"),
        )),
        Err(_) => Err(Problem::not_run(
            ProblemKind::SlowRequest,
            "the body did not arrive in time",
        )),
    }
}
