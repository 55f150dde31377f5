//! Limits that replicas in need name for the requests of all nodes together.
//!
//! A limit is a quota that the nodes share: before a node sends a request to such a replica, it asks the
//! collector of the quota for a grant. A node that is refused leaves the replica alone for some time and
//! sends the request to another one.
//!
//! The room at brittle replicas, which fall over when they reject too much, is shared in the same way.

use std::{sync::Arc, time::Duration};

use verbenahead_core::{
    Generation,
    units::{RequestRate, Tokens},
};
use verbenahead_membership::{GrantRequest, NameKey};
use verbenahead_policy::{MIN_LIMIT, RoomQuota, limit_pause, release_rate, room_quota};

use crate::{
    agreed_clock::AgreedClock,
    dialect::CallerRequestId,
    shared_quotas::{QuotaRefusal, SharedQuotas},
    upstream::UpstreamEntry,
    usage_tracker::UsageTracker,
};

/// Units of a quota for one request. Quotas count whole units, and round up by one.
const UNITS_PER_REQUEST: u64 = 1_000;

/// Burst of a limit, as the time in which it accumulates.
const BURST_TIME: f64 = 0.5;

/// Time after which a request for a grant is given up and another replica is used. It is enough for a
/// collector that does not answer and the one that stands in for it.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a replica is left alone when no collector answers.
const NO_COLLECTOR_PAUSE: Duration = Duration::from_secs(1);

/// Returns the key of the quota for the room at a replica.
fn room_key(upstream: &UpstreamEntry) -> NameKey {
    let address = &upstream.address;
    NameKey::of(&format!(
        "room:{}/{}",
        address.upstream, address.incarnation.0
    ))
}

fn room_request(upstream: &UpstreamEntry, quota: RoomQuota, units: Tokens) -> GrantRequest {
    GrantRequest {
        quota: room_key(upstream),
        units,
        rate: quota.rate * UNITS_PER_REQUEST as f64,
        burst: quota.burst * UNITS_PER_REQUEST as f64,
        generation: Generation::default(),
        is_admitted: false,
        caller: None,
    }
}

/// `ReplicaLimits` gets the grants for requests to replicas with limits.
pub struct ReplicaLimits {
    quotas: Arc<SharedQuotas>,
    usage_tracker: Arc<UsageTracker>,
    clock: Arc<AgreedClock>,
}

impl ReplicaLimits {
    /// Builds limits whose grants come from `quotas`. `usage_tracker` knows the number of nodes.
    pub fn new(
        quotas: Arc<SharedQuotas>,
        usage_tracker: Arc<UsageTracker>,
        clock: Arc<AgreedClock>,
    ) -> Self {
        Self {
            quotas,
            usage_tracker,
            clock,
        }
    }

    /// Returns whether a request may be sent to a replica now. If not, the replica is left alone for some
    /// time.
    pub async fn acquire(&self, id: &CallerRequestId, upstream: &Arc<UpstreamEntry>) -> bool {
        self.acquire_limit(id, upstream).await && self.acquire_room(id, upstream).await
    }

    /// Returns whether a brittle replica has room for a request.
    async fn acquire_room(&self, id: &CallerRequestId, upstream: &Arc<UpstreamEntry>) -> bool {
        let Some(max_rejections) = upstream.max_rejections() else {
            return true;
        };
        let load = upstream.load();
        let quota = room_quota(max_rejections, load.batch_limit);
        let request = room_request(upstream, quota, Tokens(UNITS_PER_REQUEST));
        let granted = self.quotas.grant_within(request, GRANT_TIMEOUT).await;
        let Err(refusal) = granted else {
            return true;
        };
        let pause = match refusal {
            QuotaRefusal::UsedUp(_) => {
                let nodes = self.usage_tracker.nodes().live;
                let rate = release_rate(quota, load.batch_limit, load.service_time);
                limit_pause(Duration::ZERO, rate, nodes, &mut rand::rng())
            }
            QuotaRefusal::NoCollector => NO_COLLECTOR_PAUSE,
        };
        upstream.pause_limited(pause);
        tracing::info!(
            request = %id,
            upstream = %upstream.address.upstream,
            max_rejections = max_rejections.0,
            has_collector = refusal != QuotaRefusal::NoCollector,
            pause_ms = pause.as_millis() as u64,
            "brittle replica without room",
        );
        false
    }

    /// Records that a replica rejected a request for want of room. If it is brittle, the room that the nodes
    /// believe to be left there is gone.
    pub fn record_rejection(&self, upstream: &UpstreamEntry) {
        let Some(max_rejections) = upstream.max_rejections() else {
            return;
        };
        let quota = RoomQuota {
            burst: 0.0,
            ..room_quota(max_rejections, upstream.load().batch_limit)
        };
        let request = room_request(upstream, quota, Tokens(0));
        let quotas = Arc::clone(&self.quotas);
        tokio::spawn(async move {
            if let Err(refusal) = quotas.grant_within(request, GRANT_TIMEOUT).await {
                tracing::debug!(?refusal, "rejection not told to the collector");
            }
        });
    }

    /// Makes room for another request at a brittle replica, since one has ended there. While requests wait
    /// at the replica, none is made.
    pub fn release_room(&self, upstream: &UpstreamEntry) {
        if upstream.max_rejections().is_some() && !upstream.has_queue() {
            let units = Tokens(UNITS_PER_REQUEST);
            self.quotas.release(room_key(upstream), units);
        }
    }

    async fn acquire_limit(&self, id: &CallerRequestId, upstream: &Arc<UpstreamEntry>) -> bool {
        let Some(limit) = upstream.limit() else {
            return true;
        };
        let Some(_asking) = upstream.begin_grant_request() else {
            return false;
        };
        let rate = RequestRate(limit.rate.0.max(MIN_LIMIT.0));
        let known_at = self.clock.now().saturating_sub(limit.age);
        let request = GrantRequest {
            quota: upstream.incarnation_key(),
            units: Tokens(UNITS_PER_REQUEST),
            rate: rate.0 * UNITS_PER_REQUEST as f64,
            burst: rate.0 * UNITS_PER_REQUEST as f64 * BURST_TIME,
            generation: Generation(known_at.0),
            is_admitted: false,
            caller: None,
        };
        let granted = self.quotas.grant_within(request, GRANT_TIMEOUT).await;
        let Err(refusal) = granted else {
            return true;
        };
        let pause = match refusal {
            QuotaRefusal::UsedUp(wait) => {
                let nodes = self.usage_tracker.nodes().live;
                limit_pause(wait, rate, nodes, &mut rand::rng())
            }
            QuotaRefusal::NoCollector => NO_COLLECTOR_PAUSE,
        };
        upstream.pause_limited(pause);
        tracing::info!(
            request = %id,
            upstream = %upstream.address.upstream,
            limit_per_second = limit.rate.0,
            limit_age_ms = limit.age.as_millis() as u64,
            has_collector = refusal != QuotaRefusal::NoCollector,
            pause_ms = pause.as_millis() as u64,
            "replica at its limit",
        );
        false
    }
}
