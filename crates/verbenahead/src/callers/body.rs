//! Reading of request bodies with limits on size, time and memory.

use std::time::Duration;

use axum::extract::Request;
use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::units::ByteSize;
use verbenahead_relay::{
    BodyError, BodyLimits, BodyProgressOptions, MemoryAccount, drain_body, read_body as read,
};

use crate::callers::{
    problem::{Problem, ProblemKind},
    router::RETRY_AFTER,
};

/// Reads a whole body of at most `max` bytes within `limit`. Its memory counts for the account until nobody uses it.
///
/// # Errors
///
/// Returns a [`Problem`] when the body is too large, too slow or cut off, or when there is no memory for it. Such a
/// request did not run.
pub async fn read_body(
    req: Request,
    account: MemoryAccount,
    max: ByteSize,
    limit: Duration,
) -> Result<Bytes, Problem> {
    let (head, mut body) = req.into_parts();
    let limits = BodyLimits {
        max,
        deadline: Instant::now() + limit,
        progress: BodyProgressOptions::within(limit),
    };
    let whole = match read(&mut body, &account, limits).await {
        Ok(whole) => whole.into_bytes().await,
        Err(error) => Err(error),
    };
    whole.map_err(|error| {
        // Most clients read the answer once they have sent the body.
        drain_body(body, &head.headers, account, ByteSize(2 * max.0));
        problem(error, max)
    })
}

fn problem(error: BodyError, max: ByteSize) -> Problem {
    match error {
        BodyError::TooLarge => Problem::not_run(
            ProblemKind::TooLarge,
            format!("the body has more than {} bytes", max.0),
        ),
        BodyError::Invalid => Problem::not_run(ProblemKind::BadRequest, error.to_string()),
        BodyError::TimedOut => Problem::not_run(ProblemKind::SlowRequest, error.to_string()),
        BodyError::NoMemory => {
            let problem = Problem::not_run(ProblemKind::Overloaded, error.to_string());
            problem.with_retry_after(RETRY_AFTER)
        }
    }
}
