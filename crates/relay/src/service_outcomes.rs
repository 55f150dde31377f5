//! Outcomes of the requests of one node to the replicas of one service.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::sync::mpsc;
use verbenahead_membership::NameKey;
use verbenahead_policy::{DemandMeter, Timestamp};

/// Time constant of the rate of answers.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// `ServiceOutcomes` counts the answers of the replicas of a service, and passes on which of them fail.
#[derive(Debug)]
pub struct ServiceOutcomes {
    answers: Mutex<DemandMeter>,
    /// Receives the keys of the incarnations of replicas that failed a request.
    failures: Option<mpsc::Sender<NameKey>>,
}

impl ServiceOutcomes {
    /// Builds the counts of a service whose failures are passed on to `failures`, if there is a receiver.
    pub fn new(failures: Option<mpsc::Sender<NameKey>>) -> Self {
        Self {
            answers: Mutex::new(DemandMeter::new(RATE_TIME_CONSTANT)),
            failures,
        }
    }

    /// Returns the answers per second, failures included.
    pub fn answer_rate(&self, now: Timestamp) -> f64 {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.rate(now).0
    }

    pub(crate) fn record_answer(&self, now: Timestamp) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.add(1.0, now);
    }

    pub(crate) fn pass_on_failure(&self, replica: NameKey) {
        if let Some(failures) = &self.failures
            && let Err(error) = failures.try_send(replica)
        {
            tracing::debug!(%replica, %error, "failure of a replica not passed on");
        }
    }
}
