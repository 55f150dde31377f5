//! Which replicas this node reaches over connections of its own.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::{StreamExt, stream};
use rand::seq::IndexedRandom;
use tokio::{sync::watch, time::sleep};
use verbenahead_core::{HashMap, ServiceId};
use verbenahead_membership::NameKey;
use verbenahead_policy::{PathHealth, PathHealthOptions};
use verbenahead_upstream::Connections;

use crate::{
    clock::policy_now,
    registry::UpstreamRegistry,
    upstream::{UpstreamEntry, UpstreamStatus},
};

/// `DirectPathsOptions` sets how a node tests the paths to replicas that it does not reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectPathsOptions {
    /// When all replicas of a service count as cut off.
    pub health: PathHealthOptions,
    /// Time between two rounds of tests.
    pub test_interval: Duration,
    /// Time in which a replica within reach accepts a connection.
    pub test_timeout: Duration,
    /// Replicas that are tested at once.
    pub max_tests: usize,
}

impl Default for DirectPathsOptions {
    fn default() -> Self {
        Self {
            health: PathHealthOptions::default(),
            test_interval: Duration::from_millis(200),
            test_timeout: Duration::from_millis(150),
            max_tests: 8,
        }
    }
}

/// `DirectPaths` knows the replicas that are cut off from this node, and tests them until they no longer
/// are.
#[derive(Debug)]
pub struct DirectPaths {
    options: DirectPathsOptions,
    registry: Arc<UpstreamRegistry>,
    connections: Connections,
    services: Mutex<HashMap<ServiceId, PathHealth<NameKey>>>,
    /// Announces that a replica was found to be cut off.
    found_cut: watch::Sender<()>,
    /// Whether a task tests replicas.
    is_testing: Mutex<bool>,
}

impl DirectPaths {
    /// Builds the state of a node that reaches all replicas.
    pub fn new(
        options: DirectPathsOptions,
        registry: Arc<UpstreamRegistry>,
        connections: Connections,
    ) -> Self {
        Self {
            options,
            registry,
            connections,
            services: Mutex::default(),
            found_cut: watch::Sender::new(()),
            is_testing: Mutex::default(),
        }
    }

    /// Returns whether requests to a replica should take another path.
    pub fn is_cut(&self, upstream: &UpstreamEntry) -> bool {
        let services = self.lock();
        let health = services.get(&upstream.service);
        health.is_some_and(|health| health.is_cut(upstream.incarnation_key(), policy_now()))
    }

    /// Returns the number of replicas that were found to be cut off.
    pub fn cut_count(&self) -> usize {
        self.lock().values().map(PathHealth::cut_count).sum()
    }

    /// Records that a replica answered this node directly.
    pub(crate) fn record_direct(&self, upstream: &UpstreamEntry) {
        let mut services = self.lock();
        let Some(health) = services.get_mut(&upstream.service) else {
            return;
        };
        if health.on_direct(upstream.incarnation_key(), policy_now()) {
            tracing::info!(upstream = %upstream.address.upstream, "replica within reach again");
        }
    }

    /// Records that another node reaches a replica that this node does not reach, and tests the replicas at
    /// which this node has requests.
    pub(crate) fn record_cut(self: &Arc<Self>, upstream: &UpstreamEntry) {
        let is_new = {
            let mut services = self.lock();
            let health = services
                .entry(upstream.service.clone())
                .or_insert_with(|| PathHealth::new(self.options.health));
            health.on_cut(upstream.incarnation_key(), policy_now())
        };
        if !is_new {
            return;
        }
        // Its failures were those of the path.
        upstream.reset_circuit();
        self.connections.close_idle(upstream.address.address);
        self.found_cut.send_replace(());
        tracing::info!(
            upstream = %upstream.address.upstream,
            service = %upstream.service,
            last_answer_ms = upstream.last_answer_age().map(|age| age.as_millis() as u64),
            "replica cut off from this node",
        );
        self.start_tests();
    }

    /// Records that no node reaches a replica.
    pub(crate) fn record_down(&self, upstream: &UpstreamEntry) {
        if let Some(health) = self.lock().get_mut(&upstream.service) {
            health.on_down(upstream.incarnation_key());
        }
    }

    /// Waits until a replica is found to be cut off.
    pub(crate) async fn wait_cut(&self, upstream: &UpstreamEntry) {
        let mut found_cut = self.found_cut.subscribe();
        while !self.is_found_cut(upstream) {
            if found_cut.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn is_found_cut(&self, upstream: &UpstreamEntry) -> bool {
        let services = self.lock();
        let health = services.get(&upstream.service);
        health.is_some_and(|health| health.is_found_cut(upstream.incarnation_key()))
    }

    /// Starts the task that tests replicas, unless it runs.
    fn start_tests(self: &Arc<Self>) {
        if std::mem::replace(&mut *self.testing(), true) {
            return;
        }
        tokio::spawn(Arc::clone(self).run_tests());
    }

    /// Tests replicas until none is cut off.
    async fn run_tests(self: Arc<Self>) {
        self.test_used().await;
        loop {
            self.forget_gone();
            {
                let mut is_testing = self.testing();
                if self.cut_count() == 0 {
                    *is_testing = false;
                    return;
                }
            }
            self.test_all(self.due_tests()).await;
            sleep(self.options.test_interval).await;
        }
    }

    /// Tests the replicas at which this node has requests, which wait for answers in vain if these are cut
    /// off too.
    async fn test_used(self: &Arc<Self>) {
        let entries = self.registry.all();
        let used = entries.into_iter().filter(|entry| entry.outstanding() > 0);
        let used: Vec<_> = used.filter(|entry| !self.is_found_cut(entry)).collect();
        stream::iter(used)
            .for_each_concurrent(self.options.max_tests, async |entry| {
                if !self.accepts(&entry).await {
                    self.record_cut(&entry);
                }
            })
            .await;
    }

    /// Returns the replicas to test next: some of those that are cut off, and one other of each service that
    /// counts as cut off as a whole.
    fn due_tests(&self) -> Vec<Arc<UpstreamEntry>> {
        let mut entries = self.registry.all();
        entries.retain(|entry| entry.status() != UpstreamStatus::Gone);
        let (cut, others): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|e| self.is_found_cut(e));
        let rng = &mut rand::rng();
        let mut due: Vec<_> = cut
            .choose_multiple(rng, self.options.max_tests)
            .cloned()
            .collect();
        let services = self.lock();
        for (service, health) in services.iter() {
            if health.is_service_cut(policy_now()) {
                let of_service: Vec<_> = others.iter().filter(|e| e.service == *service).collect();
                due.extend(of_service.choose(rng).map(|entry| Arc::clone(entry)));
            }
        }
        due
    }

    async fn test_all(self: &Arc<Self>, due: Vec<Arc<UpstreamEntry>>) {
        stream::iter(due)
            .for_each_concurrent(None, async |entry| {
                if self.accepts(&entry).await {
                    self.record_direct(&entry);
                }
            })
            .await;
    }

    async fn accepts(&self, entry: &UpstreamEntry) -> bool {
        let address = entry.address.address;
        self.connections
            .accepts(address, self.options.test_timeout)
            .await
    }

    /// Forgets replicas that are gone.
    fn forget_gone(&self) {
        let entries = self.registry.all();
        let mut services = self.lock();
        for (service, health) in services.iter_mut() {
            let of_service = entries.iter().filter(|entry| entry.service == *service);
            let keys: Vec<_> = of_service.map(|entry| entry.incarnation_key()).collect();
            health.retain(|key| keys.contains(key));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, PathHealth<NameKey>>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn testing(&self) -> MutexGuard<'_, bool> {
        self.is_testing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
