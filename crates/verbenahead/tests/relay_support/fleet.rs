//! Deployment whose replicas crash on harmful requests and are replaced.

use std::{collections::HashSet, sync::Arc, time::Duration};

use http::StatusCode;
use tokio::{
    sync::Mutex,
    task::JoinHandle,
    time::{Instant, sleep},
};
use verbenahead_standins::users::{RecordedRun, ReplicaBehaviour, UsersReplica};

use super::{Deployment, RelayProcess, register, start_deployment};

/// Time after a crash until its replica is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// `FleetOptions` describes the replicas of a [`Fleet`].
#[derive(Clone)]
pub struct FleetOptions {
    pub replicas: usize,
    pub behaviour: ReplicaBehaviour,
    /// Lets a replica crash on harmful requests.
    pub make_harmful: fn(&UsersReplica),
    /// Returns whether a request is harmful.
    pub is_harmful: fn(&RecordedRun) -> bool,
}

/// `Fleet` is a deployment whose crashed replicas are replaced.
pub struct Fleet {
    pub deployment: Arc<Mutex<Deployment>>,
    options: FleetOptions,
    supervisor: JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

impl Fleet {
    pub async fn start(options: FleetOptions) -> Self {
        let deployment = start_deployment(options.replicas, options.behaviour.clone()).await;
        deployment.replicas.iter().for_each(options.make_harmful);
        let deployment = Arc::new(Mutex::new(deployment));
        let supervisor = tokio::spawn(replace_crashed(Arc::clone(&deployment), options.clone()));
        Self {
            deployment,
            options,
            supervisor,
        }
    }

    pub async fn start_node(&self, name: &str) -> RelayProcess {
        self.deployment.lock().await.start_node(name).await
    }

    /// Returns the times of all crashes, in order.
    async fn crashes(&self) -> Vec<Instant> {
        let deployment = self.deployment.lock().await;
        let replicas = deployment.replicas.iter();
        let mut crashes: Vec<Instant> = replicas.filter_map(UsersReplica::crashed_at).collect();
        crashes.sort();
        crashes
    }

    /// Returns the number of harmful requests that replicas received later than `period` after the crash
    /// with the number `counted`, or after the last one if there were fewer.
    pub async fn late_runs(&self, counted: usize, period: Duration) -> usize {
        let crashes = self.crashes().await;
        let counted = crashes.get(counted - 1).or(crashes.last());
        self.harmful_runs_after(*counted.expect("a crash") + period)
            .await
    }

    /// Returns the number of harmful requests that replicas received after `since`.
    pub async fn harmful_runs_after(&self, since: Instant) -> usize {
        let deployment = self.deployment.lock().await;
        let runs = deployment.replicas.iter().flat_map(UsersReplica::runs);
        runs.filter(|run| (self.options.is_harmful)(run) && run.at > since)
            .count()
    }
}

/// Checks that more than half of requests were answered with success.
pub fn assert_most_served(statuses: &[Option<StatusCode>]) {
    let served = statuses.iter().filter(|s| **s == Some(StatusCode::OK));
    let served = served.count();
    assert!(
        served * 2 > statuses.len(),
        "{served} of {}",
        statuses.len()
    );
}

/// Registers a new replica for each one that has crashed, whose own registration is removed.
async fn replace_crashed(deployment: Arc<Mutex<Deployment>>, options: FleetOptions) {
    let mut replaced = HashSet::new();
    loop {
        sleep(Duration::from_millis(20)).await;
        let mut deployment = deployment.lock().await;
        let mut due = Vec::new();
        for (n, replica) in deployment.replicas.iter().enumerate() {
            let crashed_at = replica.crashed_at();
            if crashed_at.is_some_and(|at| at.elapsed() > RESTART_DELAY) && replaced.insert(n) {
                due.push(n);
            }
        }
        for n in due {
            deployment.platform.remove("servers", &format!("i-{n}"));
            let id = format!("i-{}", deployment.replicas.len());
            let replica = UsersReplica::start(&id, options.behaviour.clone()).await;
            let replica = replica.expect("a free port");
            (options.make_harmful)(&replica);
            register(&deployment.platform, &id, &replica);
            deployment.replicas.push(replica);
        }
    }
}
