//! Choice of the replica for a request by what the coordinators of the candidates know.

use std::{fmt, sync::Arc, time::Duration};

use verbenahead_manifest::Route;
use verbenahead_policy::PlacementRequest;

use crate::{
    exchange::Exchange,
    own_answer::{OwnAnswer, OwnAnswerReason},
    placement::PlacementEvidence,
    replica_selector::Selection,
    upstream::UpstreamEntry,
};

/// Longest pause that is assumed to be harmless if no route of the service states one.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(600);

/// Predicted time to the first event above which a request is refused, as a multiple of its remaining time.
/// Predictions are uncertain, and a request that would have been served must not be refused.
const REFUSAL_MARGIN: f64 = 1.5;

/// Largest delay of a refused caller's retry, as a multiple of the time by which the request is late.
const MAX_RETURN_SPREAD: f64 = 1.5;

impl Exchange {
    /// Selects a replica that is none of `excluded`. If replicas of the service state their speed, the
    /// coordinators of a few candidates are asked first, if `may_ask`.
    pub(crate) async fn place(
        &self,
        excluded: &[Arc<UpstreamEntry>],
        may_ask: bool,
    ) -> Option<Selection> {
        let selector = &self.relay.replica_selector;
        let placement = &self.relay.placement;
        let asks = may_ask && self.blocks.is_some() && placement.is_active(&self.service);
        let wanted = if asks { placement.max_candidates() } else { 1 };
        let mut shortlist = selector.shortlist(self, excluded, wanted);
        let uncached = shortlist.iter().map(|selection| selection.uncached).max()?;
        let Some(blocks) = self.blocks.as_ref().filter(|_| shortlist.len() > 1) else {
            return shortlist.into_iter().next();
        };
        let count = match self.is_most_urgent() {
            Some(is_urgent) => placement.ranked_candidates(&self.service, uncached, is_urgent),
            None => placement.candidates(&self.service, uncached),
        };
        shortlist.truncate(count.max(1));
        if shortlist.len() < 2 {
            return shortlist.into_iter().next();
        }
        let req = PlacementRequest {
            prompt: blocks.prompt(),
            objective: self.route.objective,
            max_pause: self.max_pause(),
        };
        placement.choose(&req, shortlist).await
    }

    /// Refuses a request at once that is predicted to get no first event before its deadline at any candidate.
    ///
    /// Coordinators do not know the order in which replicas serve their queues, so only the least urgent
    /// requests of the service are refused.
    pub(crate) fn check_servable(&self, selection: &Selection) -> Result<(), OwnAnswer> {
        let earliest = selection.placement.and_then(|placement| placement.earliest);
        let remaining = self.remaining();
        let limit = remaining.mul_f64(REFUSAL_MARGIN);
        let is_first = self.progress.attempts == 0 && self.resume_after().is_none();
        let Some(earliest) = earliest.filter(|earliest| *earliest > limit && is_first) else {
            return Ok(());
        };
        if !self.is_least_urgent() {
            return Ok(());
        }
        self.relay.replica_limits.release_room(&selection.upstream);
        // Callers that are refused together do not come back together.
        let spread = rand::random_range(1.0..=MAX_RETURN_SPREAD);
        let delay = (earliest - remaining).mul_f64(spread);
        tracing::info!(
            request = %self.caller.id,
            service = %self.service,
            earliest_ms = earliest.as_millis() as u64,
            remaining_ms = remaining.as_millis() as u64,
            placement = selection.placement.map(tracing::field::display),
            retry_after_ms = delay.as_millis() as u64,
            "service too busy for the request",
        );
        Err(OwnAnswer::retry_after(OwnAnswerReason::Overloaded, delay))
    }

    /// Returns whether no route of the service has less urgent requests.
    fn is_least_urgent(&self) -> bool {
        let own = self.rank();
        let routes = self.relay.routes();
        let mut routes = routes.iter().flat_map(|routes| routes.routes());
        !routes.any(|route| self.shares_service(route) && route.rank > own)
    }

    /// Returns whether no route of the service has more urgent requests, or `None` if its routes have the same
    /// rank.
    fn is_most_urgent(&self) -> Option<bool> {
        let routes = self.relay.routes();
        let routes = routes.iter().flat_map(|routes| routes.routes());
        let ranks = routes.filter(|route| self.shares_service(route));
        let (first, last) = ranks.fold((u8::MAX, u8::MIN), |(first, last), route| {
            (first.min(route.rank), last.max(route.rank))
        });
        (first < last).then(|| self.rank() <= first)
    }

    /// Returns the rank of the workspace, or else of the route.
    fn rank(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        own.unwrap_or(self.route.rank)
    }

    fn shares_service(&self, route: &Route) -> bool {
        let mut targets = route.targets.iter();
        targets.any(|target| target.service == self.service)
    }

    /// Returns the longest pause between two events of the streams at the replicas of the service.
    fn max_pause(&self) -> Duration {
        let routes = self.relay.routes();
        let pauses = routes.iter().flat_map(|routes| routes.routes());
        let pauses = pauses.filter(|route| self.shares_service(route));
        let shortest = pauses.filter_map(|route| route.gap_objective).min();
        shortest.unwrap_or(DEFAULT_MAX_PAUSE)
    }
}

impl fmt::Display for PlacementEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (asked, known, waited) = (self.asked, self.known, self.waited.as_millis());
        write!(f, "known={known}/{asked} waited_ms={waited}")?;
        if let Some(load) = &self.load {
            let percent = (load.time_factor * 100.0) as u32;
            let queued = load.queued.as_millis();
            let streams = load.streams;
            write!(
                f,
                " queued_ms={queued} streams={streams} time_percent={percent}"
            )?;
            if let Some(age) = load.stated_age {
                write!(f, " stated_age_ms={}", age.as_millis())?;
            }
        }
        if let Some(paused) = self.paused_streams {
            write!(f, " paused_streams={paused:.2}")?;
        }
        Ok(())
    }
}
