//! Streams that run through this node, until their origins are handed to the nodes that keep them in the
//! platform's table.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;
use verbenahead_core::ServiceId;
use verbenahead_membership::{NameKey, StreamKey, StreamOrigin};

/// Streams that wait at most. The oldest ones are dropped.
const MAX_WAITING: usize = 16_384;

/// `OpenStream` is a stream that began, or was taken up, through this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenStream {
    /// The stream.
    pub stream: StreamKey,
    /// Key of the software version that began it.
    pub version: NameKey,
    /// Service of its replica.
    pub service: ServiceId,
    /// Longest time for which the stream may last.
    pub period: Duration,
}

impl OpenStream {
    /// Returns the origin of the stream.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            stream: self.stream,
            version: self.version,
        }
    }
}

/// `OpenStreams` holds streams, oldest first. While one version of their service serves they wait, so that
/// they can be handed over when another version comes.
#[derive(Debug, Default)]
pub(crate) struct OpenStreams(VecDeque<(Instant, OpenStream)>);

impl OpenStreams {
    /// Adds a stream.
    pub(crate) fn push(&mut self, stream: OpenStream) {
        if self.0.len() >= MAX_WAITING {
            self.0.pop_front();
        }
        self.0.push_back((Instant::now(), stream));
    }

    /// Removes and returns at most `max` streams for whose service and period `is_mixed` holds. Drops streams
    /// that must have ended.
    pub(crate) fn take(
        &mut self,
        mut is_mixed: impl FnMut(&ServiceId, Duration) -> bool,
        max: usize,
    ) -> Vec<StreamOrigin> {
        // Calls of `is_mixed` look at all replicas, and the waiting streams have few services.
        let mut known: Vec<(ServiceId, Duration, bool)> = Vec::new();
        let mut taken = Vec::new();
        self.0.retain(|(since, open)| {
            if since.elapsed() >= open.period {
                return false;
            }
            if taken.len() >= max {
                return true;
            }
            let found = known
                .iter()
                .find(|(service, period, _)| *service == open.service && *period == open.period);
            let is_taken = match found {
                Some((_, _, is_mixed)) => *is_mixed,
                None => {
                    let is_mixed = is_mixed(&open.service, open.period);
                    known.push((open.service.clone(), open.period, is_mixed));
                    is_mixed
                }
            };
            if is_taken {
                taken.push(open.origin());
            }
            !is_taken
        });
        taken
    }
}
