//! Behaviour of the callers of a run.

use rand::Rng;

use super::{
    outcome::Answer, retry::RetryRule, run::Run, schedule::Event, workload::draw_interval,
};

/// Largest jitter of a caller's delay after a refusal, as a fraction of the `retry_after` it received.
const RETRY_JITTER: f64 = 0.2;

/// Period of the sinusoidal load variation, in seconds.
const LOAD_PERIOD: f64 = 1800.0;

impl Run<'_> {
    pub(super) fn start_conversation(&mut self, now: f64) {
        let phase = (now / LOAD_PERIOD * std::f64::consts::TAU).sin();
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
        let conversation = self.workload.start_conversation(workspace, &mut self.rng);
        self.send_next_request(conversation, now);
        let rate = self.workload.conversation_rate(base * factor);
        let mut next = now + draw_interval(rate, &mut self.rng);
        if let Some(burst) = self.options.burst {
            next = clip_to_start(next, now, burst.from);
        }
        self.schedule.push(next, Event::ConversationStart);
    }

    pub(super) fn send_next_request(&mut self, conversation: usize, now: f64) {
        let Some(job) = self.workload.next_request(conversation, now, &mut self.rng) else {
            return;
        };
        self.outcome.asked_at.push(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.on_request(job.answer, now);
        }
        let index = self.jobs.len();
        self.schedule.push(job.deadline, Event::Deadline(index));
        self.jobs.push(job);
        self.latest_jobs.insert(conversation, index);
        self.request_admission(index, now);
    }

    /// Requests admission, and schedules another request after a refusal.
    pub(super) fn request_admission(&mut self, job: usize, now: f64) {
        if self.jobs[job].is_over {
            return;
        }
        if let Some(admission) = &mut self.admission
            && let Err(delay) = admission.try_admit(job, &self.jobs[job], now)
        {
            self.outcome.refused += 1;
            let jitter = 1.0 + RETRY_JITTER * self.rng.random::<f64>();
            // The retry may reach another node.
            self.jobs[job].node = self.rng.random_range(0..self.options.profile.nodes);
            self.schedule
                .push(now + delay * jitter, Event::RetryAdmission(job));
            return;
        }
        self.jobs[job].is_admitted = true;
        self.send(job, now);
    }

    pub(super) fn complete_answer(&mut self, job: usize, first_token_at: f64, now: f64) {
        let state = &self.jobs[job];
        self.retries.on_success(state.node);
        if let Some(admission) = &mut self.admission {
            admission.release(job, state, Some(now - first_token_at), now);
        }
        self.outcome.answers.push(Answer {
            workspace: state.workspace,
            asked_at: state.asked_at,
            first_token: state.first_token_at.unwrap_or(now) - state.asked_at,
            ended_at: now,
            tokens: state.answer,
            is_in_time: now <= state.deadline,
        });
        if let Some(conversation) = state.conversation {
            let pause = self.workload.pause(conversation, &mut self.rng);
            self.schedule
                .push(now + pause, Event::NextRequest(conversation));
        }
    }

    /// Ends a request whose deadline has passed and cancels its work. With unbounded retries the
    /// work goes on and the caller repeats the request.
    pub(super) fn on_deadline(&mut self, job: usize, now: f64) {
        if self.jobs[job].is_over {
            return;
        }
        let state = &self.jobs[job];
        if !state.is_abandoned {
            self.outcome.lost_at.push((state.workspace, state.asked_at));
        }
        if matches!(self.options.retry, RetryRule::Unbounded(_)) {
            self.repeat_request(job, now);
            return;
        }
        if let Some(admission) = &mut self.admission {
            admission.release(job, &self.jobs[job], None, now);
        }
        self.jobs[job].is_over = true;
        self.leave_replica(job, now);
    }

    /// Repeats a request from the start; tokens of the earlier one are not reused.
    fn repeat_request(&mut self, job: usize, now: f64) {
        let mut repeated = self.jobs[job].clone();
        self.jobs[job].is_abandoned = true;
        let patience = repeated.deadline - repeated.asked_at;
        repeated.asked_at = now;
        repeated.deadline = now + patience;
        repeated.replica = None;
        repeated.decode = None;
        repeated.first_token_at = None;
        repeated.generated = 0;
        let index = self.jobs.len();
        self.schedule
            .push(repeated.deadline, Event::Deadline(index));
        self.jobs.push(repeated);
        self.request_admission(index, now);
    }

    /// Applies the retry rule to an attempt without a first token in time.
    pub(super) fn on_first_token_timeout(&mut self, job: usize, attempt: u32, now: f64) {
        let state = &self.jobs[job];
        let is_current = state.attempt == attempt && !state.is_over && !state.is_abandoned;
        if !is_current || state.first_token_at.is_some() {
            return;
        }
        match self.options.retry {
            RetryRule::Never => {}
            RetryRule::Unbounded(_) => self.send_duplicate(job, now),
            RetryRule::Budgeted(_) => {
                let delay = self.retries.decide(&self.jobs[job], now, &mut self.rng);
                if let Some(delay) = delay {
                    self.leave_replica(job, now);
                    self.schedule.push(now + delay, Event::Resend(job));
                }
            }
        }
    }

    /// Sends a second attempt while the first one keeps running.
    fn send_duplicate(&mut self, job: usize, now: f64) {
        let mut duplicate = self.jobs[job].clone();
        self.jobs[job].is_abandoned = true;
        duplicate.replica = None;
        duplicate.decode = None;
        let index = self.jobs.len();
        self.schedule
            .push(duplicate.deadline, Event::Deadline(index));
        self.jobs.push(duplicate);
        self.send(index, now);
    }
}

/// Limits the next start to the start of a burst, so that a long interval does not skip it.
fn clip_to_start(next: f64, now: f64, start: f64) -> f64 {
    match now < start && next > start {
        true => start,
        false => next,
    }
}
