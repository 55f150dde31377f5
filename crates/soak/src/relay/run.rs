//! A complete run: start, events under load, checks.

use std::{sync::Arc, time::Duration};

use anyhow::Result;
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep_until},
};

use super::{
    caller::RelayCaller,
    classify::{Run, RunsById, judge, read_runs},
    faults::{apply, check_log},
    fleet::Fleet,
    options::RelaySoakOptions,
    records::{RequestKind, RequestRecord, lock},
    report::{EndCount, RelayOutcome, RelayReport, Violation},
    schedule::{Event, draw},
};
use crate::run::StopFlag;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time after the end of a request at which it is judged. Its replica may still be about to exit, and a
/// refused request may run late.
const SETTLE: Duration = Duration::from_secs(2);

/// Violations that are kept with their log lines.
const MAX_VIOLATIONS: usize = 20;

/// Log lines of a replica that are kept beside those of a request.
const MAX_REPLICA_LINES: usize = 25;

/// Message of a line about the move of a run.
const MOVE_MESSAGE: &str = "\"stream leaves its replica\"";

struct RelaySoak {
    options: RelaySoakOptions,
    fleet: Arc<Fleet>,
    judged: usize,
    outcome: RelayOutcome,
}

/// Runs the schedule of a seed to its end. Violations do not end the run.
///
/// # Errors
///
/// When the program has not been built, something does not start, or a node panics or does not end
/// after SIGTERM.
pub async fn run(options: RelaySoakOptions) -> Result<RelayOutcome> {
    let fleet = Arc::new(Fleet::start(&options).await?);
    let report = RelayReport {
        seed: options.seed,
        seconds: options.time.as_secs(),
        nodes: options.nodes,
        ..RelayReport::default()
    };
    let mut soak = RelaySoak {
        options,
        fleet,
        judged: 0,
        outcome: RelayOutcome {
            report,
            violations: Vec::new(),
        },
    };
    soak.execute().await?;
    Ok(soak.outcome)
}

impl RelaySoak {
    async fn execute(&mut self) -> Result<()> {
        let stop = StopFlag::default();
        let mut callers = JoinSet::new();
        for number in 0..self.options.nodes * self.options.callers_per_node {
            let seed = self.options.seed.wrapping_mul(1_000_003) + number as u64;
            let caller = RelayCaller::new(number, seed, Arc::clone(&self.fleet));
            callers.spawn(caller.run(stop.clone()));
        }
        self.run_events().await?;
        stop.set();
        while callers.join_next().await.is_some() {}
        sleep_until(Instant::now() + SETTLE).await;
        self.check();
        for slot in &self.fleet.nodes {
            for line in slot.log.select(|line| line.contains(MOVE_MESSAGE)) {
                let line: Value = serde_json::from_str(&line)?;
                let outcome = line["outcome"].as_str().unwrap_or_default();
                let moves = &mut self.outcome.report.moves;
                *moves.entry(outcome.to_owned()).or_default() += 1;
            }
            if let Some(node) = &*lock(&slot.node) {
                check_log(&slot.name, &node.process)?;
            }
        }
        self.outcome.report.replicas = lock(&self.fleet.replicas).len();
        Ok(())
    }

    async fn run_events(&mut self) -> Result<()> {
        let started = Instant::now();
        let options = self.options;
        let mut events = JoinSet::new();
        let mut checks = interval(CHECK_INTERVAL);
        let schedule = draw(options.seed, options.time, options.nodes, options.replicas);
        for (at, event) in schedule {
            while tokio::select! {
                () = sleep_until(started + at) => false,
                _ = checks.tick() => true,
            } {
                self.check();
            }
            if options.is_verbose {
                eprintln!("{:6.2} s {event:?}", at.as_secs_f64());
            }
            let counts = &mut self.outcome.report.events;
            *counts.entry(kind_of(&event).to_owned()).or_default() += 1;
            events.spawn(apply(Arc::clone(&self.fleet), event));
        }
        sleep_until(started + options.time).await;
        while let Some(result) = events.join_next().await {
            result??;
        }
        Ok(())
    }

    /// Judges the requests that have ended some time ago.
    fn check(&mut self) {
        let runs: RunsById = read_runs(&self.fleet);
        let settled = Instant::now().checked_sub(SETTLE);
        let requests: Vec<RequestRecord> = {
            let requests = self.fleet.records.requests();
            let ended = requests[self.judged..].iter();
            ended
                .take_while(|r| Some(r.ended) <= settled)
                .cloned()
                .collect()
        };
        self.judged += requests.len();
        for request in requests {
            self.check_request(&request, runs.get(&request.id).map_or(&[], Vec::as_slice));
        }
    }

    fn check_request(&mut self, request: &RequestRecord, runs: &[Run]) {
        let verdict = judge(&self.fleet, request, runs);
        let reason = verdict.reason.to_string();
        let report = &mut self.outcome.report;
        if request.kind == RequestKind::Draft {
            let count: &mut EndCount = report.drafts.entry(reason).or_default();
            match verdict.is_near_configuration {
                true => count.near_configuration += 1,
                false => count.other += 1,
            }
        } else {
            let key = format!("{} {reason}", request.kind);
            *report.others.entry(key).or_default() += 1;
        }
        let Some(invariant) = verdict.broken else {
            return;
        };
        report.violations += 1;
        if self.outcome.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        let violation = self.violation(invariant, request, runs);
        if self.options.is_verbose {
            eprintln!("{}", violation.text);
            for line in &violation.lines {
                eprintln!("  {line}");
            }
        }
        self.outcome.violations.push(violation);
    }

    fn violation(&self, invariant: &str, request: &RequestRecord, runs: &[Run]) -> Violation {
        let slot = &self.fleet.nodes[request.node];
        let quoted = format!("\"{}\"", request.id);
        let mut lines = slot.log.select(|line| line.contains(&quoted));
        let replicas = lock(&self.fleet.replicas);
        let mut text = format!(
            "seed {}: {invariant}: {} at {} after {:?}: {:?} after {} events",
            self.options.seed,
            request.id,
            slot.name,
            request.ended - request.started,
            request.end,
            request.events,
        );
        for run in runs {
            let replica = &replicas[run.replica];
            let state = lock(&replica.state);
            let ago = |at: Instant| at.saturating_duration_since(request.started);
            text.push_str(&format!(
                "; run at {} (moved: {}, irregular moves: {}) after {:?}, notice {:?}, gone {:?}",
                replica.id,
                run.is_moved,
                state.has_irregular_moves,
                ago(run.at),
                state.notice.map(|(departure, at)| (departure, ago(at))),
                state.gone_at.map(ago),
            ));
            let id = format!("\"{}\"", replica.id);
            let of_replica = |line: &str| line.contains(&id) && !line.contains("\"request\":");
            let mut of_replica = slot.log.select(of_replica);
            let skipped = of_replica.len().saturating_sub(MAX_REPLICA_LINES);
            lines.extend(of_replica.drain(skipped..));
        }
        Violation { text, lines }
    }
}

fn kind_of(event: &Event) -> &'static str {
    match event {
        Event::Configure { .. } => "configurations",
        Event::Leave { zone: Some(_), .. } => "zone_reclaimed",
        Event::Leave {
            replaces: false, ..
        } => "scale_in",
        Event::Leave { .. } => "replicas_leave",
        Event::Store { .. } => "store_fault",
        Event::Node { .. } => "node_signal",
        Event::Streams { .. } => "stream_fault",
    }
}
