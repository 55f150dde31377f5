//! Reading of request bodies within limits on size, memory and progress.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, header::EXPECT};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use verbenahead_core::units::ByteSize;
use verbenahead_upstream::SegmentedBody;

use crate::{
    memory_budget::{MemoryAccount, MemoryReservation},
    own_answer::{OwnAnswer, OwnAnswerReason},
    relay::Relay,
};

/// Size of a segment of a body, in bytes. Segments of one size are used again for the next body; buffers that grow
/// are copied and leave holes in the heap that the next one does not fit.
const SEGMENT: usize = 16 * 1024;

/// Size of the first segment of a body that does not state its length, in bytes.
const FIRST_SEGMENT: usize = 4 * 1024;

/// Most bytes of the body of a refused request that a relay reads and drops. Its connection is kept for the
/// next request if the body ends within them.
pub(crate) const MAX_DRAINED: ByteSize = ByteSize(256 * 1024);

/// Longest time for which the rest of the body of a refused request is read.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// `BodyProgressOptions` is the least progress of a body. It applies to progress and not to age, so that a
/// large body passes over a slow link that is shared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BodyProgressOptions {
    /// Time from the begin in which no progress is required.
    pub grace: Duration,
    /// Time over which progress is measured.
    pub window: Duration,
    /// Fewest bytes per second.
    pub min_rate: u64,
}

impl Default for BodyProgressOptions {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(4),
            window: Duration::from_secs(2),
            // A 10 Mbit/s link that 150 clients share gives each about this much.
            min_rate: 8 * 1024,
        }
    }
}

impl BodyProgressOptions {
    /// Requires no progress for `limit`.
    pub fn within(limit: Duration) -> Self {
        Self {
            grace: limit,
            ..Self::default()
        }
    }
}

/// `BodyLimits` bound the body of a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body.
    pub max: ByteSize,
    /// Time at which the body must have arrived.
    pub deadline: Instant,
    /// Least progress.
    pub progress: BodyProgressOptions,
}

/// `BodyError` is the reason why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[display("the body is larger than the limit")]
    TooLarge,
    /// It did not arrive in time.
    #[display("the body did not arrive in time")]
    TimedOut,
    /// There is no memory for it.
    #[display("there is no memory for the body")]
    NoMemory,
    /// It is malformed or was cut off.
    #[display("the body is malformed or was cut off")]
    Invalid,
}

/// `ReadBody` is a complete body with the memory reserved for it.
#[derive(Debug)]
pub struct ReadBody {
    /// The body.
    pub data: SegmentedBody,
    /// Memory that its segments take.
    pub reservation: MemoryReservation,
}

impl ReadBody {
    /// Returns the body in one piece, whose memory is reserved as long as anybody uses it.
    ///
    /// # Errors
    ///
    /// [`BodyError::NoMemory`] if there is no memory to copy its segments.
    pub async fn into_bytes(self) -> Result<Bytes, BodyError> {
        let Self { data, reservation } = self;
        if data.segments().len() <= 1 {
            return Ok(reservation.hold(data.to_bytes()));
        }
        let mut whole = reservation.another();
        match whole.grow(data.len()).await {
            true => Ok(whole.hold(data.to_bytes())),
            false => Err(BodyError::NoMemory),
        }
    }
}

/// Segments of a body that arrives, with the memory reserved for them.
struct SegmentBuffer {
    full: Vec<Bytes>,
    open: Vec<u8>,
    /// Bytes that arrived.
    arrived: usize,
    /// Length that the request states.
    length: Option<usize>,
    reservation: MemoryReservation,
}

impl SegmentBuffer {
    /// Adds a chunk. Returns whether there is memory for it.
    async fn push(&mut self, mut chunk: &[u8]) -> bool {
        while !chunk.is_empty() {
            let mut room = self.open.capacity() - self.open.len();
            if room == 0 {
                room = self.next_size();
                if !self.reservation.grow(room).await {
                    return false;
                }
                let full = std::mem::replace(&mut self.open, Vec::with_capacity(room));
                self.full.push(Bytes::from(full));
            }
            let (fitting, rest) = chunk.split_at(chunk.len().min(room));
            self.open.extend_from_slice(fitting);
            self.arrived += fitting.len();
            chunk = rest;
        }
        true
    }

    /// Returns the size of the next segment.
    fn next_size(&self) -> usize {
        match self.length {
            Some(length) => length.saturating_sub(self.arrived).clamp(1, SEGMENT),
            None if self.arrived == 0 => FIRST_SEGMENT,
            None => SEGMENT,
        }
    }

    fn finish(mut self) -> ReadBody {
        self.full.push(Bytes::from(self.open));
        ReadBody {
            data: SegmentedBody::from(self.full),
            reservation: self.reservation,
        }
    }
}

/// Reads a body, whose memory is reserved from the account of its connection.
///
/// # Errors
///
/// Returns the reason why the body was not read to its end.
pub async fn read_body<B>(
    body: &mut B,
    account: &MemoryAccount,
    limits: BodyLimits,
) -> Result<ReadBody, BodyError>
where
    B: Body<Data = Bytes> + Send + Unpin,
{
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.max.0) {
        return Err(BodyError::TooLarge);
    }
    account.set_reading_body(true);
    let mut buf = SegmentBuffer {
        full: Vec::new(),
        open: Vec::new(),
        arrived: 0,
        length: length.map(|length| length as usize),
        reservation: account.reservation(),
    };
    let read = fill(body, &mut buf, limits).await;
    account.set_reading_body(false);
    read.map(|()| buf.finish())
}

async fn fill<B>(body: &mut B, buf: &mut SegmentBuffer, limits: BodyLimits) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Send + Unpin,
{
    let BodyLimits {
        max,
        deadline,
        progress,
    } = limits;
    let least = (progress.min_rate as f64 * progress.window.as_secs_f64()) as usize;
    let mut window_end = Instant::now() + progress.grace;
    let mut window_bytes = 0;
    while !body.is_end_stream() {
        let frame = match timeout_at(window_end.min(deadline), body.frame()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            Err(_) if window_bytes >= least && Instant::now() < deadline => {
                window_bytes = 0;
                window_end = Instant::now() + progress.window;
                continue;
            }
            Err(_) => return Err(BodyError::TimedOut),
        };
        let frame = frame.map_err(|_| BodyError::Invalid)?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        window_bytes += chunk.len();
        if (buf.arrived + chunk.len()) as u64 > max.0 {
            return Err(BodyError::TooLarge);
        }
        if !buf.push(&chunk).await {
            return Err(BodyError::NoMemory);
        }
        if Instant::now() >= window_end {
            if window_bytes < least {
                return Err(BodyError::TimedOut);
            }
            window_bytes = 0;
            window_end = Instant::now() + progress.window;
        }
    }
    Ok(())
}

impl Relay {
    /// Reads a body of at most `max` bytes until `deadline`.
    pub(crate) async fn read_body<B>(
        &self,
        body: &mut B,
        account: &MemoryAccount,
        max: ByteSize,
        deadline: Instant,
    ) -> Result<ReadBody, OwnAnswer>
    where
        B: Body<Data = Bytes> + Send + Unpin,
    {
        let limits = BodyLimits {
            max,
            deadline,
            progress: self.options.body_progress,
        };
        let read = read_body(body, account, limits).await;
        read.map_err(|error| match error {
            BodyError::TooLarge => OwnAnswer::new(OwnAnswerReason::BodyTooLarge),
            BodyError::TimedOut => OwnAnswer::new(OwnAnswerReason::BodyTimeout),
            BodyError::Invalid => OwnAnswer::new(OwnAnswerReason::InvalidRequest),
            BodyError::NoMemory => {
                let delay = self.options.not_ready_delay;
                OwnAnswer::retry_after(OwnAnswerReason::NoMemory, delay)
            }
        })
    }
}

/// Reads and drops at most `max` bytes of what is left of the body of a refused request while its answer is sent. The client may
/// not read the answer before it has sent the body, and a connection that is closed with data unread loses
/// the answer. The HTTP library closes the connection if the body does not end within the bounds.
pub fn drain<B>(mut body: B, headers: &HeaderMap, account: MemoryAccount, max: ByteSize)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    // A client that waits for `100 Continue` must not be asked for a body that is not wanted.
    if body.is_end_stream() || headers.contains_key(EXPECT) {
        return;
    }
    tokio::spawn(async move {
        let until = Instant::now() + DRAIN_TIMEOUT;
        let mut drained = 0;
        while drained < max.0
            && let Ok(Some(Ok(frame))) = timeout_at(until, body.frame()).await
        {
            drained += frame.data_ref().map_or(0, Bytes::len) as u64;
        }
        if body.is_end_stream() {
            account.set_idle();
        }
    });
}
