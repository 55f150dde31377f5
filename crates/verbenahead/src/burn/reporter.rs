//! Computation of the burn report.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use verbenahead_core::{
    Incarnation, NodeId,
    time::{UnixMillis, WallClock},
};
use verbenahead_manifest::{Manifest, Objectives, Service, ServiceKind};

use super::{
    alert::alert,
    counts::{ObjectiveKind, SeriesKey},
    recorder::LiveCounts,
    report::{BurnEntry, BurnReport, HourBurn, ObjectiveBurn, StoredState, WindowBurn},
    store::BurnStore,
    stored::StoredCounts,
    view::View,
    window::Window,
};

/// Milliseconds of an hour.
const HOUR_MS: u64 = 60 * 60 * 1_000;

/// `NodeBurnCounts` holds what a live node answered for the short windows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeBurnCounts {
    /// Node that answered.
    pub node: NodeId,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Its counts.
    pub counts: LiveCounts,
}

/// `BurnReporterOptions` bound the reads of a reporter.
#[derive(Debug, Clone, Copy)]
pub struct BurnReporterOptions {
    /// Time for which a reading of the table is used again.
    pub max_age: Duration,
}

impl Default for BurnReporterOptions {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(60),
        }
    }
}

/// `BurnReporter` makes burn reports from the answers of live nodes and the counts in the table.
pub struct BurnReporter {
    store: BurnStore,
    clock: WallClock,
    options: BurnReporterOptions,
    reading: Mutex<Option<Reading>>,
}

#[derive(Clone)]
struct Reading {
    read_at: UnixMillis,
    counts: Arc<StoredCounts>,
}

impl BurnReporter {
    /// Builds a reporter.
    pub fn new(store: BurnStore, clock: WallClock, options: BurnReporterOptions) -> Self {
        Self {
            store,
            clock,
            options,
            reading: Mutex::default(),
        }
    }

    /// Makes a report.
    ///
    /// `answers` are those of all nodes that answered, the own node among them. `missing` are the
    /// nodes that were asked and did not answer.
    pub async fn report(
        &self,
        manifest: &Manifest,
        made_by: &NodeId,
        answers: &[NodeBurnCounts],
        missing: &[NodeId],
    ) -> BurnReport {
        let (reading, stored) = self.read().await;
        let now = self.clock.now();
        let counts = reading.map(|reading| reading.counts);
        let view = View::new(answers, counts.as_deref(), now);
        BurnReport {
            deployment: manifest.deployment.clone(),
            made_at: now,
            made_by: made_by.clone(),
            answered: answers.iter().map(|answer| answer.node.clone()).collect(),
            missing: missing.to_vec(),
            stored,
            entries: entries(manifest, &view),
        }
    }

    async fn read(&self) -> (Option<Reading>, StoredState) {
        let held = self.held();
        let now = self.clock.now();
        if let Some(reading) = &held {
            let age = now.since(reading.read_at);
            if age < self.options.max_age {
                let age_ms = now.0 - reading.read_at.0;
                return (held, StoredState::Read { age_ms });
            }
        }
        match self.store.read(now).await {
            Ok(counts) => {
                let reading = Reading {
                    read_at: now,
                    counts: counts.into(),
                };
                self.hold(reading.clone());
                (Some(reading), StoredState::Read { age_ms: 0 })
            }
            Err(e) => {
                let reason = e.to_string();
                let state = match &held {
                    Some(reading) => StoredState::Stale {
                        age_ms: now.0.saturating_sub(reading.read_at.0),
                        reason,
                    },
                    None => StoredState::Missing { reason },
                };
                (held, state)
            }
        }
    }

    fn held(&self) -> Option<Reading> {
        let reading = self.reading.lock();
        reading.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn hold(&self, reading: Reading) {
        let held = self.reading.lock();
        *held.unwrap_or_else(PoisonError::into_inner) = Some(reading);
    }
}

fn entries(manifest: &Manifest, view: &View) -> Vec<BurnEntry> {
    let mut entries = Vec::new();
    for workspace in &manifest.workspaces {
        for service in &manifest.services {
            let objectives = manifest.objectives(&workspace.id, &service.id);
            let series = SeriesKey {
                workspace: workspace.id.clone(),
                service: service.id.clone(),
            };
            entries.push(entry(
                series,
                service,
                &objectives.unwrap_or_default(),
                view,
            ));
        }
    }
    entries
}

fn entry(series: SeriesKey, service: &Service, objectives: &Objectives, view: &View) -> BurnEntry {
    let is_model = matches!(service.kind, ServiceKind::Model(_));
    let applies = |kind: &ObjectiveKind| is_model || *kind != ObjectiveKind::InterToken;
    let objectives = ObjectiveKind::ALL
        .into_iter()
        .filter(applies)
        .map(|kind| objective(&series, kind, objectives, view))
        .collect();
    let SeriesKey { workspace, service } = series;
    BurnEntry {
        workspace,
        service,
        objectives,
    }
}

fn objective(
    series: &SeriesKey,
    kind: ObjectiveKind,
    objectives: &Objectives,
    view: &View,
) -> ObjectiveBurn {
    let target = kind.target(objectives);
    let windows: Vec<_> = Window::ALL
        .into_iter()
        .map(|window| {
            let counts = view.counts(series, window).map(|counts| counts.of(kind));
            WindowBurn {
                window,
                counts,
                rate: counts.and_then(|counts| counts.burn_rate(target)),
            }
        })
        .collect();
    let rate = |window| {
        let found = windows.iter().find(|entry| entry.window == window);
        found.and_then(|entry| entry.rate)
    };
    ObjectiveBurn {
        objective: kind,
        target,
        limit_ms: limit_ms(kind, objectives),
        budget_left: rate(Window::BUDGET_PERIOD).map(|rate| 1.0 - rate),
        alert: alert(rate),
        hours: hours(series, kind, target, view),
        windows,
    }
}

fn limit_ms(kind: ObjectiveKind, objectives: &Objectives) -> Option<u64> {
    let limit = match kind {
        ObjectiveKind::Availability => return None,
        ObjectiveKind::FirstToken => objectives.first_token,
        ObjectiveKind::InterToken => objectives.inter_token,
    };
    u64::try_from(limit.as_millis()).ok()
}

fn hours(series: &SeriesKey, kind: ObjectiveKind, target: f64, view: &View) -> Vec<HourBurn> {
    let hours = view.hours(series).into_iter();
    hours
        .filter_map(|(hour, counts)| {
            let rate = counts.of(kind).burn_rate(target)?;
            let start = UnixMillis(hour * HOUR_MS);
            Some(HourBurn { start, rate })
        })
        .collect()
}
