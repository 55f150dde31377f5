//! Finds out why requests ended.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;
use verbenahead_standins::users::RunEnd;

use super::{
    configuration::PLAIN_TIMEOUT,
    node::{APPLY, CALM, GRACE},
    records::{Records, RequestEnd, RequestRecord, Run, SignalRecord},
    schedule::NodeSignal,
};

/// Tolerance in the comparison of times of different observers.
pub const TOLERANCE: Duration = Duration::from_millis(60);

/// Time after a freeze or a start in which ends still count as its consequence.
const THAW: Duration = Duration::from_secs(1);

/// Time in which a node admits a request that was sent to it.
const ADMISSION: Duration = Duration::from_millis(500);

/// Longest delay of an end at a timeout.
const TIMEOUT_DELAY: Duration = Duration::from_millis(500);

/// Time after which a request that was sent counts as read.
const READ_TIME: Duration = Duration::from_millis(200);

/// Time after SIGTERM until which requests may still be at work at the end of the grace time.
const LATE_WORK: Duration = Duration::from_secs(3);

/// Time before the exit of a replica in which the end of its answer may be lost.
const EXIT_LOSS: Duration = Duration::from_millis(50);

/// `EndReason` is the reason for the end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndReason {
    /// It is complete, from one replica.
    #[display("complete")]
    Complete,
    /// It is complete, and its run was moved.
    #[display("complete after a move")]
    CompleteAfterMove,
    /// Answered with another status than 200.
    #[display("status {_0}")]
    Status(u16),
    /// The answer is wrong.
    #[display("wrong answer")]
    Wrong,
    /// Its node was killed or frozen.
    #[display("node {_0}")]
    Node(NodeSignal),
    /// The caller's deadline was reached.
    #[display("deadline")]
    Deadline,
    /// The timeout that its route had at its admission was reached.
    #[display("timeout")]
    Timeout,
    /// The timeout of a configuration after its admission was reached.
    #[display("later timeout")]
    LaterTimeout,
    /// Its replica exited or broke it off, before its node did.
    #[display("replica broke off")]
    ReplicaBrokeOff,
    /// It was still at work at the end of the grace time of its node.
    #[display("grace time used up")]
    GraceUsedUp,
    /// Its connection was closed before it was read.
    #[display("not read")]
    NotRead,
    /// It was read, and neither passed on nor answered.
    #[display("lost, not passed on")]
    LostUnsent,
    /// None of these, while its node drained.
    #[display("lost, node drains")]
    LostAtDrain,
    /// None of these, and its run was moved or stopped.
    #[display("lost, run moved")]
    LostAtMove,
    /// None of these.
    #[display("lost")]
    Lost,
}

impl EndReason {
    /// Returns whether the request is lost.
    pub fn is_loss(self) -> bool {
        matches!(
            self,
            Self::LostUnsent | Self::LostAtDrain | Self::LostAtMove | Self::Lost
        )
    }

    /// Returns whether the nodes ended the request by themselves.
    pub fn is_cut(self) -> bool {
        self.is_loss() || matches!(self, Self::GraceUsedUp | Self::LaterTimeout)
    }
}

impl SignalRecord {
    /// Returns whether the node was disturbed between these times, or shortly before.
    pub fn overlaps(&self, from: Instant, until: Instant, after: Duration) -> bool {
        let is_over = self.until.is_some_and(|end| end + after < from);
        self.from <= until + TOLERANCE && !is_over
    }
}

/// Returns the reason for the end of a request with these runs, in the order of their begin.
pub fn find_reason(records: &Records, request: &RequestRecord, runs: &[Run]) -> EndReason {
    match &request.end {
        RequestEnd::Complete if runs.iter().any(|run| run.is_moved) => {
            return EndReason::CompleteAfterMove;
        }
        RequestEnd::Complete => return EndReason::Complete,
        RequestEnd::Status(status) => return EndReason::Status(*status),
        RequestEnd::Wrong(_) => return EndReason::Wrong,
        RequestEnd::GaveUp => return EndReason::Deadline,
        RequestEnd::Closed => {}
    }
    let elapsed = request.ended - request.started;
    if let Some(signal) = unplanned_signal(records, request) {
        return EndReason::Node(signal);
    }
    if elapsed + TOLERANCE >= request.patience {
        return EndReason::Deadline;
    }
    let is_reached =
        |timeout: &Duration| elapsed + TOLERANCE >= *timeout && elapsed <= *timeout + TIMEOUT_DELAY;
    if timeouts_at_admission(records, request)
        .iter()
        .any(is_reached)
    {
        return EndReason::Timeout;
    }
    let Some(last) = runs.last() else {
        return match elapsed <= READ_TIME + TOLERANCE {
            true => EndReason::NotRead,
            false => EndReason::LostUnsent,
        };
    };
    if has_broken_off(last, request.ended) {
        return EndReason::ReplicaBrokeOff;
    }
    if later_timeouts(records, request).iter().any(is_reached) {
        return EndReason::LaterTimeout;
    }
    if let Some(at) = terminated_at(records, request) {
        return match uses_up_grace(at, request, last) {
            true => EndReason::GraceUsedUp,
            false => EndReason::LostAtDrain,
        };
    }
    let is_stopped = |run: &Run| matches!(run.end, Some((RunEnd::Stopped, _)));
    match runs.iter().any(|run| run.is_moved || is_stopped(run)) {
        true => EndReason::LostAtMove,
        false => EndReason::Lost,
    }
}

/// Returns the kill or freeze of the node of a request that may have ended it.
pub fn unplanned_signal(records: &Records, request: &RequestRecord) -> Option<NodeSignal> {
    let signals = records.signals();
    let mut unplanned = signals
        .iter()
        .filter(|signal| signal.node == request.node && signal.signal != NodeSignal::Terminated);
    unplanned
        .find(|signal| signal.overlaps(request.started, request.ended, THAW))
        .map(|signal| signal.signal)
}

/// Returns the time of the SIGTERM to the node of a request that it may have ended by.
fn terminated_at(records: &Records, request: &RequestRecord) -> Option<Instant> {
    let signals = records.signals();
    let mut planned = signals
        .iter()
        .filter(|signal| signal.node == request.node && signal.signal == NodeSignal::Terminated);
    planned
        .find(|signal| signal.overlaps(request.started, request.ended, Duration::ZERO))
        .map(|signal| signal.from)
}

/// Returns whether a run was still at work in the last sixth of the grace time.
fn uses_up_grace(terminated: Instant, request: &RequestRecord, last: &Run) -> bool {
    let last_sixth = terminated + GRACE / 6 * 5;
    let worked_until = last.end.map_or(request.ended, |(_, at)| at);
    request.started <= terminated + LATE_WORK
        && request.ended + TOLERANCE >= last_sixth
        && worked_until + TOLERANCE >= last_sixth
}

/// Returns whether the replica of a run ended it, at `ended` at the latest.
fn has_broken_off(run: &Run, ended: Instant) -> bool {
    let by = ended + TOLERANCE;
    match run.end {
        Some((RunEnd::BrokenOff | RunEnd::Exited, at)) => at <= by,
        Some((RunEnd::Complete, at)) => run
            .gone_at
            .is_some_and(|gone| gone <= by && gone <= at + EXIT_LOSS),
        Some((RunEnd::Stopped | RunEnd::CallerLeft, _)) | None => false,
    }
}

/// Returns the timeouts that a node may have had in force when it admitted a request.
pub fn timeouts_at_admission(records: &Records, request: &RequestRecord) -> Vec<Duration> {
    if !request.kind.is_stream() {
        return vec![PLAIN_TIMEOUT];
    }
    let configurations = records.configurations();
    let is_replaced = |index: usize| {
        let next = configurations.get(index + 1);
        next.is_some_and(|next| is_applied(records, request, next.at))
    };
    let possible = configurations
        .iter()
        .enumerate()
        .filter(|(n, c)| c.at <= request.started + ADMISSION && !is_replaced(*n));
    possible.map(|(_, c)| c.stream_timeout).collect()
}

/// Returns whether the node of a request must have applied a configuration when the request was sent. The
/// time to apply it begins once the store and the node are undisturbed.
fn is_applied(records: &Records, request: &RequestRecord, published: Instant) -> bool {
    let signals = records.signals();
    let of_node = signals.iter().filter(|s| s.node == request.node);
    let signals = of_node.map(|s| (s.from, s.until));
    let faults = records.store_faults();
    let disturbances = signals.chain(faults.iter().map(|f| (f.from, f.until)));
    let mut calm_from = published;
    for (from, until) in disturbances {
        let Some(until) = until else {
            if from <= request.started {
                return false;
            }
            continue;
        };
        if from <= request.started && until + CALM >= published {
            calm_from = calm_from.max(until + CALM);
        }
    }
    calm_from + APPLY + TOLERANCE < request.started
}

/// Returns the timeouts of the configurations since the admission of a request.
pub fn later_timeouts(records: &Records, request: &RequestRecord) -> Vec<Duration> {
    if !request.kind.is_stream() {
        return Vec::new();
    }
    let configurations = records.configurations();
    let later = configurations
        .iter()
        .filter(|c| c.at > request.started + ADMISSION && c.at <= request.ended);
    later.map(|c| c.stream_timeout).collect()
}
