//! Results of a simulated run.

/// `Answer` is one complete answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Index of the workspace.
    pub workspace: usize,
    /// When the caller first asked, in seconds.
    pub asked_at: f64,
    /// Time to the first token, in seconds.
    pub first_token: f64,
    /// When the answer was complete, in seconds.
    pub ended_at: f64,
    /// Size of the answer, in tokens.
    pub tokens: u64,
    /// Whether the answer was complete before the deadline.
    pub is_in_time: bool,
}

/// `Recomputed` counts the recomputed tokens of one prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recomputed {
    /// When the prefill was scheduled, in whole seconds.
    pub second: u64,
    /// Number of recomputed tokens.
    pub tokens: u64,
}

/// `RunOutcome` collects the results of a run.
#[derive(Debug, Clone, Default)]
pub struct RunOutcome {
    /// Complete answers, in the order of their ends.
    pub answers: Vec<Answer>,
    /// Recomputed tokens.
    pub recomputed: Vec<Recomputed>,
    /// Prompt tokens that were computed, recomputed ones included.
    pub computed: u64,
    /// Requests without an answer: index of the workspace and when the caller asked, in seconds.
    pub lost_at: Vec<(usize, f64)>,
    /// Number of refusals at admission.
    pub refused: u64,
    /// Number of attempts at replicas.
    pub attempts: u64,
    /// Cost of all VMs.
    pub cost: f64,
    /// Size of the KV caches that were moved, in tokens.
    pub transferred: u64,
    /// Arrival times of all requests, in seconds.
    pub asked_at: Vec<f64>,
}

impl RunOutcome {
    /// Returns the number of tokens that were recomputed from `from` to `to`, in seconds.
    pub fn recomputed_between(&self, from: f64, to: f64) -> u64 {
        let is_within = |r: &&Recomputed| (from..to).contains(&(r.second as f64));
        self.recomputed
            .iter()
            .filter(is_within)
            .map(|r| r.tokens)
            .sum()
    }

    /// Returns the `ratio` quantile of the time to the first token, in seconds, over the answered
    /// requests that were asked between `from` and `to`.
    pub fn first_token_quantile(&self, ratio: f64, from: f64, to: f64) -> f64 {
        let mut times: Vec<_> = self
            .answers
            .iter()
            .filter(|answer| (from..to).contains(&answer.asked_at))
            .map(|answer| answer.first_token)
            .collect();
        times.sort_by(f64::total_cmp);
        let index = (times.len() as f64 * ratio) as usize;
        times
            .get(index.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }

    /// Returns the fraction of the answers to requests asked between `from` and `to` whose first token
    /// came within `target` seconds.
    pub fn first_token_met(&self, target: f64, from: f64, to: f64) -> f64 {
        let is_within = |answer: &&Answer| (from..to).contains(&answer.asked_at);
        let answers = self.answers.iter().filter(is_within);
        let met = answers
            .clone()
            .filter(|answer| answer.first_token <= target);
        met.count() as f64 / answers.count().max(1) as f64
    }

    /// Returns the fraction of the requests asked between `from` and `to` that were answered in time.
    pub fn good_ratio(&self, from: f64, to: f64) -> f64 {
        let is_within = |at: f64| (from..to).contains(&at);
        let asked = self.asked_at.iter().filter(|at| is_within(**at)).count();
        let is_good = |answer: &&Answer| answer.is_in_time && is_within(answer.asked_at);
        let good = self.answers.iter().filter(is_good).count();
        good as f64 / asked.max(1) as f64
    }

    /// Returns the number of answers per second that were completed in time between `from` and `to`.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let is_good = |a: &&Answer| a.is_in_time && (from..to).contains(&a.ended_at);
        self.answers.iter().filter(is_good).count() as f64 / (to - from)
    }
}
