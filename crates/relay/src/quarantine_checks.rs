//! What the quarantine of prompt parts means for one request.

use std::{future::pending, sync::Arc, time::Duration};

use tokio::time::sleep;
use verbenahead_core::ServiceId;

use crate::{
    dialect::CallerRequest,
    exchange::Exchange,
    own_answer::{OwnAnswer, OwnAnswerReason},
    relay::Relay,
    upstream::UpstreamEntry,
};

/// Time within which a process that ends has closed its listener after its connections.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(10);

/// Time in which a replica that has not crashed accepts a connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);

impl Relay {
    /// Refuses a request with a quarantined part in its prompt until the quarantine ends.
    pub(crate) fn check_quarantine(
        &self,
        service: &ServiceId,
        caller: &CallerRequest,
    ) -> Result<(), OwnAnswer> {
        let Some((part, remaining)) = self.quarantine.find(service, caller.shared_parts()) else {
            return Ok(());
        };
        tracing::info!(
            request = %caller.id,
            %part,
            remaining_s = remaining.as_secs(),
            "part of the prompt is quarantined",
        );
        Err(OwnAnswer::retry_after(
            OwnAnswerReason::Quarantined,
            remaining,
        ))
    }
}

impl Exchange {
    /// Refuses another attempt if a part of the prompt was quarantined meanwhile.
    pub(crate) fn check_quarantine(&self) -> Result<(), OwnAnswer> {
        if self.has_begun() {
            return Ok(());
        }
        let checked = self.relay.check_quarantine(&self.service, &self.caller);
        checked.map_err(|own| match self.progress.possible_runs {
            0 => own,
            _ => OwnAnswer::new(OwnAnswerReason::OutcomeUnknown),
        })
    }

    /// Returns whether a replica has begun to answer without a crash.
    fn has_begun(&self) -> bool {
        self.progress.first_event.is_some()
    }

    /// Waits until a part of the prompt is quarantined. Never completes for a stream that has begun.
    pub(crate) async fn wait_quarantined(&self) {
        if self.has_begun() {
            return pending().await;
        }
        let quarantine = &self.relay.quarantine;
        let parts = self.caller.shared_parts();
        quarantine.wait_for(&self.service, parts).await;
    }

    /// Returns the response to a request that is cancelled at its replica, because a part of its prompt was
    /// quarantined.
    pub(crate) fn cancelled(&self) -> OwnAnswer {
        tracing::info!(
            request = %self.caller.id,
            upstream = self.progress.tried.last().map(|u| u.address.upstream.as_str()),
            parts = self.part_ids(),
            "request cancelled, a part of its prompt was quarantined",
        );
        OwnAnswer::new(OwnAnswerReason::OutcomeUnknown)
    }

    /// Records that a replica broke off its response as it began. The prompt may have crashed the replica,
    /// unless it still accepts connections.
    pub(crate) fn record_break(&self, upstream: &Arc<UpstreamEntry>) {
        if self.caller.shared_parts().is_empty() {
            return;
        }
        let relay = Arc::clone(&self.relay);
        let upstream = Arc::clone(upstream);
        let caller = self.caller.clone();
        tokio::spawn(async move {
            sleep(LISTENER_CLOSE_TIME).await;
            let address = upstream.address.address;
            if !relay.connections.accepts(address, ACCEPT_TIMEOUT).await {
                let parts = caller.shared_parts();
                relay.quarantine.record_crash(&upstream, parts);
            }
        });
    }

    /// Records that the request was answered completely, so no part of its prompt crashes replicas.
    pub(crate) fn record_complete(&self) {
        let parts = self.caller.shared_parts();
        self.relay.quarantine.record_complete(&self.service, parts);
    }
}
