//! One run of a profile under a policy.

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

/// `Run` is the state of a run.
pub struct Run<'a> {
    pub(super) options: RunOptions,
    pub(super) router: &'a mut dyn Router,
    pub(super) rng: StdRng,
    pub(super) schedule: Schedule,
    pub(super) workload: Workload,
    pub(super) jobs: Vec<Job>,
    pub(super) replicas: Vec<Replica>,
    pub(super) computed: HashSet<BlockHash>,
    pub(super) outcome: RunOutcome,
    pub(super) fleet: Option<Fleet>,
    pub(super) moves: Vec<PlannedMove>,
    pub(super) latest: HashMap<usize, usize>,
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
            computed: HashSet::default(),
            outcome: RunOutcome::default(),
            fleet: None,
            moves: Vec::new(),
            latest: HashMap::default(),
            admission: None,
            retries: Retries::new(profile.nodes),
            snapshots: VecDeque::new(),
            cache_events: Vec::new(),
            attempts: 0,
        }
    }

    /// Adds admission to the run.
    #[must_use]
    pub fn with_admission(mut self, admission: Option<NodeAdmissions>) -> Self {
        self.admission = admission;
        self
    }

    /// Lets the fleet be planned in place of the replicas of the profile.
    #[must_use]
    pub fn with_fleet(mut self, fleet: Option<Fleet>) -> Self {
        if let Some(fleet) = fleet {
            self.replicas = fleet.first_replicas();
            self.fleet = Some(fleet);
            self.schedule.push(0.0, Event::Plan);
        }
        self
    }

    /// Runs to the end and returns what happened.
    pub fn finish(mut self) -> RunOutcome {
        self.schedule.push(0.0, Event::Begin);
        self.schedule.push(0.0, Event::Report);
        if let Some(reclaim) = self.options.reclaim {
            let notice = (reclaim.at - reclaim.notice).max(0.0);
            self.schedule.push(notice, Event::Notice(reclaim.zone));
            self.schedule.push(reclaim.at, Event::Stop(reclaim.zone));
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
            Event::Begin => self.begin(now),
            Event::Ask(conversation) => self.ask(conversation, now),
            Event::AskAgain(job) => self.enter(job, now),
            Event::Resend(job) => self.send(job, now),
            Event::Deadline(job) => self.give_up(job, now),
            Event::Overdue(job, attempt) => self.overdue(job, attempt, now),
            Event::FirstToken(job, attempt) => self.first_token(job, attempt, now),
            Event::End(job, attempt) => self.end(job, attempt, now),
            Event::Report => self.report(now),
            Event::CacheEvent(index) => {
                let (replica, event) = &self.cache_events[index];
                self.router.on_cache_event(*replica, event);
            }
            Event::Notice(zone) => self.notice(zone, now),
            Event::Stop(zone) => self.stop(zone, now),
            Event::Plan => self.plan_round(now),
            Event::VmReady(replica) => self.vm_ready(replica),
            Event::MoveBegins(index) => self.begin_move(index, now),
            Event::MoveArrives(index) => self.finish_move(index, now),
        }
    }

    /// Routes a request and puts it into the queue of a replica.
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

    /// Puts a request into the queue of this replica.
    pub(super) fn dispatch(&mut self, job: usize, replica: usize, blocks: &PromptBlocks, now: f64) {
        self.attempts += 1;
        self.outcome.attempts += 1;
        let known = &mut self.jobs[job];
        known.attempt += 1;
        known.replica = Some(replica);
        known.decode = None;
        let priority = known.priority;
        if let Some(timeout) = self.options.retry.timeout() {
            let event = Event::Overdue(job, known.attempt);
            self.schedule.push(now + timeout, event);
        }
        let sent = sent_job(job, known, replica, blocks);
        self.router.on_sent(&sent, Timestamp::from_secs_f64(now));
        self.replicas[replica].enqueue(job, priority);
        self.fill_batch(replica, now);
    }

    /// Starts queued work while the batch has room.
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

    /// Caches the blocks, counts what was computed before, and returns the uncached tokens.
    fn compute(&mut self, replica: usize, blocks: &PromptBlocks, now: f64) -> u64 {
        let hashes = blocks.hashes();
        let cached = self.replicas[replica].cache.prefix(hashes);
        let is_known = |hash: &&BlockHash| self.computed.contains(*hash);
        let again = hashes[cached..].iter().filter(is_known).count();
        self.computed.extend(&hashes[cached..]);
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

    /// Schedules the late event of blocks that are about to be cached.
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

    fn first_token(&mut self, job: usize, attempt: u32, now: f64) {
        let known = &mut self.jobs[job];
        if known.is_over || known.attempt != attempt {
            return;
        }
        let Some(replica) = known.replica else {
            return;
        };
        known.first_token_at.get_or_insert(now);
        let interval = self.replicas[replica].interval();
        known.decode = Some(Decode {
            from: now,
            interval,
        });
        let rest = known.answer - known.generated;
        let end = now + rest as f64 * interval;
        self.schedule.push(end, Event::End(job, attempt));
        let blocks = known.blocks_at(known.generated);
        let sent = sent_job(job, known, replica, &blocks);
        self.router
            .on_first_token(&sent, Timestamp::from_secs_f64(now));
    }

    fn end(&mut self, job: usize, attempt: u32, now: f64) {
        if self.jobs[job].is_over || self.jobs[job].attempt != attempt {
            return;
        }
        let begun = self.jobs[job].first_token_at.unwrap_or(now);
        self.jobs[job].is_over = true;
        let replica = self.jobs[job].replica;
        self.jobs[job].ended = replica.map(|replica| Ended { replica, at: now });
        self.leave_replica(job, now);
        self.jobs[job].generated = self.jobs[job].answer;
        if !self.jobs[job].is_abandoned {
            self.answered(job, begun, now);
        }
    }

    /// Ends the current attempt, at the position that it has reached.
    pub(super) fn leave_replica(&mut self, job: usize, now: f64) {
        let known = &mut self.jobs[job];
        let Some(replica) = known.replica.take() else {
            return;
        };
        known.generated = known.position(now);
        let started = known.decode.take().map_or(now, |decode| decode.from);
        let blocks = known.blocks_at(known.generated);
        let sent = sent_job(job, known, replica, &blocks);
        let at = Timestamp::from_secs_f64(now);
        self.router.on_ended(&sent, now - started, at);
        known.attempt += 1;
        self.computed.extend(blocks.hashes());
        self.publish_stored(replica, blocks.hashes(), now);
        self.replicas[replica].cache.insert(blocks.hashes());
        self.replicas[replica].remove(job);
        self.fill_batch(replica, now);
    }

    fn notice(&mut self, zone: usize, now: f64) {
        for replica in self.replicas.iter_mut().filter(|r| r.is_taken(zone)) {
            replica.state = ReplicaState::Leaving;
        }
        if self.options.moves == MoveRule::Planned {
            self.plan_moves(now);
        }
    }

    fn stop(&mut self, zone: usize, now: f64) {
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].is_taken(zone) {
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

/// Time after which a request is routed again when no replica was ready, in seconds.
const NO_REPLICA_DELAY: f64 = 0.5;

/// Longest delay of a request that is sent again after its replica stopped, in seconds.
const RESEND_JITTER: f64 = 0.05;

pub(super) fn sent_job<'b>(
    job: usize,
    known: &Job,
    replica: usize,
    blocks: &'b PromptBlocks,
) -> SentJob<'b> {
    SentJob {
        node: known.node,
        replica,
        attempt: ((job as u64) << 16) | u64::from(known.attempt),
        blocks,
    }
}
