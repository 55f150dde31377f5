//! What a node knows of the rollouts of its services, and what it counts for their evaluation.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{FencingNumber, HashMap, ServiceId, SoftwareVersion, UpstreamId};
use verbenahead_membership::{NameKey, RolloutCounts, RolloutMessage, RolloutPhase, Share};
use verbenahead_policy::targets_in_use;

use crate::{
    dialect::CallerRequestId,
    rollout_tally::{RolloutTally, SampleKey},
    upstream::UpstreamEntry,
    version_filter::{VersionChoice, VersionRule, request_place},
};

/// Time for which replicas of a version that is new in a service get nothing, so that an order that was
/// written before they started is known.
const NEW_VERSION_HOLD: Duration = Duration::from_secs(1);

/// `Rollouts` holds the rollouts that a node knows. Without a `rollouts` section in the settings there are
/// none.
#[derive(Debug, Default)]
pub struct Rollouts {
    is_enabled: bool,
    services: Mutex<HashMap<NameKey, ServiceRollout>>,
    versions: Mutex<HashMap<NameKey, KnownVersions>>,
}

#[derive(Debug)]
struct ServiceRollout {
    target: NameKey,
    /// Version of the row with the order.
    order: u64,
    phase: RolloutPhase,
    barred: Vec<NameKey>,
    grant: Option<Grant>,
    /// Fencing number and sequence number of the last message.
    last: (FencingNumber, u64),
    tally: RolloutTally,
}

/// `Grant` is the share of the last message.
#[derive(Debug, Clone, Copy)]
struct Grant {
    share: Share,
    sequence: u64,
    until: Instant,
}

/// `KnownVersions` holds the versions of a service with the time at which the node first saw each, or
/// `None` for those that it found first.
type KnownVersions = HashMap<NameKey, Option<Instant>>;

/// `HeardRollout` is what the last messages of a controller told this node about the rollout of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeardRollout {
    /// Key of the target version.
    pub target: NameKey,
    /// Version of the row with the order.
    pub order: u64,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Keys of versions that get no requests.
    pub barred: Vec<NameKey>,
}

/// `RolloutState` is the state of a rollout at this node, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutState {
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Share in force.
    pub share: Share,
    /// Attempts since the order, at other versions and at the target.
    pub attempts: [u64; 2],
    /// Failed and lost attempts, at other versions and at the target, while the target got requests.
    pub failures: [u64; 2],
}

impl ServiceRollout {
    fn new(target: NameKey, order: u64) -> Self {
        Self {
            target,
            order,
            phase: RolloutPhase::Running,
            barred: Vec::new(),
            grant: None,
            last: (FencingNumber::default(), 0),
            tally: RolloutTally::default(),
        }
    }

    fn valid_grant(&self) -> Option<Grant> {
        self.grant.filter(|grant| Instant::now() < grant.until)
    }

    fn share(&self) -> Share {
        self.valid_grant()
            .map_or(Share::default(), |grant| grant.share)
    }

    /// Puts a later order in place of this one. The earlier target gets nothing unless it succeeded.
    fn replace(&mut self, target: NameKey, order: u64) {
        let mut barred = std::mem::take(&mut self.barred);
        if self.phase == RolloutPhase::Succeeded {
            barred.clear();
        } else if self.target != target && !barred.contains(&self.target) {
            barred.push(self.target);
        }
        barred.retain(|version| *version != target);
        let last = self.last;
        *self = Self::new(target, order);
        self.barred = barred;
        self.last = last;
    }
}

impl Rollouts {
    /// Builds the state of a node whose settings have a `rollouts` section.
    pub fn enabled() -> Self {
        Self {
            is_enabled: true,
            ..Self::default()
        }
    }

    /// Records the order that the operator's table holds for a service. Its target gets nothing until the
    /// controller grants a share.
    pub fn set_order(&self, service: &ServiceId, target: &SoftwareVersion, order: u64) {
        let (service, target) = (NameKey::from(service), NameKey::of(target.as_str()));
        let mut services = self.lock();
        match services.get_mut(&service) {
            Some(rollout) if order > rollout.order && rollout.target != target => {
                rollout.replace(target, order);
            }
            Some(_) => {}
            None => {
                services.insert(service, ServiceRollout::new(target, order));
            }
        }
    }

    /// Applies a message of the controller. Messages of earlier orders, leases or steps are ignored.
    pub fn handle(&self, message: &RolloutMessage) {
        if !self.is_enabled {
            return;
        }
        let mut services = self.lock();
        let rollout = services
            .entry(message.service)
            .or_insert_with(|| ServiceRollout::new(message.target, message.order));
        let position = (message.fencing, message.sequence);
        let is_other = rollout.target != message.target;
        if position <= rollout.last || is_other && message.order < rollout.order {
            return;
        }
        if is_other || message.order > rollout.order && rollout.phase != RolloutPhase::Running {
            rollout.replace(message.target, message.order);
        }
        rollout.order = message.order;
        rollout.last = position;
        // A verdict does not change back.
        if rollout.phase == RolloutPhase::Running {
            rollout.phase = message.phase;
        }
        rollout.barred.clone_from(&message.barred);
        rollout.grant = Some(Grant {
            share: message.share,
            sequence: message.sequence,
            until: Instant::now() + message.validity,
        });
    }

    /// Returns the rule for the versions of a service, or `None` if all may be used. `live` are its live
    /// replicas.
    pub(crate) fn rule(
        &self,
        service: &ServiceId,
        live: &[Arc<UpstreamEntry>],
    ) -> Option<VersionRule> {
        if !self.is_enabled {
            return None;
        }
        let service = NameKey::from(service);
        let held = self.held_versions(service, live);
        let services = self.lock();
        let Some(rollout) = services.get(&service) else {
            return (!held.is_empty()).then(|| VersionRule {
                // No version has this key.
                target: NameKey::default(),
                phase: RolloutPhase::Succeeded,
                share: Share::default(),
                barred: Vec::new(),
                held,
                has_old: true,
                loaded: Vec::new(),
            });
        };
        let is_old = |entry: &Arc<UpstreamEntry>| {
            let version = entry.version_key();
            version.is_none_or(|key| key != rollout.target && !rollout.barred.contains(&key))
        };
        Some(VersionRule {
            target: rollout.target,
            phase: rollout.phase,
            share: rollout.share(),
            barred: rollout.barred.clone(),
            held,
            has_old: live.iter().any(is_old),
            loaded: loaded_targets(rollout, live),
        })
    }

    /// Returns the versions that are too new to be used.
    fn held_versions(&self, service: NameKey, live: &[Arc<UpstreamEntry>]) -> Vec<NameKey> {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let known = versions.entry(service).or_default();
        let is_first = known.is_empty();
        let now = Instant::now();
        for version in live.iter().filter_map(|entry| entry.version_key()) {
            known
                .entry(version)
                .or_insert_with(|| (!is_first).then_some(now));
        }
        let is_new = |seen_at: &Option<Instant>| {
            seen_at.is_some_and(|at| now.saturating_duration_since(at) < NEW_VERSION_HOLD)
        };
        let held = known.iter().filter(|(_, seen_at)| is_new(seen_at));
        let held: Vec<NameKey> = held.map(|(version, _)| *version).collect();
        // Nothing is held back for a version that has replaced all others.
        let is_usable = |entry: &Arc<UpstreamEntry>| {
            entry
                .version_key()
                .is_none_or(|version| !held.contains(&version))
        };
        match live.iter().any(is_usable) {
            true => held,
            false => Vec::new(),
        }
    }

    /// Returns whether the replicas of this version are part of the fleet that orders for replicas are about:
    /// the target of a rollout is not before it succeeded, and the versions that it replaced are not
    /// after that.
    pub fn counts_in_fleet(&self, entry: &UpstreamEntry) -> bool {
        if !self.is_enabled {
            return true;
        }
        let services = self.lock();
        let Some(rollout) = services.get(&NameKey::from(&entry.service)) else {
            return true;
        };
        entry.version_key().is_none_or(|version| {
            let is_target = version == rollout.target;
            let is_running_target = is_target && rollout.phase != RolloutPhase::Succeeded;
            !is_running_target && !rollout.barred.contains(&version)
        })
    }

    /// Returns the counts of the rollouts without a verdict.
    pub fn counts(&self) -> Vec<RolloutCounts> {
        let mut services = self.lock();
        let running = services
            .iter_mut()
            .filter(|(_, rollout)| rollout.phase == RolloutPhase::Running);
        let counts = running.map(|(service, rollout)| {
            let grant = rollout.valid_grant();
            RolloutCounts {
                service: *service,
                order: rollout.order,
                share: grant.map_or(Share::default(), |grant| grant.share),
                sequence: grant.map_or(0, |grant| grant.sequence),
                ..rollout.tally.counts()
            }
        });
        counts.collect()
    }

    /// Returns whether a rollout has no verdict yet.
    pub fn is_running(&self) -> bool {
        let services = self.lock();
        services
            .values()
            .any(|rollout| rollout.phase == RolloutPhase::Running)
    }

    /// Returns what this node has heard of the rollout of a service, or `None` if it knows the order only.
    pub fn heard(&self, service: &ServiceId) -> Option<HeardRollout> {
        let services = self.lock();
        let rollout = services.get(&NameKey::from(service))?;
        let has_heard = rollout.last != (FencingNumber::default(), 0);
        has_heard.then(|| HeardRollout {
            target: rollout.target,
            order: rollout.order,
            phase: rollout.phase,
            barred: rollout.barred.clone(),
        })
    }

    /// Returns the state of the rollout of a service, if there is one.
    pub fn state(&self, service: &ServiceId) -> Option<RolloutState> {
        let services = self.lock();
        let rollout = services.get(&NameKey::from(service))?;
        Some(RolloutState {
            phase: rollout.phase,
            share: rollout.share(),
            attempts: rollout.tally.attempts(),
            failures: rollout.tally.failures(),
        })
    }

    /// Applies `f` to the tally of a running rollout of this service and order.
    pub(crate) fn with_tally(&self, key: &SampleKey, f: impl FnOnce(&mut RolloutTally)) {
        let mut services = self.lock();
        let rollout = services.get_mut(&key.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.target == key.target) {
            f(&mut rollout.tally);
        }
    }

    /// Returns under what an attempt at a replica is counted, if a rollout of its service is running.
    pub(crate) fn sample_key(&self, route: &str, upstream: &UpstreamEntry) -> Option<SampleKey> {
        if !self.is_enabled {
            return None;
        }
        let service = NameKey::from(&upstream.service);
        let services = self.lock();
        let rollout = services.get(&service)?;
        let is_running = rollout.phase == RolloutPhase::Running;
        is_running.then(|| SampleKey {
            service,
            target: rollout.target,
            route: NameKey::of(route),
            is_target: upstream.version_key() == Some(rollout.target),
            is_compared: rollout.share() > Share::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NameKey, ServiceRollout>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the replicas of the target that get requests at the present share. All nodes name the same ones.
fn loaded_targets(rollout: &ServiceRollout, live: &[Arc<UpstreamEntry>]) -> Vec<UpstreamId> {
    let share = rollout.share();
    if rollout.phase != RolloutPhase::Running || share == Share::default() {
        return Vec::new();
    }
    let targets = live
        .iter()
        .filter(|entry| entry.version_key() == Some(rollout.target));
    let share = f64::from(share.0) / f64::from(Share::ALL.0);
    let count = targets_in_use(share, targets.clone().count());
    let ids = targets.map(|entry| entry.address.upstream.clone());
    ids.take(count).collect()
}

impl VersionRule {
    /// Removes the replicas whose version the request may not go to. `is_bound` tells whether the stream
    /// began at a version, at which it goes on unless that is barred. `tried` are the replicas that the request was sent to.
    pub(crate) fn retain(
        &self,
        id: &CallerRequestId,
        is_bound: bool,
        tried: &[Arc<UpstreamEntry>],
        entries: &mut Vec<Arc<UpstreamEntry>>,
    ) {
        let is_target = |entry: &Arc<UpstreamEntry>| entry.version_key() == Some(self.target);
        let choice = match is_bound {
            true => VersionChoice::Any,
            false => self.choose(request_place(id), tried.iter().any(is_target)),
        };
        let is_free = |entry: &Arc<UpstreamEntry>| self.allows(choice, entry.version_key());
        let choice = match choice {
            VersionChoice::PreferTarget if !entries.iter().any(is_free) => VersionChoice::Old,
            choice => choice,
        };
        entries.retain(|entry| self.allows(choice, entry.version_key()));
        if choice == VersionChoice::PreferTarget {
            self.retain_loaded(entries);
        }
    }

    /// Leaves the replicas of the target that get requests at the present share, if any of them is free.
    fn retain_loaded(&self, entries: &mut Vec<Arc<UpstreamEntry>>) {
        let is_loaded = |entry: &Arc<UpstreamEntry>| self.loaded.contains(&entry.address.upstream);
        if entries.iter().any(is_loaded) {
            entries.retain(is_loaded);
        }
    }
}
