//! A complete run: start, events under load, checks.

use std::{collections::HashSet, sync::Arc, time::Duration};

use anyhow::Result;
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep_until},
};

use super::{
    caller::RelayCaller,
    faults::{apply, check_log},
    fleet::Fleet,
    judge::{Verdict, judge},
    memory::resident_mib,
    options::RelaySoakOptions,
    records::{RequestRecord, Run, lock},
    replacement::replace_nodes,
    report::{RelayOutcome, RelayReport, Violation},
    runs::{RunsById, read_runs, runs_of},
    schedule::{Event, draw},
    totals::check_usage,
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
    /// Requests that broke an invariant.
    broken: HashSet<String>,
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
        broken: HashSet::new(),
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
        self.check_totals();
        self.finish_report()
    }

    /// Checks what only the whole run shows.
    fn check_totals(&mut self) {
        let runs = read_runs(&self.fleet);
        let requests = self.fleet.records.requests().clone();
        let known: HashSet<&str> = requests.iter().map(|r| r.id.as_str()).collect();
        for id in runs.keys().filter(|id| !known.contains(id.as_str())) {
            let text = format!("a run belongs to a request: {id} was sent by no caller");
            self.record_violation("a run belongs to a request", text, Vec::new());
        }
        // A request that was refused may run late.
        for request in &requests {
            let runs = runs_of(&self.fleet, &runs, request);
            let verdict = judge(&self.fleet.records, request, &runs);
            if !self.broken.contains(&request.id) {
                self.record_broken(request, &runs, &verdict);
            }
        }
        for text in check_usage(&self.fleet.platform.usage()) {
            self.record_violation("usage is reported once", text, Vec::new());
        }
        let report = &self.outcome.report;
        let mut found = Vec::new();
        for (kind, ends) in &report.ends {
            if ends.is_caused_by_configurations() {
                found.push((
                    "configurations cut no requests",
                    format!("{kind}: {ends:?}"),
                ));
            }
        }
        if report.overdue.is_broken() {
            let text = format!("{:?}", report.overdue);
            found.push(("requests have an answer at their timeout", text));
        }
        for (invariant, text) in found {
            self.record_violation(invariant, text, Vec::new());
        }
    }

    fn finish_report(&mut self) -> Result<()> {
        let report = &mut self.outcome.report;
        for slot in &self.fleet.nodes {
            for line in slot.log.select(|line| line.contains(MOVE_MESSAGE)) {
                let line: Value = serde_json::from_str(&line)?;
                let outcome = line["outcome"].as_str().unwrap_or_default();
                *report.moves.entry(outcome.to_owned()).or_default() += 1;
            }
            if let Some(node) = &*lock(&slot.node) {
                check_log(&slot.name, &node.process)?;
            }
        }
        for ends in report.ends.values_mut() {
            ends.finish();
        }
        report.replicas = lock(&self.fleet.replicas).len();
        Ok(())
    }

    async fn run_events(&mut self) -> Result<()> {
        let started = Instant::now();
        let options = self.options.clone();
        let mut events = JoinSet::new();
        let mut checks = interval(CHECK_INTERVAL);
        let schedule = draw(&options);
        if options.older.is_some() {
            events.spawn(replace_nodes(Arc::clone(&self.fleet), options.time));
        }
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
            let runs = runs_of(&self.fleet, &runs, &request);
            self.check_request(&request, &runs);
        }
        self.record_memory();
    }

    fn record_memory(&mut self) {
        let nodes = self.fleet.nodes.iter();
        let processes = nodes.filter_map(|slot| Some(lock(&slot.node).as_ref()?.process.id()));
        let used = resident_mib(processes.chain([std::process::id()]));
        let report = &mut self.outcome.report;
        report.peak_memory_mib = report.peak_memory_mib.max(used);
    }

    fn check_request(&mut self, request: &RequestRecord, runs: &[Run]) {
        let verdict = judge(&self.fleet.records, request, runs);
        let report = &mut self.outcome.report;
        report.overdue.count(&self.fleet.records, request);
        let ends = report.ends.entry(request.kind.to_string()).or_default();
        let reason = verdict.reason;
        ends.count(
            reason.to_string(),
            reason.is_cut(),
            verdict.is_near_configuration,
        );
        self.record_broken(request, runs, &verdict);
    }

    fn record_broken(&mut self, request: &RequestRecord, runs: &[Run], verdict: &Verdict) {
        for invariant in &verdict.broken {
            self.broken.insert(request.id.clone());
            let invariant = invariant.to_string();
            let found = self.violation(&invariant, request, runs);
            self.record_violation(&invariant, found.text, found.lines);
        }
    }

    fn record_violation(&mut self, invariant: &str, text: String, lines: Vec<String>) {
        let counts = &mut self.outcome.report.violations;
        *counts.entry(invariant.to_owned()).or_default() += 1;
        if self.outcome.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        if self.options.is_verbose {
            eprintln!("{text}");
            for line in &lines {
                eprintln!("  {line}");
            }
        }
        self.outcome.violations.push(Violation { text, lines });
    }

    fn violation(&self, invariant: &str, request: &RequestRecord, runs: &[Run]) -> Violation {
        let slot = &self.fleet.nodes[request.node];
        let quoted = format!("\"{}\"", request.id);
        let mut lines = slot.log.select(|line| line.contains(&quoted));
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
            let after = |at: Instant| at.saturating_duration_since(request.started);
            text.push_str(&format!(
                "; run at {} (moved: {}) after {:?}, end {:?}, notice {:?}, gone {:?}",
                run.replica,
                run.is_moved,
                after(run.at),
                run.end.map(|(end, at)| (end, after(at))),
                run.notice.map(after),
                run.gone_at.map(after),
            ));
            let id = format!("\"{}\"", run.replica);
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
        Event::CutOff { .. } => "node_cut_off",
        Event::Restore(_) => "store_restored",
        Event::OddRow { .. } => "odd_row",
        Event::Node { .. } => "node_signal",
        Event::Streams { .. } => "stream_fault",
    }
}
