//! One run of a profile under a policy.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::StdRng};
use verbenahead_core::{HashSet, units::Tokens};
use verbenahead_policy::{
    BlockHash, CacheEvent, CacheEventKind, PromptBlocks, ReportedLoad, Timestamp,
};

use super::{
    door::Door,
    job::{BLOCK_TOKENS, Decode, Job},
    outcome::{Recomputed, RunOutcome},
    profile::Profile,
    replica::{Replica, ReplicaState},
    retry::{Retries, RetryRule},
    schedule::{Event, Schedule},
    workload::Workload,
};
use crate::router::{RouteJob, Router, SentJob};

/// `Reclaim` takes back a whole zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reclaim {
    /// Index of the zone.
    pub zone: usize,
    /// When the replicas stop, in seconds.
    pub at: f64,
    /// Time from the notice to the stop, in seconds.
    pub notice: f64,
}

/// `CacheEvents` tells how cache events reach the nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheEvents {
    /// Age of an event when it is received, in seconds.
    pub lag: f64,
    /// Part of the events that are lost.
    pub loss: f64,
}

/// `RunOptions` are the conditions of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Deployment.
    pub profile: Profile,
    /// Seed of all randomness.
    pub seed: u64,
    /// Length, in seconds.
    pub duration: f64,
    /// Time between two reports of a replica, in seconds.
    pub report_period: f64,
    /// Age of a report when it is received, in seconds.
    pub report_lag: f64,
    /// Late events of caches, if the engines publish them.
    pub cache_events: Option<CacheEvents>,
    /// Reclaim of a zone, if any.
    pub reclaim: Option<Reclaim>,
    /// Burst of new conversations, if any.
    pub burst: Option<Burst>,
    /// What happens to attempts without a first token.
    pub retry: RetryRule,
}

/// `Burst` is a time of more new conversations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// When it begins, in seconds.
    pub from: f64,
    /// When it ends, in seconds.
    pub to: f64,
    /// How many times more conversations begin.
    pub factor: f64,
    /// Workspace that the additional conversations belong to; all when left out.
    pub workspace: Option<usize>,
}

/// `Snapshot` is the true load of all replicas at one time.
#[derive(Debug, Clone)]
struct Snapshot {
    taken_at: f64,
    loads: Vec<ReportedLoad>,
}

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
    pub(super) door: Option<Door>,
    pub(super) retries: Retries,
    snapshots: VecDeque<Snapshot>,
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
            door: None,
            retries: Retries::new(profile.nodes),
            snapshots: VecDeque::new(),
            cache_events: Vec::new(),
            attempts: 0,
        }
    }

    /// Adds admission to the run.
    #[must_use]
    pub fn with_door(mut self, door: Option<Door>) -> Self {
        self.door = door;
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
            Event::Moved(..) | Event::Plan | Event::VmReady(_) => {}
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
    fn publish_stored(&mut self, replica: usize, blocks: &[BlockHash], now: f64) {
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

    fn report(&mut self, now: f64) {
        let loads = self.replicas.iter().map(|replica| load_of(replica, now));
        self.snapshots.push_back(Snapshot {
            taken_at: now,
            loads: loads.collect(),
        });
        let visible = now - self.options.report_lag;
        while self.snapshots.len() > 1 && self.snapshots[1].taken_at <= visible {
            self.snapshots.pop_front();
        }
        if self.snapshots[0].taken_at <= visible {
            self.deliver_reports(now);
        }
        self.schedule
            .push(now + self.options.report_period, Event::Report);
    }

    fn deliver_reports(&mut self, now: f64) {
        let snapshot = &self.snapshots[0];
        let age = std::time::Duration::from_secs_f64(now - snapshot.taken_at);
        for (index, load) in snapshot.loads.iter().enumerate() {
            if self.replicas[index].state == ReplicaState::Gone {
                continue;
            }
            let load = ReportedLoad { age, ..*load };
            self.router
                .on_report(index, load, Timestamp::from_secs_f64(now));
        }
    }

    fn notice(&mut self, zone: usize, _now: f64) {
        for replica in self.replicas.iter_mut().filter(|r| r.zone == zone) {
            replica.state = ReplicaState::Leaving;
        }
    }

    fn stop(&mut self, zone: usize, now: f64) {
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].zone == zone {
                self.stop_replica(replica, now);
            }
        }
    }

    fn stop_replica(&mut self, replica: usize, now: f64) {
        self.replicas[replica].state = ReplicaState::Gone;
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

fn load_of(replica: &Replica, now: f64) -> ReportedLoad {
    let backlog = (replica.prefill_free_at - now).max(0.0) * replica.prefill_rate;
    ReportedLoad {
        running: replica.running.len() as u32,
        queued: replica.queued() as u32,
        batch_limit: replica.batch_limit,
        queued_tokens: Tokens(backlog as u64),
        age: std::time::Duration::ZERO,
    }
}
