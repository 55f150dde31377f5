//! The beginning of the response to a request: a complete body, or a stream up to its first event.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use verbenahead_upstream::UpstreamBody;

use crate::{
    attempt::{Answered, Attempt},
    exchange::Exchange,
    memory_budget::MemoryReservation,
    own_answer::OwnAnswer,
    response_body::ResponseBody,
    stream,
};

impl Exchange {
    /// Reads a complete response. If it breaks off and the request may be repeated, reads one from
    /// another replica. A response above the size limit is forwarded as it arrives.
    pub(crate) async fn buffer_response(&mut self) -> Result<StartedResponse, OwnAnswer> {
        loop {
            let mut attempt = self.next_attempt().await?;
            let mut memory = self.memory.another();
            let read = read_full_body(
                attempt.body_mut(),
                self.relay.options.max_buffered_response.0,
                &mut memory,
                self.deadline,
            );
            match read.await {
                Ok(body) => {
                    let is_server_error = attempt.head().status.is_server_error();
                    if is_server_error && self.check_retry(false).is_ok() {
                        self.log_server_error(&attempt);
                        attempt.finish();
                        continue;
                    }
                    return Ok(StartedResponse::Whole(self.forward(attempt, body, memory)));
                }
                Err(ReadBodyError::TooLarge(start)) => {
                    let stream = stream::OpenStream::bytes(attempt, memory.hold(start));
                    return Ok(StartedResponse::Stream(Box::new(stream)));
                }
                Err(ReadBodyError::Interrupted(reason)) => {
                    self.log_broken_off(&attempt, &reason);
                    self.record_break(&attempt.upstream);
                    attempt.fail();
                    self.check_retry(false)?;
                }
                Err(ReadBodyError::TimedOut) => {
                    attempt.fail();
                    return Err(self.out_of_time());
                }
            }
        }
    }

    /// Builds the response to the caller from a complete response of a replica.
    fn forward(
        &self,
        attempt: Attempt<Answered>,
        body: Bytes,
        memory: MemoryReservation,
    ) -> Response<ResponseBody> {
        let mut response = self.response_head(attempt.head().status, &attempt.head().headers);
        attempt.finish();
        *response.body_mut() = ResponseBody::whole_within(body, memory);
        response
    }

    /// Opens a stream and reads it up to its first complete event.
    pub(crate) async fn open_stream(&mut self) -> Result<StartedResponse, OwnAnswer> {
        loop {
            let attempt = self.next_attempt().await?;
            if !attempt.head().status.is_success() {
                if let Some(response) = self.forward_stream_error(attempt).await? {
                    return Ok(StartedResponse::Whole(response));
                }
                continue;
            }
            let upstream = Arc::clone(&attempt.upstream);
            let may_leave =
                self.route.retry_safety.is_repeatable() && attempt.passed_on_by().is_none();
            let waiting = stream::first_event(attempt, self.memory.another(), self.deadline);
            tokio::pin!(waiting);
            let first = tokio::select! {
                biased;
                first = &mut waiting => Some(first),
                () = self.relay.direct_paths.wait_cut(&upstream), if may_leave => None,
                () = self.wait_quarantined() => return Err(self.cancelled()),
            };
            let first = match first {
                Some(first) => first,
                None => Box::pin(self.first_of_two(waiting, &upstream)).await?,
            };
            match first {
                Ok(stream) => return Ok(StartedResponse::Stream(Box::new(stream))),
                Err((attempt, error)) => {
                    self.log_broken_off(&attempt, &error.to_string());
                    if error == stream::FirstEventError::TimedOut {
                        attempt.fail();
                        return Err(self.out_of_time());
                    }
                    self.record_break(&attempt.upstream);
                    attempt.fail();
                    self.check_retry(false)?;
                }
            }
        }
    }

    /// Forwards a replica's response without a success status. Returns `None` if another attempt
    /// should be made instead.
    async fn forward_stream_error(
        &mut self,
        mut attempt: Attempt<Answered>,
    ) -> Result<Option<Response<ResponseBody>>, OwnAnswer> {
        let limit = self.relay.options.max_buffered_response.0;
        let mut memory = self.memory.another();
        let body = read_full_body(attempt.body_mut(), limit, &mut memory, self.deadline).await;
        let is_server_error = attempt.head().status.is_server_error();
        if is_server_error && self.check_retry(false).is_ok() {
            self.log_server_error(&attempt);
            attempt.finish();
            return Ok(None);
        }
        match body {
            Ok(body) => Ok(Some(self.forward(attempt, body, memory))),
            Err(_) => {
                attempt.fail();
                Err(self.given_up())
            }
        }
    }

    /// Logs that a response broke off before any of it was forwarded.
    pub(crate) fn log_broken_off(&self, attempt: &Attempt<Answered>, reason: &str) {
        tracing::info!(
            request = %self.caller.id,
            upstream = %attempt.upstream.address.upstream,
            attempt = self.progress.attempts,
            fingerprint = %self.content.fingerprint(),
            parts = self.part_ids(),
            reason,
            "answer broke off",
        );
    }

    fn log_server_error(&self, attempt: &Attempt<Answered>) {
        tracing::info!(
            request = %self.caller.id,
            upstream = %attempt.upstream.address.upstream,
            status = attempt.head().status.as_u16(),
            attempt = self.progress.attempts,
            "replica failed the request",
        );
    }
}

/// `StartedResponse` is a response of which at least the first part has arrived.
pub(crate) enum StartedResponse {
    /// The response is complete.
    Whole(Response<ResponseBody>),
    /// More of the body follows.
    Stream(Box<stream::OpenStream>),
}

/// `ReadBodyError` is the reason why a body was not read completely.
enum ReadBodyError {
    /// The body is larger than the limit, or there is no memory to buffer it. Contains the bytes read so far.
    TooLarge(Bytes),
    /// The replica broke off the body.
    Interrupted(String),
    /// The deadline of the request passed.
    TimedOut,
}

async fn read_full_body(
    body: &mut UpstreamBody,
    limit: u64,
    memory: &mut MemoryReservation,
    deadline: Instant,
) -> Result<Bytes, ReadBodyError> {
    let mut collected = BytesMut::new();
    let mut has_memory = true;
    while !body.is_end_stream() {
        let Ok(frame) = timeout_at(deadline, body.frame()).await else {
            return Err(ReadBodyError::TimedOut);
        };
        match frame {
            None => break,
            Some(Err(error)) => return Err(ReadBodyError::Interrupted(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    has_memory = memory.try_grow(data.len());
                    collected.extend_from_slice(&data);
                }
            }
        }
        if collected.len() as u64 > limit || !has_memory {
            return Err(ReadBodyError::TooLarge(collected.freeze()));
        }
    }
    Ok(collected.freeze())
}
