//! Finds out why requests ended, and which invariants they break.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use tokio::time::Instant;

use super::{
    fleet::Fleet,
    node::{APPLY, GRACE},
    records::{RequestEnd, RequestKind, RequestRecord, SignalRecord, lock},
    schedule::NodeSignal,
};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time before the end of a request in which a configuration counts as recent.
const RECENT: Duration = Duration::from_secs(5);

/// Tolerance in the comparison of times of different observers.
const TOLERANCE: Duration = Duration::from_millis(60);

/// Time after a freeze in which ends still count as its consequence.
const THAW: Duration = Duration::from_secs(1);

/// `EndReason` is the reason for the end of a stream that may not be repeated.
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
    /// No replica has run it.
    #[display("not passed on")]
    NotPassedOn,
    /// A signal was sent to its node.
    #[display("node {_0}")]
    Node(NodeSignal),
    /// The caller's deadline or the timeout at its admission was reached.
    #[display("deadline")]
    Deadline,
    /// The timeout of a configuration after its admission was reached.
    #[display("later timeout")]
    LaterTimeout,
    /// Its replica has exited.
    #[display("replica gone")]
    ReplicaGone,
    /// Its replica broke it off.
    #[display("replica broke off")]
    ReplicaBrokeOff,
    /// None of these, and a replica of it treated moves in an irregular way.
    #[display("lost, moves irregular")]
    LostAfterMove,
    /// None of these.
    #[display("lost")]
    Lost,
}

/// `Run` is a run of a request at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    /// Index of the replica in the fleet.
    pub replica: usize,
    /// Time at which the replica received the request.
    pub at: Instant,
    /// Whether it continues a run that was moved.
    pub is_moved: bool,
}

/// `RunsById` holds the runs of all replicas by the id of the request.
pub type RunsById = HashMap<String, Vec<Run>>;

/// Reads the runs of all replicas.
pub fn read_runs(fleet: &Fleet) -> RunsById {
    let mut runs = RunsById::new();
    for (replica, slot) in lock(&fleet.replicas).iter().enumerate() {
        for run in slot.standin.runs() {
            runs.entry(run.id).or_default().push(Run {
                replica,
                at: run.at,
                is_moved: run.headers.contains_key("kv-from"),
            });
        }
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.at);
    }
    runs
}

/// `Verdict` is what is known of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Reason for the end.
    pub reason: EndReason,
    /// Whether a configuration was acknowledged shortly before.
    pub is_near_configuration: bool,
    /// Invariant that is broken, if any.
    pub broken: Option<&'static str>,
}

/// Returns what is known of a request with these runs.
pub fn judge(fleet: &Fleet, request: &RequestRecord, runs: &[Run]) -> Verdict {
    let reason = reason(fleet, request, runs);
    let first_runs = runs.iter().filter(|run| !run.is_moved).count();
    let is_once = !request.kind.is_repeatable();
    let is_draft = request.kind == RequestKind::Draft;
    let broken = match (&request.end, reason) {
        _ if is_once && first_runs > 1 => Some("a request that may not be repeated runs once"),
        (RequestEnd::Status(status), _)
            if is_once && PROMISES.contains(status) && !runs.is_empty() =>
        {
            Some("a refused request does not run")
        }
        (RequestEnd::Wrong(_), _) => {
            Some("an answer is that of its request, without a gap, and whole")
        }
        (_, EndReason::Lost | EndReason::LostAfterMove) if is_draft => {
            Some("a stream that may not be repeated ends for a reason")
        }
        _ => None,
    };
    let configurations = fleet.records.configurations();
    // The first configuration is that of the start.
    let mut later = configurations.iter().skip(1);
    let is_near = later.any(|c| c.at <= request.ended && c.at + RECENT >= request.ended);
    Verdict {
        reason,
        is_near_configuration: is_near,
        broken,
    }
}

fn reason(fleet: &Fleet, request: &RequestRecord, runs: &[Run]) -> EndReason {
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
    let signals = fleet.records.signals();
    let signal = signals.iter().find(|signal| has_hit(signal, request));
    if let Some(signal) = signal {
        return EndReason::Node(signal.signal);
    }
    let Some(last) = runs.last() else {
        return EndReason::NotPassedOn;
    };
    let elapsed = request.ended - request.started + TOLERANCE;
    if elapsed >= request.patience || Some(elapsed) >= timeout_at_admission(fleet, request) {
        return EndReason::Deadline;
    }
    let replicas = lock(&fleet.replicas);
    let replica = lock(&replicas[last.replica].state);
    if replica
        .gone_at
        .is_some_and(|at| at <= request.ended + TOLERANCE)
    {
        return EndReason::ReplicaGone;
    }
    let is_faulty = |(_, from, until): &(_, Instant, Option<Instant>)| {
        last.at + TOLERANCE >= *from && until.is_none_or(|until| last.at <= until + TOLERANCE)
    };
    if replica.stream_faults.iter().any(is_faulty) {
        return EndReason::ReplicaBrokeOff;
    }
    drop(replica);
    let configurations = fleet.records.configurations();
    let mut later = configurations.iter();
    let is_later = |at| at > request.started && at <= request.ended;
    if later
        .any(|c| is_later(c.at) && elapsed >= c.stream_timeout && c.stream_timeout + THAW > elapsed)
    {
        return EndReason::LaterTimeout;
    }
    let is_irregular = |run: &Run| lock(&replicas[run.replica].state).has_irregular_moves;
    match runs.iter().any(is_irregular) {
        true => EndReason::LostAfterMove,
        false => EndReason::Lost,
    }
}

/// Returns whether a signal to the node of a request may have ended it.
fn has_hit(signal: &SignalRecord, request: &RequestRecord) -> bool {
    let after = match signal.signal {
        NodeSignal::Terminated => GRACE,
        NodeSignal::Killed | NodeSignal::Frozen => THAW,
    };
    let until = signal.until.map(|until| until + after);
    signal.node == request.node
        && signal.from <= request.ended + TOLERANCE
        && until.is_none_or(|until| request.started <= until)
}

/// Returns the shortest timeout that a node may have had in force when it admitted the request.
fn timeout_at_admission(fleet: &Fleet, request: &RequestRecord) -> Option<Duration> {
    let configurations = fleet.records.configurations();
    let oldest = request
        .started
        .checked_sub(APPLY + RECENT)
        .unwrap_or(request.started);
    let mut possible = Vec::new();
    for (n, configuration) in configurations.iter().enumerate() {
        let replaced_at = configurations.get(n + 1).map(|next| next.at);
        let is_replaced = replaced_at.is_some_and(|at| at < oldest);
        if configuration.at <= request.started + TOLERANCE && !is_replaced {
            possible.push(configuration.stream_timeout);
        }
    }
    possible.into_iter().min()
}
