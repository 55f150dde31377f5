//! Test whether a larger share of the target's answers is bad than of the other versions'.

use crate::rollout_evidence::{Evaluation, Symptom};

/// `Tally` compares the bad answers of the versions.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) old_bad: u64,
    pub(crate) old_answers: u64,
    pub(crate) bad: u64,
    pub(crate) answers: u64,
}

/// Share of bad answers that a version has whose answers are not known.
const PRIOR_SHARE: f64 = 0.02;

/// Number of answers that the prior share is worth.
const PRIOR_ANSWERS: f64 = 50.0;

/// Number of answers that the share of all periods is worth in the share of one.
const PERIOD_PRIOR_ANSWERS: f64 = 15.0;

/// Standard errors of the other versions' bad share that the target may be worse by.
const TOLERATED_ERRORS: f64 = 1.5;

/// Standard errors, and bad answers besides, by which the other versions' bad answers exceed the usual number
/// when all versions are failing.
const SHARED_ERRORS: f64 = 2.0;
const SHARED_BAD: f64 = 1.0;

/// Smallest excess of bad answers that is tested for. The smallest part of failures that shows in the
/// requests that the bound allows is about that.
const MIN_EXCESS: f64 = 0.04;

/// Fewest failures that say anything. A replica that crashes while the target has answered little adds two
/// to those that occur by chance.
const MIN_FAILURES: u64 = 5;

/// Fewest slow answers that say anything.
const MIN_SLOW: u64 = 4;

/// Shares of bad answers that are tested for.
const TESTED_SHARES: [f64; 6] = [0.06, 0.12, 0.25, 0.45, 0.7, 0.95];

/// Largest logarithm of the likelihood ratio of one period. Two periods at least are needed for a verdict at
/// any time: of a failure of all versions, the others' answers may come in the next period only.
const MAX_PERIOD_RATIO: f64 = 6.0;

/// Fewest answers of the other versions, for one of the target, with which a period is a comparison.
const MIN_COMPARED: f64 = 0.1;

/// Largest logarithm of the likelihood ratio of a period without a comparison. All versions may be failing,
/// for a second or so.
const MAX_UNCOMPARED_RATIO: f64 = 1.5;

/// Part of bad answers from which a period without a comparison counts more if the period before it had that
/// part too.
const HIGH_SHARE: f64 = 0.4;

/// Largest logarithm of the likelihood ratio of such a period. A target of whose answers 60 in 100 fail from the
/// time on when it gets all requests succeeded in 24 of 400 plays with 1.5, and in 9 with 3.
const MAX_LASTING_RATIO: f64 = 3.0;

impl Tally {
    pub(crate) fn add(&mut self, other: Self) {
        self.old_bad += other.old_bad;
        self.old_answers += other.old_answers;
        self.bad += other.bad;
        self.answers += other.answers;
    }

    /// Returns what was counted since an earlier tally. Counts of a node that ended are missing in later ones.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            old_bad: self.old_bad.saturating_sub(earlier.old_bad),
            old_answers: self.old_answers.saturating_sub(earlier.old_answers),
            bad: self.bad.saturating_sub(earlier.bad),
            answers: self.answers.saturating_sub(earlier.answers),
        }
    }

    /// Returns the share of bad answers of the other versions.
    fn old_share(&self) -> f64 {
        let answers = self.old_answers as f64 + PRIOR_ANSWERS;
        (self.old_bad as f64 + PRIOR_SHARE * PRIOR_ANSWERS) / answers
    }

    /// Returns the largest share of bad answers that a version which is not worse has.
    fn usual_share(&self) -> f64 {
        let error = (self.old_bad as f64).sqrt() / (self.old_answers as f64 + PRIOR_ANSWERS);
        (self.old_share() + TOLERATED_ERRORS * error).min(0.9)
    }

    /// Returns that share in the middle one of successive periods, while all versions may be failing. The
    /// periods beside it count as well, since answers take a different time to come.
    fn usual_share_in(&self, near: &[Self]) -> f64 {
        let mut sum = Self::default();
        near.iter().for_each(|period| sum.add(*period));
        let expected = sum.old_answers as f64 * self.old_share();
        let usual = self.usual_share();
        if sum.old_bad as f64 <= expected + SHARED_ERRORS * expected.sqrt() + SHARED_BAD {
            return usual;
        }
        let shares = near.iter().map(|period| {
            let bad = period.old_bad as f64 + PERIOD_PRIOR_ANSWERS * self.old_share();
            bad / (period.old_answers as f64 + PERIOD_PRIOR_ANSWERS)
        });
        shares.fold(usual, f64::max).min(0.9)
    }

    /// Returns the logarithm of the likelihood ratio if `excess` of the answers in a period are bad that would
    /// not be at other versions.
    fn log_ratio(&self, usual: f64, excess: f64) -> f64 {
        let tested = usual + excess * (1.0 - usual);
        let (bad, good) = (
            self.bad as f64,
            self.answers.saturating_sub(self.bad) as f64,
        );
        bad * (tested / usual).ln() + good * ((1.0 - tested) / (1.0 - usual)).ln()
    }

    /// Evaluates the target in these periods. `self` is the tally of the whole time.
    pub(crate) fn evaluate(
        &self,
        periods: &[Self],
        symptom: Symptom,
        route: Option<u32>,
    ) -> Option<Evaluation> {
        let mut sum = Self::default();
        periods.iter().for_each(|period| sum.add(*period));
        if sum.answers == 0 {
            return None;
        }
        let usual_share = self.usual_share();
        let min_bad = match symptom {
            Symptom::Failures => MIN_FAILURES,
            Symptom::Slow => MIN_SLOW,
        };
        let log_ratio = if sum.bad < min_bad {
            0.0
        } else {
            let tested = TESTED_SHARES.iter();
            let tested = tested.filter(|share| **share >= usual_share + MIN_EXCESS);
            let ratios: Vec<f64> = tested
                .map(|share| (share - usual_share) / (1.0 - usual_share))
                .map(|excess| self.sum_of_ratios(periods, symptom, excess))
                .collect();
            log_mean(&ratios)
        };
        Some(Evaluation {
            log_ratio,
            symptom,
            route,
            bad: sum.bad,
            answers: sum.answers,
            usual_share,
        })
    }

    fn sum_of_ratios(&self, periods: &[Self], symptom: Symptom, excess: f64) -> f64 {
        if symptom == Symptom::Slow {
            let ratios = periods.iter();
            return ratios
                .map(|period| period.log_ratio(self.usual_share(), excess))
                .sum();
        }
        let mut was_high = false;
        let ratios = periods.iter().enumerate().map(|(index, period)| {
            let near = &periods[index.saturating_sub(1)..periods.len().min(index + 2)];
            let ratio = period.log_ratio(self.usual_share_in(near), excess);
            let is_compared = period.old_answers as f64 >= MIN_COMPARED * period.answers as f64;
            let is_high = !is_compared && period.bad as f64 >= HIGH_SHARE * period.answers as f64;
            let is_lasting = is_high && was_high;
            was_high = is_high;
            ratio.min(match (is_compared, is_lasting) {
                (true, _) => MAX_PERIOD_RATIO,
                (false, true) => MAX_LASTING_RATIO,
                (false, false) => MAX_UNCOMPARED_RATIO,
            })
        });
        ratios.sum()
    }
}

/// Returns the logarithm of the mean of the values with these logarithms.
fn log_mean(logs: &[f64]) -> f64 {
    let largest = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if largest == f64::NEG_INFINITY {
        return largest;
    }
    let sum: f64 = logs.iter().map(|log| (log - largest).exp()).sum();
    largest + (sum / logs.len() as f64).ln()
}
