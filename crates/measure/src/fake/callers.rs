//! What the callers of a run do.

use rand::Rng;

use super::{
    outcome::Answer, retry::RetryRule, run::Run, schedule::Event, workload::draw_interval,
};

/// Part by which a caller's delay before another try may exceed what it was told.
const ASK_AGAIN_JITTER: f64 = 0.2;

/// Time in which the load rises and falls once, in seconds.
const SWING_PERIOD: f64 = 1800.0;

impl Run<'_> {
    pub(super) fn begin(&mut self, now: f64) {
        let phase = (now / SWING_PERIOD * std::f64::consts::TAU).sin();
        let swing = 1.0 + self.options.swing * phase;
        let base = self.options.profile.requests_per_second * swing;
        let burst = self
            .options
            .burst
            .filter(|burst| (burst.from..burst.to).contains(&now));
        let factor = burst.map_or(1.0, |burst| burst.factor);
        let is_additional = self.rng.random::<f64>() * factor > 1.0;
        let workspace = burst
            .and_then(|burst| burst.workspace)
            .filter(|_| is_additional);
        let conversation = self.workload.begin(workspace, &mut self.rng);
        self.ask(conversation, now);
        let rate = self.workload.conversation_rate(base * factor);
        let mut next = now + draw_interval(rate, &mut self.rng);
        if let Some(burst) = self.options.burst {
            next = clip(next, now, burst.from);
        }
        self.schedule.push(next, Event::Begin);
    }

    pub(super) fn ask(&mut self, conversation: usize, now: f64) {
        let Some(job) = self.workload.ask(conversation, now, &mut self.rng) else {
            return;
        };
        self.outcome.asked_at.push(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.on_asked(job.answer, now);
        }
        let index = self.jobs.len();
        self.schedule.push(job.deadline, Event::Deadline(index));
        self.jobs.push(job);
        self.latest.insert(conversation, index);
        self.enter(index, now);
    }

    /// Asks for admission, and again later after a refusal.
    pub(super) fn enter(&mut self, job: usize, now: f64) {
        if self.jobs[job].is_over {
            return;
        }
        if let Some(admission) = &mut self.admission
            && let Err(delay) = admission.enter(job, &self.jobs[job], now)
        {
            self.outcome.refused += 1;
            let jitter = 1.0 + ASK_AGAIN_JITTER * self.rng.random::<f64>();
            // Another try reaches another node.
            self.jobs[job].node = self.rng.random_range(0..self.options.profile.nodes);
            self.schedule
                .push(now + delay * jitter, Event::AskAgain(job));
            return;
        }
        self.jobs[job].is_admitted = true;
        self.send(job, now);
    }

    pub(super) fn answered(&mut self, job: usize, begun: f64, now: f64) {
        let known = &self.jobs[job];
        self.retries.on_success(known.node);
        if let Some(admission) = &mut self.admission {
            admission.leave(job, known, Some(now - begun), now);
        }
        self.outcome.answers.push(Answer {
            workspace: known.workspace,
            asked_at: known.asked_at,
            first_token: known.first_token_at.unwrap_or(now) - known.asked_at,
            ended_at: now,
            tokens: known.answer,
            is_in_time: now <= known.deadline,
        });
        if let Some(conversation) = known.conversation {
            let pause = self.workload.pause(conversation, &mut self.rng);
            self.schedule.push(now + pause, Event::Ask(conversation));
        }
    }

    /// The caller stops waiting. Its work is cancelled, but for retries that know no end.
    pub(super) fn give_up(&mut self, job: usize, now: f64) {
        if self.jobs[job].is_over {
            return;
        }
        let known = &self.jobs[job];
        if !known.is_abandoned {
            self.outcome.lost_at.push((known.workspace, known.asked_at));
        }
        if matches!(self.options.retry, RetryRule::Unbounded(_)) {
            self.ask_once_more(job, now);
            return;
        }
        if let Some(admission) = &mut self.admission {
            admission.leave(job, &self.jobs[job], None, now);
        }
        self.jobs[job].is_over = true;
        self.leave_replica(job, now);
    }

    /// The caller asks the same again and keeps nothing of the earlier request.
    fn ask_once_more(&mut self, job: usize, now: f64) {
        let mut again = self.jobs[job].clone();
        self.jobs[job].is_abandoned = true;
        let patience = again.deadline - again.asked_at;
        again.asked_at = now;
        again.deadline = now + patience;
        again.replica = None;
        again.decode = None;
        again.first_token_at = None;
        again.generated = 0;
        let index = self.jobs.len();
        self.schedule.push(again.deadline, Event::Deadline(index));
        self.jobs.push(again);
        self.enter(index, now);
    }

    /// An attempt has no first token in time.
    pub(super) fn overdue(&mut self, job: usize, attempt: u32, now: f64) {
        let known = &self.jobs[job];
        let is_current = known.attempt == attempt && !known.is_over && !known.is_abandoned;
        if !is_current || known.first_token_at.is_some() {
            return;
        }
        match self.options.retry {
            RetryRule::Never => {}
            RetryRule::Unbounded(_) => self.send_twin(job, now),
            RetryRule::Budgeted(_) => {
                let delay = self.retries.decide(&self.jobs[job], now, &mut self.rng);
                if let Some(delay) = delay {
                    self.leave_replica(job, now);
                    self.schedule.push(now + delay, Event::Resend(job));
                }
            }
        }
    }

    /// Sends a second attempt and leaves the first one running.
    fn send_twin(&mut self, job: usize, now: f64) {
        let mut twin = self.jobs[job].clone();
        self.jobs[job].is_abandoned = true;
        twin.replica = None;
        twin.decode = None;
        let index = self.jobs.len();
        self.schedule.push(twin.deadline, Event::Deadline(index));
        self.jobs.push(twin);
        self.send(index, now);
    }
}

/// Keeps a long interval from jumping over the start of a burst.
fn clip(next: f64, now: f64, start: f64) -> f64 {
    match now < start && next > start {
        true => start,
        false => next,
    }
}
