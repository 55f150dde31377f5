//! Admission control at the nodes of a run.

use std::time::Duration;

use verbenahead_core::{WorkspaceId, units::Tokens};
use verbenahead_policy::{
    Admission, AdmissionOptions, AdmissionRequest, Capacity, Permit, Timestamp,
};

use super::{job::Job, profile::Profile};

/// Factor from a fractional share to the integer share of [`Admission`].
const SHARE_SCALE: f64 = 100.0;

/// Weight of a new observation in the moving averages of the service time.
const SMOOTHING_FACTOR: f64 = 0.02;

/// `NodeAdmissions` holds the admission control of each node and averages of the service time.
#[derive(Debug)]
pub struct NodeAdmissions {
    nodes: Vec<Admission>,
    workspaces: Vec<WorkspaceId>,
    permits: Vec<(usize, Permit)>,
    slots: f64,
    mean: f64,
    mean_by_priority: [f64; 3],
}

impl NodeAdmissions {
    /// Builds the admission control of the nodes of a profile. `shares` holds the share of each
    /// workspace.
    pub fn new(profile: &Profile, options: AdmissionOptions, shares: &[f64]) -> Self {
        let replicas: usize = profile.replicas.iter().sum();
        let slots = replicas as f64 * f64::from(profile.batch_limit) / profile.nodes as f64;
        let workspaces: Vec<_> = (0..shares.len()).map(workspace_id).collect();
        let capacity = Capacity {
            slots,
            service_time: Duration::from_secs_f64(INITIAL_SERVICE_TIME),
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
            mean: INITIAL_SERVICE_TIME,
            mean_by_priority: [INITIAL_SERVICE_TIME; 3],
        }
    }

    /// Requests admission at the node of a job.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry, in seconds, if the request is refused.
    pub fn try_admit(&mut self, index: usize, job: &Job, now: f64) -> Result<(), f64> {
        let service_time = self.mean_by_priority[job.priority as usize];
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

    /// Releases the permit of an admitted request. `service_time` is in seconds.
    pub fn release(&mut self, index: usize, job: &Job, service_time: Option<f64>, now: f64) {
        let Some(position) = self.permits.iter().position(|(job, _)| *job == index) else {
            return;
        };
        let (_, permit) = self.permits.swap_remove(position);
        let used = Tokens(job.prompt + job.position(now));
        self.nodes[job.node].release(permit, used, Timestamp::from_secs_f64(now));
        if let Some(seconds) = service_time {
            self.add_service_time(job, seconds);
        }
    }

    fn add_service_time(&mut self, job: &Job, seconds: f64) {
        self.mean += SMOOTHING_FACTOR * (seconds - self.mean);
        let priority_mean = &mut self.mean_by_priority[job.priority as usize];
        *priority_mean += SMOOTHING_FACTOR * (seconds - *priority_mean);
        let capacity = Capacity {
            slots: self.slots,
            service_time: Duration::from_secs_f64(self.mean),
        };
        self.nodes
            .iter_mut()
            .for_each(|node| node.set_capacity(capacity));
    }
}

/// Service time before the first observation, in seconds.
const INITIAL_SERVICE_TIME: f64 = 3.0;

fn workspace_id(number: usize) -> WorkspaceId {
    WorkspaceId::try_new(format!("workspace-{number}")).unwrap_or_else(|_| unreachable!())
}
