//! Computation of burn reports.

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
    alert::most_urgent_alert,
    combined_counts::CombinedCounts,
    counts::{ObjectiveKind, SeriesKey},
    recorder::LiveCounts,
    report::{BurnEntry, BurnReport, HourBurn, ObjectiveBurn, StoredState, WindowBurn},
    store::BurnStore,
    stored::StoredCounts,
    window::Window,
};

/// Milliseconds in an hour.
const HOUR_MS: u64 = 60 * 60 * 1_000;

/// `NodeBurnCounts` holds the counts of a live node over the short windows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeBurnCounts {
    /// Node that answered.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Its counts.
    pub counts: LiveCounts,
}

/// `BurnReporterOptions` limits how often a reporter reads the table.
#[derive(Debug, Clone, Copy)]
pub struct BurnReporterOptions {
    /// Time for which the counts that were read from the table are reused.
    pub max_age: Duration,
}

impl Default for BurnReporterOptions {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(60),
        }
    }
}

/// `BurnReporter` computes burn reports from the counts of live nodes and those in the table.
pub struct BurnReporter {
    store: BurnStore,
    clock: WallClock,
    options: BurnReporterOptions,
    cache: Mutex<Option<CachedCounts>>,
}

#[derive(Clone)]
struct CachedCounts {
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
            cache: Mutex::default(),
        }
    }

    /// Computes a report.
    ///
    /// `answers` holds the counts of all nodes that answered, this node included. `missing` lists
    /// the nodes that were asked and did not answer.
    pub async fn report(
        &self,
        manifest: &Manifest,
        made_by: &NodeId,
        answers: &[NodeBurnCounts],
        missing: &[NodeId],
    ) -> BurnReport {
        let (cached, stored) = self.read_stored().await;
        let now = self.clock.now();
        let counts = cached.map(|cached| cached.counts);
        let combined = CombinedCounts::new(answers, counts.as_deref(), now);
        BurnReport {
            deployment: manifest.deployment.clone(),
            made_at: now,
            made_by: made_by.clone(),
            answered: answers.iter().map(|answer| answer.node.clone()).collect(),
            missing: missing.to_vec(),
            stored,
            entries: entries(manifest, &combined),
        }
    }

    /// Returns the cached counts, after reading the table when they are too old.
    async fn read_stored(&self) -> (Option<CachedCounts>, StoredState) {
        let cached = self.cached();
        let now = self.clock.now();
        if let Some(counts) = &cached {
            let age = now.since(counts.read_at);
            if age < self.options.max_age {
                let age_ms = now.0 - counts.read_at.0;
                return (cached, StoredState::Read { age_ms });
            }
        }
        match self.store.read(now).await {
            Ok(counts) => {
                let fresh = CachedCounts {
                    read_at: now,
                    counts: counts.into(),
                };
                self.set_cached(fresh.clone());
                (Some(fresh), StoredState::Read { age_ms: 0 })
            }
            Err(e) => {
                let reason = e.to_string();
                let state = match &cached {
                    Some(counts) => StoredState::Stale {
                        age_ms: now.0.saturating_sub(counts.read_at.0),
                        reason,
                    },
                    None => StoredState::Missing { reason },
                };
                (cached, state)
            }
        }
    }

    fn cached(&self) -> Option<CachedCounts> {
        let cache = self.cache.lock();
        cache.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_cached(&self, counts: CachedCounts) {
        let cache = self.cache.lock();
        *cache.unwrap_or_else(PoisonError::into_inner) = Some(counts);
    }
}

fn entries(manifest: &Manifest, combined: &CombinedCounts) -> Vec<BurnEntry> {
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
                combined,
            ));
        }
    }
    entries
}

fn entry(
    series: SeriesKey,
    service: &Service,
    objectives: &Objectives,
    combined: &CombinedCounts,
) -> BurnEntry {
    let is_model = matches!(service.kind, ServiceKind::Model(_));
    let applies = |kind: &ObjectiveKind| is_model || *kind != ObjectiveKind::InterToken;
    let objectives = ObjectiveKind::ALL
        .into_iter()
        .filter(applies)
        .map(|kind| objective(&series, kind, objectives, combined))
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
    combined: &CombinedCounts,
) -> ObjectiveBurn {
    let target = kind.target(objectives);
    let windows: Vec<_> = Window::ALL
        .into_iter()
        .map(|window| {
            let counts = combined
                .window_counts(series, window)
                .map(|counts| counts.get(kind));
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
        alert: most_urgent_alert(rate),
        hours: hours(series, kind, target, combined),
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

fn hours(
    series: &SeriesKey,
    kind: ObjectiveKind,
    target: f64,
    combined: &CombinedCounts,
) -> Vec<HourBurn> {
    let hours = combined.hourly_counts(series).into_iter();
    hours
        .filter_map(|(hour, counts)| {
            let rate = counts.get(kind).burn_rate(target)?;
            let start = UnixMillis(hour * HOUR_MS);
            Some(HourBurn { start, rate })
        })
        .collect()
}
