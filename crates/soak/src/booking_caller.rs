//! A caller that makes bookings with keys and retries until it knows the outcome.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use rand::{Rng, SeedableRng as _, rngs::StdRng};
use serde_json::Value;
use tokio::time::{sleep, timeout};
use verbenahead_standins::client::{JsonClient, Reply};

use crate::{
    booking_records::{BookingRecord, BookingRecords, LastOutcome},
    invariant::BrokenInvariant,
    node_directory::NodeDirectory,
    report::Counters,
    run::StopFlag,
};

const PATH: &str = "/v1/services/booking/bookings";
const BODY: &str = r#"{"chair":7,"hour":9}"#;
const CREDENTIAL: HeaderValue = HeaderValue::from_static("Bearer barber-key");

/// Longest time that a caller waits for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum attempts with one key.
const MAX_ATTEMPTS: u32 = 8;

/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);

/// Probability that a key is retried after a `not_run`.
const RETRY_RATIO: f64 = 0.6;

/// Probability that an answered key is sent once more.
const REPEAT_RATIO: f64 = 0.25;

/// `BookingCaller` makes one booking after another.
#[derive(Debug)]
pub struct BookingCaller {
    number: usize,
    seed: u64,
    rng: StdRng,
    directory: Arc<NodeDirectory>,
    records: Arc<BookingRecords>,
    counters: Arc<Counters>,
}

/// Outcome of one attempt as the caller sees it.
enum AttemptOutcome {
    Answered(Bytes),
    NotRun,
    Unknown,
    /// The caller stopped waiting.
    Abandoned,
}

impl BookingCaller {
    /// Builds a caller. Its keys follow from `number` and `seed`.
    pub fn new(
        number: usize,
        seed: u64,
        directory: Arc<NodeDirectory>,
        records: Arc<BookingRecords>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            number,
            seed,
            rng: StdRng::seed_from_u64(seed),
            directory,
            records,
            counters,
        }
    }

    /// Makes bookings until the run stops.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] when a caller gets two replies that contradict each other.
    pub async fn run(mut self, stop: StopFlag) -> Result<(), BrokenInvariant> {
        let mut count = 0_u64;
        while !stop.is_set() {
            count += 1;
            let key = format!("key-{}-{}-{count}", self.seed, self.number);
            let record = self.book(&key).await?;
            self.count_outcome(&record.word);
            self.records.put(key, record);
            sleep(Duration::from_millis(self.rng.random_range(0..200))).await;
        }
        Ok(())
    }

    fn count_outcome(&self, outcome: &LastOutcome) {
        let counters = &self.counters;
        match outcome {
            LastOutcome::Unknown => return counters.unknown.increment(),
            LastOutcome::NotRun => counters.not_run.increment(),
            LastOutcome::Answered(_) => {}
        }
        counters.bookings.increment();
    }

    async fn book(&mut self, key: &str) -> Result<BookingRecord, BrokenInvariant> {
        let mut record = BookingRecord {
            word: LastOutcome::Unknown,
            is_abandoned: false,
            nodes: Vec::new(),
        };
        let mut first_answer: Option<Bytes> = None;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.attempt(key, &mut record).await;
            match (outcome, &first_answer) {
                (AttemptOutcome::Answered(body), None) => {
                    record.word = LastOutcome::Answered(body.clone());
                    first_answer = Some(body);
                    if !self.rng.random_bool(REPEAT_RATIO) {
                        break;
                    }
                }
                (AttemptOutcome::Answered(body), Some(first)) => {
                    if body != *first {
                        let detail = format!("{key}: first {first:?}, then {body:?}");
                        let broken =
                            BrokenInvariant::new("a repeated key gets the first answer", detail);
                        return Err(broken.with_nodes(record.nodes));
                    }
                    break;
                }
                (AttemptOutcome::NotRun, Some(_)) => {
                    let detail = format!("{key} was answered, then told `not_run`");
                    let broken =
                        BrokenInvariant::new("an answered key is never told `not_run`", detail);
                    return Err(broken.with_nodes(record.nodes));
                }
                (AttemptOutcome::NotRun, None) => {
                    record.word = LastOutcome::NotRun;
                    if !self.rng.random_bool(RETRY_RATIO) {
                        break;
                    }
                }
                (AttemptOutcome::Unknown, None) => record.word = LastOutcome::Unknown,
                (AttemptOutcome::Abandoned, None) => {
                    record.word = LastOutcome::Unknown;
                    record.is_abandoned = true;
                }
                (AttemptOutcome::Unknown | AttemptOutcome::Abandoned, Some(_)) => break,
            }
            sleep(ATTEMPT_PAUSE).await;
        }
        Ok(record)
    }

    async fn attempt(&mut self, key: &str, record: &mut BookingRecord) -> AttemptOutcome {
        let Some(node) = self.directory.draw(&mut self.rng) else {
            return AttemptOutcome::Unknown;
        };
        record.nodes.push(node.name);
        let client = JsonClient::new(node.callers);
        let call = client.call(Method::POST, PATH, headers(key), BODY);
        match timeout(ATTEMPT_TIMEOUT, call).await {
            Ok(Ok(reply)) => classify_reply(&reply),
            Ok(Err(_)) => AttemptOutcome::Unknown,
            Err(_) => AttemptOutcome::Abandoned,
        }
    }
}

fn headers(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", CREDENTIAL);
    if let Ok(key) = HeaderValue::from_str(key) {
        headers.insert("idempotency-key", key);
    }
    headers
}

fn classify_reply(reply: &Reply) -> AttemptOutcome {
    if reply.status.is_success() {
        return AttemptOutcome::Answered(reply.body.clone());
    }
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => AttemptOutcome::NotRun,
        _ => AttemptOutcome::Unknown,
    }
}
