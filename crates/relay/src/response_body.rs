//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::{
    sync::{
        Notify,
        mpsc::{self, error::TrySendError},
    },
    time::{Instant, timeout_at},
};

use crate::memory_budget::MemoryReservation;

/// `CutOff` aborts a response body, so that the caller sees it as incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the response body was cut off before its end")]
pub struct CutOff;

/// `ResponseBody` is the body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is fully in memory.
    Whole(Full<Bytes>),
    /// A body whose chunks arrive through a channel.
    Streamed(StreamedBody),
}

/// `StreamedBody` is a body whose chunks a [`BodySender`] sends. It is cut off when the sender is dropped
/// before it completed the body.
#[derive(Debug)]
pub struct StreamedBody {
    rx: mpsc::Receiver<Bytes>,
    buffered: Arc<Buffered>,
    is_complete: Arc<AtomicBool>,
    /// Length of the body in bytes, if it is known beforehand.
    length: Option<u64>,
}

/// `BodySender` sends the chunks of a body.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Bytes>,
    buffered: Arc<Buffered>,
    is_complete: Arc<AtomicBool>,
}

/// `ReadAhead` bounds what is buffered of a streamed body.
#[derive(Debug)]
pub struct ReadAhead {
    /// Most chunks.
    pub max_chunks: usize,
    /// Bytes from which no further chunk is buffered.
    pub max_bytes: usize,
    /// Reservation that holds the memory of the buffered chunks.
    pub memory: Option<MemoryReservation>,
}

/// `Buffered` counts the bytes that were sent and not taken.
#[derive(Debug)]
struct Buffered {
    bytes: AtomicUsize,
    max_bytes: usize,
    room: Notify,
    memory: Mutex<Option<MemoryReservation>>,
}

impl Buffered {
    fn has_room(&self) -> bool {
        self.bytes.load(Ordering::Acquire) < self.max_bytes
    }

    fn add(&self, bytes: usize) {
        let before = self.bytes.fetch_add(bytes, Ordering::AcqRel);
        self.reserve(before + bytes);
    }

    fn take(&self, bytes: usize) {
        let before = self.bytes.fetch_sub(bytes, Ordering::AcqRel);
        self.reserve(before - bytes);
        self.room.notify_one();
    }

    fn reserve(&self, bytes: usize) {
        let mut memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(memory) = memory.as_mut() {
            memory.set(bytes as u64);
        }
    }
}

/// `BodyPermit` is room for one chunk.
pub(crate) struct BodyPermit<'a> {
    permit: mpsc::Permit<'a, Bytes>,
    buffered: &'a Buffered,
}

impl BodyPermit<'_> {
    /// Sends the chunk.
    pub(crate) fn send(self, chunk: Bytes) {
        self.buffered.add(chunk.len());
        self.permit.send(chunk);
    }
}

/// `BodyDropped` is the error of a chunk that nobody will receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the response body was dropped")]
pub struct BodyDropped;

/// `SendChunkError` is the reason why a chunk was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendChunkError {
    /// The body was dropped.
    Dropped,
    /// There was no room until the deadline.
    TimedOut,
}

impl BodySender {
    /// Sends the next chunk, once there is room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was dropped.
    pub async fn send(&self, chunk: Bytes) -> Result<(), BodyDropped> {
        self.reserve().await?.send(chunk);
        Ok(())
    }

    /// Sends the next chunk, if there is room for it until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was dropped or there was no room.
    pub(crate) async fn send_until(
        &self,
        chunk: Bytes,
        deadline: Instant,
    ) -> Result<(), SendChunkError> {
        if self.buffered.has_room() {
            match self.tx.try_reserve() {
                Ok(permit) => {
                    self.buffered.add(chunk.len());
                    permit.send(chunk);
                    return Ok(());
                }
                Err(TrySendError::Closed(())) => return Err(SendChunkError::Dropped),
                Err(TrySendError::Full(())) => {}
            }
        }
        match timeout_at(deadline, self.send(chunk)).await {
            Ok(sent) => sent.map_err(|BodyDropped| SendChunkError::Dropped),
            Err(_) => Err(SendChunkError::TimedOut),
        }
    }

    /// Waits for room for a chunk, which is taken by the returned permit.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was dropped.
    pub(crate) async fn reserve(&self) -> Result<BodyPermit<'_>, BodyDropped> {
        while !self.buffered.has_room() {
            tokio::select! {
                () = self.buffered.room.notified() => {}
                () = self.tx.closed() => return Err(BodyDropped),
            }
        }
        let permit = self.tx.reserve().await.map_err(|_| BodyDropped)?;
        Ok(BodyPermit {
            permit,
            buffered: &self.buffered,
        })
    }

    /// Marks the body as complete. The chunks that were sent are all that it has.
    pub fn complete(self) {
        self.is_complete.store(true, Ordering::Release);
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Returns whether the body was dropped.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

impl ResponseBody {
    /// Builds a body from bytes that are fully in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// Builds a body from bytes that are fully in memory, which `memory` holds until they are sent.
    pub(crate) fn whole_within(bytes: Bytes, memory: MemoryReservation) -> Self {
        Self::whole(memory.hold(bytes))
    }

    /// Builds a body whose chunks are sent one by one, and holds back at most `max_buffered` of them. `length`
    /// is its length in bytes, if it is known.
    pub fn streamed(max_buffered: usize, length: Option<u64>) -> (BodySender, Self) {
        let read_ahead = ReadAhead {
            max_chunks: max_buffered,
            max_bytes: usize::MAX,
            memory: None,
        };
        Self::streamed_within(read_ahead, length)
    }

    /// Builds a body whose chunks are sent one by one, of which no more than `read_ahead` are held back.
    pub fn streamed_within(read_ahead: ReadAhead, length: Option<u64>) -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(read_ahead.max_chunks);
        let is_complete = Arc::<AtomicBool>::default();
        let buffered = Arc::new(Buffered {
            bytes: AtomicUsize::new(0),
            max_bytes: read_ahead.max_bytes,
            room: Notify::new(),
            memory: Mutex::new(read_ahead.memory),
        });
        let body = StreamedBody {
            rx,
            buffered: Arc::clone(&buffered),
            is_complete: Arc::clone(&is_complete),
            length,
        };
        let sender = BodySender {
            tx,
            buffered,
            is_complete,
        };
        (sender, Self::Streamed(body))
    }
}

impl StreamedBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, CutOff>>> {
        self.rx.poll_recv(cx).map(|chunk| match chunk {
            Some(chunk) => {
                self.buffered.take(chunk.len());
                Some(Ok(chunk))
            }
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(CutOff)),
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let poll = Pin::new(body).poll_frame(cx);
                poll.map_err(|never: Infallible| match never {})
            }
            Self::Streamed(body) => {
                let poll = body.poll_chunk(cx);
                poll.map(|item| item.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(body) => body
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
