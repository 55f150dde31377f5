//! Planned moves of the work of a reclaimed zone.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};
use verbenahead_policy::{
    LeavingUpstream, LeavingWork, Move, MoveKind, PromptBlocks, ReclaimOptions, Timestamp,
    plan_moves,
};

use super::{replica::ReplicaState, run::Run, schedule::Event};
use crate::router::RouteJob;

/// `MoveRule` says what happens to the work of a reclaimed zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveRule {
    /// It is sent again when its replica has stopped.
    Resend,
    /// It is moved by plan.
    Planned,
}

/// `PlannedMove` is a move that a node has planned.
#[derive(Debug, Clone, Copy)]
pub struct PlannedMove {
    job: usize,
    attempt: u32,
    kind: MoveKind,
    from: usize,
    target: usize,
}

/// Time after which the cache of an ended answer is not worth a move, in seconds.
const MAX_IDLE: f64 = 60.0;

/// Time between two tokens that is taken where none has been measured.
const FIRST_INTERVAL: Duration = Duration::from_millis(30);

impl Run<'_> {
    /// Lets every node plan the moves of its own work. A node may use the part of a replica's
    /// export that its work there has of all work there.
    pub(super) fn plan_moves(&mut self, now: f64) {
        let jobs = self.leaving_jobs(now);
        let mut per_replica = vec![0.0; self.replicas.len()];
        jobs.iter()
            .for_each(|job| per_replica[self.place(*job)] += 1.0);
        for node in 0..self.options.profile.nodes {
            let mine = jobs.iter().filter(|job| self.jobs[**job].node == node);
            let mine: Vec<_> = mine.copied().collect();
            if !mine.is_empty() {
                self.plan_node_moves(node, &mine, &per_replica, now);
            }
        }
    }

    fn plan_node_moves(&mut self, node: usize, jobs: &[usize], all: &[f64], now: f64) {
        let leaving = self.leaving_upstreams(jobs, all, now);
        let work: Vec<_> = jobs
            .iter()
            .map(|job| self.leaving_work(*job, now))
            .collect();
        let blocks: Vec<_> = jobs
            .iter()
            .map(|job| self.moved_blocks(*job, now))
            .collect();
        let Some(own) = self.router.own() else {
            return;
        };
        let route = RouteJob {
            node,
            blocks: &blocks[0],
        };
        let targets = own.candidates(&route, &self.replicas, Timestamp::from_secs_f64(now));
        let replicas = &self.replicas;
        let cached =
            |work: usize, target: usize| own.cached(node, &replicas[target], &blocks[work]);
        let options = ReclaimOptions::default();
        let plan = plan_moves(&work, &leaving, &targets, &options, cached);
        for step in plan {
            self.schedule_move(&step, jobs[step.work], now);
        }
    }

    /// Returns the streams at leaving replicas, and the answers that ended there lately and are
    /// the latest of their conversation.
    fn leaving_jobs(&self, now: f64) -> Vec<usize> {
        let is_leaving = |replica: usize| self.replicas[replica].state == ReplicaState::Leaving;
        let is_wanted = |index: &usize| {
            let job = &self.jobs[*index];
            let is_stream = !job.is_over && job.replica.is_some_and(is_leaving);
            let latest = job.conversation.and_then(|known| self.latest.get(&known));
            let is_idle = job
                .ended
                .is_some_and(|ended| is_leaving(ended.replica) && now - ended.at <= MAX_IDLE);
            is_stream || is_idle && latest == Some(index)
        };
        (0..self.jobs.len()).filter(is_wanted).collect()
    }

    /// Returns the replica that has a job or has ended it.
    fn place(&self, job: usize) -> usize {
        let job = &self.jobs[job];
        let ended = job.ended.map(|ended| ended.replica);
        job.replica.or(ended).unwrap_or_default()
    }

    fn leaving_upstreams(&self, jobs: &[usize], all: &[f64], now: f64) -> Vec<LeavingUpstream> {
        let stop = self.options.reclaim.map_or(now, |reclaim| reclaim.at);
        let upstream = |replica: usize| {
            let mine = jobs.iter().filter(|job| self.place(**job) == replica);
            let part = mine.count() as f64 / all[replica].max(1.0);
            LeavingUpstream {
                remaining: Duration::from_secs_f64((stop - now).max(0.0)),
                export_rate: TokenRate(self.options.profile.export_rate * part),
            }
        };
        (0..self.replicas.len()).map(upstream).collect()
    }

    fn leaving_work(&mut self, index: usize, now: f64) -> LeavingWork {
        let blocks = self.moved_blocks(index, now);
        let upstream = self.place(index);
        let ready = self
            .replicas
            .iter()
            .filter(|r| r.state == ReplicaState::Ready);
        let ready = ready.count();
        let job = &self.jobs[index];
        let own = self.router.own();
        let key = own.map(|own| own.key(job.node, &blocks, ready));
        let max_remaining_tokens = job.max_answer.saturating_sub(job.position(now));
        let interval = |interval: f64| Duration::from_secs_f64(interval);
        LeavingWork {
            upstream,
            max_remaining_tokens: job.ended.is_none().then_some(Tokens(max_remaining_tokens)),
            interval: job
                .decode
                .map_or(FIRST_INTERVAL, |decode| interval(decode.interval)),
            context: blocks.prompt(),
            key: key.unwrap_or_default(),
            idle: interval(job.ended.map_or(0.0, |ended| now - ended.at)),
        }
    }

    fn moved_blocks(&self, job: usize, now: f64) -> PromptBlocks {
        self.jobs[job].blocks_at(self.jobs[job].position(now))
    }

    fn schedule_move(&mut self, step: &Move, job: usize, now: f64) {
        let Some(target) = step.target else {
            return;
        };
        let index = self.moves.len();
        self.moves.push(PlannedMove {
            job,
            attempt: self.jobs[job].attempt,
            kind: step.kind,
            from: self.place(job),
            target,
        });
        let begins = now + step.delay.as_secs_f64();
        self.schedule.push(begins, Event::MoveBegins(index));
    }

    /// Begins a move, unless the stream has moved or its caller is gone.
    pub(super) fn begin_move(&mut self, index: usize, now: f64) {
        let step = self.moves[index];
        let job = &self.jobs[step.job];
        let is_current = job.attempt == step.attempt && !job.is_over;
        if !is_current && job.ended.is_none() {
            return;
        }
        if step.kind == MoveKind::Recompute {
            if is_current {
                self.leave_replica(step.job, now);
                self.dispatch_moved(&step, now);
            }
            return;
        }
        let tokens = self.moved_blocks(step.job, now).prompt().0;
        let replica = &mut self.replicas[step.from];
        let ends =
            replica.export_free_at.max(now) + tokens as f64 / self.options.profile.export_rate;
        let stop = self.options.reclaim.map_or(now, |reclaim| reclaim.at);
        if ends >= stop {
            return;
        }
        replica.export_free_at = ends;
        self.outcome.transferred += tokens;
        if is_current {
            self.leave_replica(step.job, now);
        }
        self.schedule.push(ends, Event::MoveArrives(index));
    }

    pub(super) fn finish_move(&mut self, index: usize, now: f64) {
        let step = self.moves[index];
        let blocks = self.moved_blocks(step.job, now);
        self.publish_stored(step.target, blocks.hashes(), now);
        self.replicas[step.target].cache.insert(blocks.hashes());
        let node = self.jobs[step.job].node;
        let at = Timestamp::from_secs_f64(now);
        if let Some(own) = self.router.own() {
            own.on_imported(node, &self.replicas[step.target], &blocks, at);
        }
        if !self.jobs[step.job].is_over {
            self.dispatch_moved(&step, now);
        }
    }

    fn dispatch_moved(&mut self, step: &PlannedMove, now: f64) {
        let blocks = self.moved_blocks(step.job, now);
        if self.replicas[step.target].state == ReplicaState::Ready {
            self.dispatch(step.job, step.target, &blocks, now);
        } else {
            self.send(step.job, now);
        }
    }
}
