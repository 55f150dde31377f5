//! Table that loses and delays writes at random, from a fixed seed.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};
use verbenahead_services::{
    Error, MemoryTable, Result, Row, RowKey, Table, TableName, Write, WriteOutcome,
};

/// Longest delay of a late write, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

#[derive(Debug)]
pub struct RandomTable {
    pub inner: Arc<MemoryTable>,
    rng: Mutex<StdRng>,
    fault_ratio: f64,
    outage: Option<(Instant, Instant)>,
}

impl RandomTable {
    pub fn new(seed: u64, fault_ratio: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now() + Duration::from_millis(rng.random_range(0..3_000));
        let outage = rng
            .random_bool(0.3)
            .then(|| (start, start + Duration::from_secs(60)));
        Self {
            inner: Arc::default(),
            rng: Mutex::new(rng),
            fault_ratio,
            outage,
        }
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.rng.lock().expect("lock"))
    }

    fn is_down(&self) -> bool {
        let now = Instant::now();
        self.outage
            .is_some_and(|(start, end)| start <= now && now < end)
    }

    async fn network_delay(&self) {
        let millis = self.draw(|rng| rng.random_range(1..20));
        sleep(Duration::from_millis(millis)).await;
    }

    fn deliver_late(&self, writes: Vec<Write>) {
        let inner = Arc::clone(&self.inner);
        let millis = self.draw(|rng| rng.random_range(0..MAX_DELAY_MS));
        tokio::spawn(async move {
            sleep(Duration::from_millis(millis)).await;
            let _ = inner.write(writes).await;
        });
    }
}

#[async_trait]
impl Table for RandomTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.network_delay().await;
        if self.is_down() {
            return Err(Error::unavailable("table", "outage"));
        }
        let row = self.inner.read(key).await;
        self.network_delay().await;
        row
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        self.inner.list(table, prefix, after, limit).await
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        self.network_delay().await;
        if self.is_down() {
            return WriteOutcome::Unknown("outage".to_owned());
        }
        let is_faulty = self.draw(|rng| rng.random_bool(self.fault_ratio));
        if !is_faulty {
            let outcome = self.inner.write(writes).await;
            self.network_delay().await;
            return outcome;
        }
        match self.draw(|rng| rng.random_range(0..4)) {
            0 => {
                let _ = self.inner.write(writes).await;
            }
            1 => self.deliver_late(writes),
            2 => {
                self.deliver_late(writes);
                sleep(Duration::from_secs(10)).await;
            }
            _ => (),
        }
        WriteOutcome::Unknown("fault".to_owned())
    }
}
