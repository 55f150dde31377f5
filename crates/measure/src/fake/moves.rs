//! Planned moves of requests away from the replicas of a reclaimed zone.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};
use verbenahead_policy::{
    LeavingUpstream, LeavingWork, Move, MoveKind, PromptBlocks, ReclaimOptions, Timestamp,
    plan_moves,
};

use super::{replica::ReplicaState, run::Run, schedule::Event};
use crate::router::RouteJob;

/// `MoveRule` selects how the requests of a reclaimed zone continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveRule {
    /// A request is sent to another replica once its replica has stopped.
    Resend,
    /// Nodes plan moves at the reclaim notice.
    Planned,
}

/// `PlannedMove` is a move that a node has scheduled.
#[derive(Debug, Clone, Copy)]
pub struct PlannedMove {
    job: usize,
    attempt: u32,
    kind: MoveKind,
    from: usize,
    target: usize,
}

/// Longest time after the end of an answer for which its KV cache is still moved, in seconds.
const MAX_IDLE_TIME: f64 = 60.0;

/// Time between two tokens of a request that is not generating yet.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(30);

impl Run<'_> {
    /// Plans the moves of each node's requests. A node uses a share of a replica's export rate
    /// that is proportional to its share of the requests there.
    pub(super) fn plan_moves(&mut self, now: f64) {
        let jobs = self.leaving_jobs(now);
        let mut jobs_per_replica = vec![0.0; self.replicas.len()];
        jobs.iter()
            .for_each(|job| jobs_per_replica[self.replica_of(*job)] += 1.0);
        for node in 0..self.options.profile.nodes {
            let own_jobs = jobs.iter().filter(|job| self.jobs[**job].node == node);
            let own_jobs: Vec<_> = own_jobs.copied().collect();
            if !own_jobs.is_empty() {
                self.plan_node_moves(node, &own_jobs, &jobs_per_replica, now);
            }
        }
    }

    fn plan_node_moves(&mut self, node: usize, jobs: &[usize], jobs_per_replica: &[f64], now: f64) {
        let leaving = self.leaving_upstreams(jobs, jobs_per_replica, now);
        let work: Vec<_> = jobs
            .iter()
            .map(|job| self.leaving_work(*job, now))
            .collect();
        let blocks: Vec<_> = jobs
            .iter()
            .map(|job| self.moved_blocks(*job, now))
            .collect();
        let Some(own) = self.router.as_own_router() else {
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

    /// Returns the jobs with a stream at a leaving replica, and those whose answer ended there
    /// within [`MAX_IDLE_TIME`] and is the latest of its conversation.
    fn leaving_jobs(&self, now: f64) -> Vec<usize> {
        let is_leaving = |replica: usize| self.replicas[replica].state == ReplicaState::Leaving;
        let is_wanted = |index: &usize| {
            let job = &self.jobs[*index];
            let is_stream = !job.is_over && job.replica.is_some_and(is_leaving);
            let latest = job
                .conversation
                .and_then(|conversation| self.latest_jobs.get(&conversation));
            let is_idle = job
                .ended
                .is_some_and(|ended| is_leaving(ended.replica) && now - ended.at <= MAX_IDLE_TIME);
            is_stream || is_idle && latest == Some(index)
        };
        (0..self.jobs.len()).filter(is_wanted).collect()
    }

    /// Returns the replica that runs a job or completed it.
    fn replica_of(&self, job: usize) -> usize {
        let job = &self.jobs[job];
        let ended = job.ended.map(|ended| ended.replica);
        job.replica.or(ended).unwrap_or_default()
    }

    fn leaving_upstreams(
        &self,
        jobs: &[usize],
        jobs_per_replica: &[f64],
        now: f64,
    ) -> Vec<LeavingUpstream> {
        let stop = self.options.reclaim.map_or(now, |reclaim| reclaim.at);
        let upstream = |replica: usize| {
            let own_jobs = jobs.iter().filter(|job| self.replica_of(**job) == replica);
            let share = own_jobs.count() as f64 / jobs_per_replica[replica].max(1.0);
            LeavingUpstream {
                remaining: Duration::from_secs_f64((stop - now).max(0.0)),
                export_rate: TokenRate(self.options.profile.export_rate * share),
            }
        };
        (0..self.replicas.len()).map(upstream).collect()
    }

    fn leaving_work(&mut self, index: usize, now: f64) -> LeavingWork {
        let blocks = self.moved_blocks(index, now);
        let upstream = self.replica_of(index);
        let ready = self
            .replicas
            .iter()
            .filter(|r| r.state == ReplicaState::Ready);
        let ready = ready.count();
        let job = &self.jobs[index];
        let own = self.router.as_own_router();
        let key = own.map(|own| own.key(job.node, &blocks, ready));
        let max_remaining_tokens = job.max_answer.saturating_sub(job.position(now));
        let seconds = |interval: f64| Duration::from_secs_f64(interval);
        LeavingWork {
            upstream,
            max_remaining_tokens: job.ended.is_none().then_some(Tokens(max_remaining_tokens)),
            interval: job
                .decode
                .map_or(DEFAULT_INTERVAL, |decode| seconds(decode.interval)),
            context: blocks.prompt(),
            key: key.unwrap_or_default(),
            idle: seconds(job.ended.map_or(0.0, |ended| now - ended.at)),
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
            from: self.replica_of(job),
            target,
        });
        let start = now + step.delay.as_secs_f64();
        self.schedule.push(start, Event::MoveStart(index));
    }

    /// Starts a move, unless the stream has already moved or its caller is gone.
    pub(super) fn start_move(&mut self, index: usize, now: f64) {
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
        let end =
            replica.export_free_at.max(now) + tokens as f64 / self.options.profile.export_rate;
        let stop = self.options.reclaim.map_or(now, |reclaim| reclaim.at);
        if end >= stop {
            return;
        }
        replica.export_free_at = end;
        self.outcome.transferred += tokens;
        if is_current {
            self.leave_replica(step.job, now);
        }
        self.schedule.push(end, Event::MoveEnd(index));
    }

    pub(super) fn finish_move(&mut self, index: usize, now: f64) {
        let step = self.moves[index];
        let blocks = self.moved_blocks(step.job, now);
        self.publish_stored(step.target, blocks.hashes(), now);
        self.replicas[step.target].cache.insert(blocks.hashes());
        let node = self.jobs[step.job].node;
        let at = Timestamp::from_secs_f64(now);
        if let Some(own) = self.router.as_own_router() {
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
