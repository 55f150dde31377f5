//! Admission at the nodes of a run.

use std::time::Duration;

use verbenahead_core::{WorkspaceId, units::Tokens};
use verbenahead_policy::{
    Admission, AdmissionOptions, AdmissionRequest, Capacity, Permit, Timestamp,
};

use super::{job::Job, profile::Profile};

/// Scale of the workspaces' shares.
const SHARE_SCALE: f64 = 100.0;

/// Part of a new observation in a learned service time.
const LEARNING_RATE: f64 = 0.02;

/// `NodeAdmissions` holds the admission of every node, and learns the service times.
#[derive(Debug)]
pub struct NodeAdmissions {
    nodes: Vec<Admission>,
    workspaces: Vec<WorkspaceId>,
    permits: Vec<(usize, Permit)>,
    slots: f64,
    mean: f64,
    by_priority: [f64; 3],
}

impl NodeAdmissions {
    /// Builds the admission of the nodes of a profile. `share` gives each workspace its share.
    pub fn new(profile: &Profile, options: AdmissionOptions, shares: &[f64]) -> Self {
        let replicas: usize = profile.replicas.iter().sum();
        let slots = replicas as f64 * f64::from(profile.batch_limit) / profile.nodes as f64;
        let workspaces: Vec<_> = (0..shares.len()).map(workspace_id).collect();
        let capacity = Capacity {
            slots,
            service_time: Duration::from_secs_f64(FIRST_SERVICE_TIME),
        };
        let mut admission = Admission::new(options, capacity);
        for (workspace, share) in workspaces.iter().zip(shares) {
            admission.set_share(workspace, (share * SHARE_SCALE).ceil() as u32);
        }
        Self {
            nodes: vec![admission; profile.nodes],
            workspaces,
            permits: Vec::new(),
            slots,
            mean: FIRST_SERVICE_TIME,
            by_priority: [FIRST_SERVICE_TIME; 3],
        }
    }

    /// Asks for admission.
    ///
    /// # Errors
    ///
    /// The delay in seconds after which another try makes sense.
    pub fn enter(&mut self, index: usize, job: &Job, now: f64) -> Result<(), f64> {
        let service_time = self.by_priority[job.priority as usize];
        let req = AdmissionRequest {
            workspace: &self.workspaces[job.workspace],
            priority: job.priority,
            tokens: Tokens(job.prompt + job.answer),
            service_time: Duration::from_secs_f64(service_time),
            deadline: Timestamp::from_secs_f64(job.deadline),
        };
        let admitted = self.nodes[job.node].try_admit(&req, Timestamp::from_secs_f64(now));
        match admitted {
            Ok(permit) => {
                self.permits.push((index, permit));
                Ok(())
            }
            Err(refusal) => Err(refusal.retry_after.as_secs_f64()),
        }
    }

    /// Ends a request that was admitted.
    pub fn leave(&mut self, index: usize, job: &Job, service_time: Option<f64>, now: f64) {
        let Some(place) = self.permits.iter().position(|(known, _)| *known == index) else {
            return;
        };
        let (_, permit) = self.permits.swap_remove(place);
        let used = Tokens(job.prompt + job.position(now));
        self.nodes[job.node].release(permit, used, Timestamp::from_secs_f64(now));
        if let Some(seconds) = service_time {
            self.learn(job, seconds);
        }
    }

    fn learn(&mut self, job: &Job, seconds: f64) {
        self.mean += LEARNING_RATE * (seconds - self.mean);
        let known = &mut self.by_priority[job.priority as usize];
        *known += LEARNING_RATE * (seconds - *known);
        let capacity = Capacity {
            slots: self.slots,
            service_time: Duration::from_secs_f64(self.mean),
        };
        self.nodes
            .iter_mut()
            .for_each(|node| node.set_capacity(capacity));
    }
}

/// First guess of a service time, in seconds.
const FIRST_SERVICE_TIME: f64 = 3.0;

fn workspace_id(number: usize) -> WorkspaceId {
    WorkspaceId::try_new(format!("workspace-{number}")).unwrap_or_else(|_| unreachable!())
}
