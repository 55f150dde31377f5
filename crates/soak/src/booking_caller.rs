//! A caller that makes bookings with keys and tries again until it knows the outcome.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use rand::{Rng, SeedableRng as _, rngs::StdRng};
use serde_json::Value;
use tokio::time::{sleep, timeout};
use verbenahead_standins::client::{JsonClient, Reply};

use crate::{
    booking_records::{BookingRecord, BookingRecords, Word},
    node_directory::NodeDirectory,
    report::Counters,
    run::StopFlag,
    verdict::Broken,
};

const PATH: &str = "/v1/services/booking/bookings";
const BODY: &str = r#"{"chair":7,"hour":9}"#;
const CREDENTIAL: HeaderValue = HeaderValue::from_static("Bearer barber-key");

/// Longest time that a caller waits for one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(12);

/// Most tries with one key.
const MAX_TRIES: u32 = 8;

/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(150);

/// Part of the keys that are tried again after a first `not_run`.
const RETRY_RATIO: f64 = 0.6;

/// Part of the answered keys that are sent once more.
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

/// What one try told.
enum Told {
    Answered(Bytes),
    NotRun,
    Unknown,
    /// Nothing, because the caller stopped waiting.
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
    /// [`Broken`] when a caller is told two things that cannot both be so.
    pub async fn run(mut self, stop: StopFlag) -> Result<(), Broken> {
        let mut count = 0_u64;
        while !stop.is_set() {
            count += 1;
            let key = format!("key-{}-{}-{count}", self.seed, self.number);
            let record = self.book(&key).await?;
            self.count(&record.word);
            self.records.put(key, record);
            sleep(Duration::from_millis(self.rng.random_range(0..200))).await;
        }
        Ok(())
    }

    fn count(&self, word: &Word) {
        let counters = &self.counters;
        match word {
            Word::Unknown => return counters.unknown.count(),
            Word::NotRun => counters.not_run.count(),
            Word::Answered(_) => {}
        }
        counters.bookings.count();
    }

    async fn book(&mut self, key: &str) -> Result<BookingRecord, Broken> {
        let mut record = BookingRecord {
            word: Word::Unknown,
            is_abandoned: false,
            nodes: Vec::new(),
        };
        let mut first_answer: Option<Bytes> = None;
        for _ in 0..MAX_TRIES {
            let told = self.try_once(key, &mut record).await;
            match (told, &first_answer) {
                (Told::Answered(body), None) => {
                    record.word = Word::Answered(body.clone());
                    first_answer = Some(body);
                    if !self.rng.random_bool(REPEAT_RATIO) {
                        break;
                    }
                }
                (Told::Answered(body), Some(first)) => {
                    if body != *first {
                        let detail = format!("{key}: first {first:?}, then {body:?}");
                        let broken = Broken::new("a repeated key gets the first answer", detail);
                        return Err(broken.at(record.nodes));
                    }
                    break;
                }
                (Told::NotRun, Some(_)) => {
                    let detail = format!("{key} was answered, then told `not_run`");
                    let broken = Broken::new("an answered key is never told `not_run`", detail);
                    return Err(broken.at(record.nodes));
                }
                (Told::NotRun, None) => {
                    record.word = Word::NotRun;
                    if !self.rng.random_bool(RETRY_RATIO) {
                        break;
                    }
                }
                (Told::Unknown, None) => record.word = Word::Unknown,
                (Told::Abandoned, None) => {
                    record.word = Word::Unknown;
                    record.is_abandoned = true;
                }
                (Told::Unknown | Told::Abandoned, Some(_)) => break,
            }
            sleep(TRY_PAUSE).await;
        }
        Ok(record)
    }

    async fn try_once(&mut self, key: &str, record: &mut BookingRecord) -> Told {
        let Some(node) = self.directory.draw(&mut self.rng) else {
            return Told::Unknown;
        };
        record.nodes.push(node.name);
        let client = JsonClient::new(node.callers);
        let call = client.call(Method::POST, PATH, headers(key), BODY);
        match timeout(TRY_TIMEOUT, call).await {
            Ok(Ok(reply)) => told(&reply),
            Ok(Err(_)) => Told::Unknown,
            Err(_) => Told::Abandoned,
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

fn told(reply: &Reply) -> Told {
    if reply.status.is_success() {
        return Told::Answered(reply.body.clone());
    }
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => Told::NotRun,
        _ => Told::Unknown,
    }
}
