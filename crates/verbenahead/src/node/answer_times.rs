//! Latencies of one answer.

use tokio::time::Instant;

use crate::node::observer::RequestTimes;

/// `AnswerTimes` measures time to first token and mean inter-token time of one answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes {
    started: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    /// Number of tokens received.
    pub tokens: u64,
}

impl AnswerTimes {
    /// Starts the measurement.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            first: None,
            last: None,
            tokens: 0,
        }
    }

    /// Records the arrival of a token.
    pub fn on_token(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += 1;
    }

    /// Returns the latencies measured so far.
    pub fn report(&self) -> RequestTimes {
        let gaps = self.tokens.saturating_sub(1);
        let span = self.first.zip(self.last).map(|(first, last)| last - first);
        RequestTimes {
            first_token: self.first.map(|first| first - self.started),
            inter_token: span
                .filter(|_| gaps > 0)
                .map(|span| span.div_f64(gaps as f64)),
        }
    }
}
