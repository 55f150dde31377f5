//! What the quarantine of harmful content means for one request.

use std::{future::pending, sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    dialect::CallerRequestId,
    exchange::Exchange,
    own_answer::{OwnAnswer, OwnAnswerReason},
    relay::Relay,
    request_content::RequestContent,
    upstream::UpstreamEntry,
};

/// Time within which a process that ends has closed its listener after its connections.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(10);

/// Time in which a replica that has not crashed accepts a connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);

impl Relay {
    /// Refuses a request with quarantined content until the quarantine ends.
    pub(crate) fn check_quarantine(
        &self,
        id: &CallerRequestId,
        content: &RequestContent,
    ) -> Result<(), OwnAnswer> {
        let Some((content, remaining)) = self.quarantine.find(content) else {
            return Ok(());
        };
        tracing::info!(
            request = %id,
            %content,
            remaining_s = remaining.as_secs(),
            "content of the request is quarantined",
        );
        Err(OwnAnswer::retry_after(
            OwnAnswerReason::Quarantined,
            remaining,
        ))
    }
}

impl Exchange {
    /// Refuses another attempt if content of the request was quarantined meanwhile.
    pub(crate) fn check_quarantine(&self) -> Result<(), OwnAnswer> {
        if self.has_begun() {
            return Ok(());
        }
        let checked = self.relay.check_quarantine(&self.caller.id, &self.content);
        checked.map_err(|own| match self.progress.possible_runs {
            0 => own,
            _ => OwnAnswer::new(OwnAnswerReason::OutcomeUnknown),
        })
    }

    /// Returns whether a replica has begun to answer without a crash.
    fn has_begun(&self) -> bool {
        self.progress.first_event.is_some()
    }

    /// Waits until content of the request is quarantined. Never completes for a stream that has begun.
    pub(crate) async fn wait_quarantined(&self) {
        if self.has_begun() {
            return pending().await;
        }
        self.relay.quarantine.wait_for(&self.content).await;
    }

    /// Returns the response to a request that is cancelled at its replica, because its content was
    /// quarantined.
    pub(crate) fn cancelled(&self) -> OwnAnswer {
        tracing::info!(
            request = %self.caller.id,
            upstream = self.progress.tried.last().map(|u| u.address.upstream.as_str()),
            fingerprint = %self.content.fingerprint(),
            parts = self.part_ids(),
            "request cancelled, its content was quarantined",
        );
        OwnAnswer::new(OwnAnswerReason::OutcomeUnknown)
    }

    /// Records that a replica broke off its response as it began. The request may have crashed the
    /// replica, unless it still accepts connections of this node or another one.
    pub(crate) fn record_break(&self, upstream: &Arc<UpstreamEntry>) {
        let relay = Arc::clone(&self.relay);
        let upstream = Arc::clone(upstream);
        let content = self.content.clone();
        tokio::spawn(async move {
            sleep(LISTENER_CLOSE_TIME).await;
            let address = upstream.address.address;
            if relay.connections.accepts(address, ACCEPT_TIMEOUT).await {
                return;
            }
            if relay.peer_paths.check(&upstream).await == Some(true) {
                relay.direct_paths.record_cut(&upstream);
                return;
            }
            relay.quarantine.record_crash(&upstream, &content);
        });
    }

    /// Records that the request was answered completely, so its content does not crash replicas.
    pub(crate) fn record_complete(&self) {
        self.relay.quarantine.record_complete(&self.content);
    }
}
