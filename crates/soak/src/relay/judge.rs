//! Finds out which invariants a request breaks.

use std::time::Duration;

use tokio::time::Instant;
use verbenahead_standins::users::RunEnd;

use super::{
    end_reason::{EndReason, TOLERANCE, find_reason, unplanned_signal},
    node::{APPLY, CALM, DRAIN},
    records::{Records, RequestEnd, RequestKind, RequestRecord, Run},
};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time after the acknowledgement of a configuration in which its application may disturb requests.
const AFTER_CONFIGURATION: Duration = APPLY.saturating_add(Duration::from_secs(1));

/// Time for which a run may work on after its successor began.
const SUCCESSOR_OVERLAP: Duration = Duration::from_millis(400);

/// Time in which the end of an answer reaches the caller.
const DELIVERY: Duration = Duration::from_secs(1);

/// `Invariant` is a rule that requests keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Invariant {
    /// A request that may not be repeated runs once.
    #[display("a request that may not be repeated runs once")]
    RunsOnce,
    /// A run is not continued elsewhere while it still works.
    #[display("a run is not continued while its replica still works on it")]
    NoTwoAtOnce,
    /// A refused request has not run and does not run later.
    #[display("a refused request does not run")]
    RefusedDoesNotRun,
    /// An answer belongs to its request and is exact.
    #[display("an answer is that of its request, without a gap, and whole")]
    ExactAnswer,
    /// A replica gets requests as their callers sent them.
    #[display("a replica gets what the caller sent")]
    Faithful,
    /// A replica that leaves gets no requests after the drain time.
    #[display("a leaving replica gets no requests after the drain time")]
    LeavingGetsNothing,
    /// As the one before, for a run that is continued.
    #[display("a leaving replica gets no moved runs after the drain time")]
    LeavingGetsNoMovedRun,
    /// A request ends whole or for a reason.
    #[display("a request ends whole or for a reason")]
    NotLost,
    /// As the one before, for a stream that may be resumed.
    #[display("a stream that may be resumed ends whole or for a reason")]
    ResumableNotLost,
    /// An answer that its replica has made reaches its caller.
    #[display("an answer that was made reaches its caller")]
    Delivered,
    /// A proper request is not denied.
    #[display("a proper request is not denied")]
    NotDenied,
}

/// `Verdict` is what is known of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Reason for the end.
    pub reason: EndReason,
    /// Whether a configuration may have been in force only for some nodes at the end.
    pub is_near_configuration: bool,
    /// Invariants that are broken.
    pub broken: Vec<Invariant>,
}

/// Returns what is known of a request with these runs, in the order of their begin.
pub fn judge(records: &Records, request: &RequestRecord, runs: &[Run]) -> Verdict {
    let reason = find_reason(records, request, runs);
    let is_resumable = request.kind == RequestKind::Notes;
    let checks = [
        (Invariant::RunsOnce, runs_twice(request, runs)),
        (Invariant::NoTwoAtOnce, runs_at_once(records, request, runs)),
        (
            Invariant::RefusedDoesNotRun,
            is_refused_and_run(request, runs),
        ),
        (Invariant::ExactAnswer, is_inexact(request, runs)),
        (Invariant::Faithful, runs.iter().any(|run| !run.is_faithful)),
        (
            Invariant::LeavingGetsNothing,
            runs.iter()
                .any(|run| !run.is_moved && is_sent_late(records, request, run)),
        ),
        (
            Invariant::LeavingGetsNoMovedRun,
            runs.iter()
                .any(|run| run.is_moved && is_sent_late(records, request, run)),
        ),
        (Invariant::NotLost, reason.is_loss() && !is_resumable),
        (
            Invariant::ResumableNotLost,
            reason.is_loss() && is_resumable,
        ),
        (Invariant::Delivered, is_undelivered(records, request, runs)),
        (Invariant::NotDenied, is_denied(&request.end)),
    ];
    let broken = checks.into_iter().filter(|(_, is_broken)| *is_broken);
    Verdict {
        reason,
        is_near_configuration: is_near_configuration(records, request.ended),
        broken: broken.map(|(invariant, _)| invariant).collect(),
    }
}

/// Returns whether a configuration was acknowledged so shortly before that it may disturb requests.
pub fn is_near_configuration(records: &Records, at: Instant) -> bool {
    let configurations = records.configurations();
    // The first configuration is that of the start.
    let mut later = configurations.iter().skip(1);
    later.any(|c| c.at <= at + TOLERANCE && c.at + AFTER_CONFIGURATION >= at)
}

fn runs_twice(request: &RequestRecord, runs: &[Run]) -> bool {
    let first_runs = runs.iter().filter(|run| !run.is_moved).count();
    !request.kind.is_repeatable() && first_runs > 1
}

fn runs_at_once(records: &Records, request: &RequestRecord, runs: &[Run]) -> bool {
    let works_on = |run: &Run, successor: &Run| {
        let latest = successor.at + SUCCESSOR_OVERLAP + TOLERANCE;
        run.end.is_none_or(|(_, at)| at > latest)
    };
    let mut pairs = runs.windows(2);
    pairs.any(|pair| pair[1].is_moved && works_on(&pair[0], &pair[1]))
        && unplanned_signal(records, request).is_none()
}

fn is_refused_and_run(request: &RequestRecord, runs: &[Run]) -> bool {
    let RequestEnd::Status(status) = request.end else {
        return false;
    };
    !request.kind.is_repeatable() && PROMISES.contains(&status) && !runs.is_empty()
}

fn is_inexact(request: &RequestRecord, runs: &[Run]) -> bool {
    match request.end {
        RequestEnd::Wrong(_) => true,
        // Only replicas make answers.
        RequestEnd::Complete => !runs
            .iter()
            .any(|run| matches!(run.end, Some((RunEnd::Complete, _)))),
        RequestEnd::Status(_) | RequestEnd::Closed | RequestEnd::GaveUp => false,
    }
}

/// Returns whether a run was sent to a leaving replica after the drain time, by a node and a store that were
/// undisturbed.
fn is_sent_late(records: &Records, request: &RequestRecord, run: &Run) -> bool {
    let Some(notice) = run.notice else {
        return false;
    };
    if run.at <= notice + DRAIN + TOLERANCE {
        return false;
    }
    let signals = records.signals();
    let mut of_node = signals.iter().filter(|s| s.node == request.node);
    let faults = records.store_faults();
    let is_disturbed = of_node.any(|signal| signal.overlaps(notice, run.at, CALM))
        || faults.iter().any(|fault| {
            let is_over = fault.until.is_some_and(|until| until + CALM < notice);
            fault.from <= run.at && !is_over
        });
    !is_disturbed
}

fn is_undelivered(records: &Records, request: &RequestRecord, runs: &[Run]) -> bool {
    let is_made = |run: &Run| {
        matches!(run.end, Some((RunEnd::Complete, at)) if at + DELIVERY < request.ended)
            && run.gone_at.is_none()
    };
    let is_given_up = matches!(request.end, RequestEnd::GaveUp | RequestEnd::Closed);
    is_given_up && runs.iter().any(is_made) && unplanned_signal(records, request).is_none()
}

fn is_denied(end: &RequestEnd) -> bool {
    match end {
        RequestEnd::Status(status) => (300..500).contains(status) && !PROMISES.contains(status),
        _ => false,
    }
}
