//! Simulation of a profile under a routing policy.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::StdRng};
use verbenahead_core::{HashMap, HashSet};
use verbenahead_policy::{BlockHash, CacheEvent, CacheEventKind, PromptBlocks, Timestamp};

use super::{
    admission::NodeAdmissions,
    conditions::RunOptions,
    fleet::Fleet,
    job::{BLOCK_TOKENS, Decode, Ended, Job},
    moves::{MoveRule, PlannedMove},
    outcome::{Recomputed, RunOutcome},
    replica::{Replica, ReplicaState},
    reports::Snapshot,
    retry::Retries,
    schedule::{Event, Schedule},
    workload::Workload,
};
use crate::router::{RouteJob, Router, SentJob};

/// `Run` is the state of a simulated run.
pub struct Run<'a> {
    pub(super) options: RunOptions,
    pub(super) router: &'a mut dyn Router,
    pub(super) rng: StdRng,
    pub(super) schedule: Schedule,
    pub(super) workload: Workload,
    pub(super) jobs: Vec<Job>,
    pub(super) replicas: Vec<Replica>,
    pub(super) computed_blocks: HashSet<BlockHash>,
    pub(super) outcome: RunOutcome,
    pub(super) fleet: Option<Fleet>,
    pub(super) moves: Vec<PlannedMove>,
    pub(super) latest_jobs: HashMap<usize, usize>,
    pub(super) admission: Option<NodeAdmissions>,
    pub(super) retries: Retries,
    pub(super) snapshots: VecDeque<Snapshot>,
    cache_events: Vec<(usize, CacheEvent)>,
    attempts: u64,
}

impl<'a> Run<'a> {
    /// Builds a run with idle replicas.
    pub fn new(options: RunOptions, router: &'a mut dyn Router) -> Self {
        let profile = options.profile.clone();
        let zones = profile.replicas.iter().enumerate();
        let zones = zones.flat_map(|(zone, count)| std::iter::repeat_n(zone, *count));
        let replica = |(number, zone): (usize, usize)| {
            Replica::new(number, zone, profile.prices[zone], &profile)
        };
        let replicas = zones.enumerate().map(replica).collect();
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            workload: Workload::new(profile.clone()),
            options,
            router,
            schedule: Schedule::default(),
            jobs: Vec::new(),
            replicas,
            computed_blocks: HashSet::default(),
            outcome: RunOutcome::default(),
            fleet: None,
            moves: Vec::new(),
            latest_jobs: HashMap::default(),
            admission: None,
            retries: Retries::new(profile.nodes),
            snapshots: VecDeque::new(),
            cache_events: Vec::new(),
            attempts: 0,
        }
    }

    /// Sets the admission control of the nodes.
    #[must_use]
    pub fn with_admission(mut self, admission: Option<NodeAdmissions>) -> Self {
        self.admission = admission;
        self
    }

    /// Replaces the fixed replicas of the profile by a planned fleet.
    #[must_use]
    pub fn with_fleet(mut self, fleet: Option<Fleet>) -> Self {
        if let Some(fleet) = fleet {
            self.replicas = fleet.initial_replicas();
            self.fleet = Some(fleet);
            self.schedule.push(0.0, Event::PlanFleet);
        }
        self
    }

    /// Runs the simulation to its end and returns the results.
    pub fn finish(mut self) -> RunOutcome {
        self.schedule.push(0.0, Event::ConversationStart);
        self.schedule.push(0.0, Event::LoadReport);
        if let Some(reclaim) = self.options.reclaim {
            let notice = (reclaim.at - reclaim.notice).max(0.0);
            self.schedule
                .push(notice, Event::ReclaimNotice(reclaim.zone));
            self.schedule
                .push(reclaim.at, Event::ZoneStop(reclaim.zone));
        }
        while let Some((now, event)) = self.schedule.pop() {
            if now > self.options.duration {
                break;
            }
            self.handle(event, now);
        }
        self.outcome.cost = self.cost();
        self.outcome
    }

    fn handle(&mut self, event: Event, now: f64) {
        match event {
            Event::ConversationStart => self.start_conversation(now),
            Event::NextRequest(conversation) => self.send_next_request(conversation, now),
            Event::RetryAdmission(job) => self.request_admission(job, now),
            Event::Resend(job) => self.send(job, now),
            Event::Deadline(job) => self.on_deadline(job, now),
            Event::Overdue(job, attempt) => self.on_first_token_timeout(job, attempt, now),
            Event::FirstToken(job, attempt) => self.on_first_token(job, attempt, now),
            Event::End(job, attempt) => self.end_attempt(job, attempt, now),
            Event::LoadReport => self.report_loads(now),
            Event::CacheEvent(index) => {
                let (replica, event) = &self.cache_events[index];
                self.router.on_cache_event(*replica, event);
            }
            Event::ReclaimNotice(zone) => self.start_reclaim(zone, now),
            Event::ZoneStop(zone) => self.stop_zone(zone, now),
            Event::PlanFleet => self.plan_fleet_round(now),
            Event::VmReady(replica) => self.mark_vm_ready(replica),
            Event::MoveStart(index) => self.start_move(index, now),
            Event::MoveEnd(index) => self.finish_move(index, now),
        }
    }

    /// Routes a request and adds it to the queue of the chosen replica.
    pub(super) fn send(&mut self, job: usize, now: f64) {
        if self.jobs[job].is_over {
            return;
        }
        let blocks = self.jobs[job].blocks_at(self.jobs[job].generated);
        let route = RouteJob {
            node: self.jobs[job].node,
            blocks: &blocks,
        };
        let at = Timestamp::from_secs_f64(now);
        let chosen = self
            .router
            .choose(&route, &self.replicas, at, &mut self.rng);
        let Some(replica) = chosen else {
            self.schedule
                .push(now + NO_REPLICA_DELAY, Event::Resend(job));
            return;
        };
        self.dispatch(job, replica, &blocks, now);
    }

    /// Adds a request to the queue of a replica.
    pub(super) fn dispatch(&mut self, job: usize, replica: usize, blocks: &PromptBlocks, now: f64) {
        self.attempts += 1;
        self.outcome.attempts += 1;
        let state = &mut self.jobs[job];
        state.attempt += 1;
        state.replica = Some(replica);
        state.decode = None;
        let priority = state.priority;
        if let Some(timeout) = self.options.retry.timeout() {
            let event = Event::Overdue(job, state.attempt);
            self.schedule.push(now + timeout, event);
        }
        let sent = to_sent_job(job, state, replica, blocks);
        self.router.on_sent(&sent, Timestamp::from_secs_f64(now));
        self.replicas[replica].enqueue(job, priority);
        self.fill_batch(replica, now);
    }

    /// Starts queued requests while the batch has room.
    pub(super) fn fill_batch(&mut self, replica: usize, now: f64) {
        while let Some(job) = self.replicas[replica].start_next() {
            let position = self.jobs[job].generated;
            let blocks = self.jobs[job].blocks_at(position);
            let uncached = self.compute(replica, &blocks, now);
            let ready_at = self.replicas[replica].book_prefill(uncached, now);
            let first_token = ready_at + self.replicas[replica].inter_token;
            let event = Event::FirstToken(job, self.jobs[job].attempt);
            self.schedule.push(first_token, event);
        }
    }

    /// Caches the blocks, records the recomputed tokens, and returns the number of uncached tokens.
    fn compute(&mut self, replica: usize, blocks: &PromptBlocks, now: f64) -> u64 {
        let hashes = blocks.hashes();
        let cached = self.replicas[replica].cache.prefix(hashes);
        let is_known = |hash: &&BlockHash| self.computed_blocks.contains(*hash);
        let again = hashes[cached..].iter().filter(is_known).count();
        self.computed_blocks.extend(&hashes[cached..]);
        self.publish_stored(replica, hashes, now);
        self.replicas[replica].cache.insert(hashes);
        let uncached = blocks.prompt().0 - cached as u64 * BLOCK_TOKENS;
        self.outcome.computed += uncached;
        self.outcome.recomputed.push(Recomputed {
            second: now as u64,
            tokens: again as u64 * BLOCK_TOKENS,
        });
        uncached
    }

    /// Schedules the delayed cache event of blocks that are about to be cached.
    pub(super) fn publish_stored(&mut self, replica: usize, blocks: &[BlockHash], now: f64) {
        let Some(events) = self.options.cache_events else {
            return;
        };
        let cached = self.replicas[replica].cache.prefix(blocks);
        if cached == blocks.len() || self.rng.random_bool(events.loss) {
            return;
        }
        let event = CacheEvent {
            sequence: self.cache_events.len() as u64,
            happened_at: Timestamp::from_secs_f64(now),
            kind: CacheEventKind::Stored(blocks[cached..].to_vec()),
        };
        let index = self.cache_events.len();
        self.schedule
            .push(now + events.lag, Event::CacheEvent(index));
        self.cache_events.push((replica, event));
    }

    fn on_first_token(&mut self, job: usize, attempt: u32, now: f64) {
        let state = &mut self.jobs[job];
        if state.is_over || state.attempt != attempt {
            return;
        }
        let Some(replica) = state.replica else {
            return;
        };
        state.first_token_at.get_or_insert(now);
        let interval = self.replicas[replica].interval();
        state.decode = Some(Decode {
            from: now,
            interval,
        });
        let remaining = state.answer - state.generated;
        let end = now + remaining as f64 * interval;
        self.schedule.push(end, Event::End(job, attempt));
        let blocks = state.blocks_at(state.generated);
        let sent = to_sent_job(job, state, replica, &blocks);
        self.router
            .on_first_token(&sent, Timestamp::from_secs_f64(now));
    }

    fn end_attempt(&mut self, job: usize, attempt: u32, now: f64) {
        if self.jobs[job].is_over || self.jobs[job].attempt != attempt {
            return;
        }
        let first_token_at = self.jobs[job].first_token_at.unwrap_or(now);
        self.jobs[job].is_over = true;
        let replica = self.jobs[job].replica;
        self.jobs[job].ended = replica.map(|replica| Ended { replica, at: now });
        self.leave_replica(job, now);
        self.jobs[job].generated = self.jobs[job].answer;
        if !self.jobs[job].is_abandoned {
            self.complete_answer(job, first_token_at, now);
        }
    }

    /// Ends the current attempt at its current position.
    pub(super) fn leave_replica(&mut self, job: usize, now: f64) {
        let state = &mut self.jobs[job];
        let Some(replica) = state.replica.take() else {
            return;
        };
        state.generated = state.position(now);
        let started = state.decode.take().map_or(now, |decode| decode.from);
        let blocks = state.blocks_at(state.generated);
        let sent = to_sent_job(job, state, replica, &blocks);
        let at = Timestamp::from_secs_f64(now);
        self.router.on_ended(&sent, now - started, at);
        state.attempt += 1;
        self.computed_blocks.extend(blocks.hashes());
        self.publish_stored(replica, blocks.hashes(), now);
        self.replicas[replica].cache.insert(blocks.hashes());
        self.replicas[replica].remove(job);
        self.fill_batch(replica, now);
    }

    fn start_reclaim(&mut self, zone: usize, now: f64) {
        for replica in self
            .replicas
            .iter_mut()
            .filter(|r| r.is_reclaimed_with(zone))
        {
            replica.state = ReplicaState::Leaving;
        }
        if self.options.moves == MoveRule::Planned {
            self.plan_moves(now);
        }
    }

    fn stop_zone(&mut self, zone: usize, now: f64) {
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].is_reclaimed_with(zone) {
                self.stop_replica(replica, now);
            }
        }
    }

    pub(super) fn stop_replica(&mut self, replica: usize, now: f64) {
        self.replicas[replica].state = ReplicaState::Gone;
        self.replicas[replica].gone_at = Some(now);
        let mut jobs = std::mem::take(&mut self.replicas[replica].running);
        for queue in &mut self.replicas[replica].waiting {
            jobs.extend(queue.drain(..));
        }
        for job in &jobs {
            self.leave_replica(*job, now);
        }
        self.router.on_gone(replica, &self.replicas);
        for job in jobs {
            let jitter = self.rng.random::<f64>() * RESEND_JITTER;
            self.schedule.push(now + jitter, Event::Resend(job));
        }
    }
}

/// Delay before a request is routed again when no replica is ready, in seconds.
const NO_REPLICA_DELAY: f64 = 0.5;

/// Largest random delay before a request is sent again after its replica stopped, in seconds.
const RESEND_JITTER: f64 = 0.05;

pub(super) fn to_sent_job<'b>(
    job: usize,
    state: &Job,
    replica: usize,
    blocks: &'b PromptBlocks,
) -> SentJob<'b> {
    SentJob {
        node: state.node,
        replica,
        attempt: ((job as u64) << 16) | u64::from(state.attempt),
        blocks,
    }
}
