//! Time of one routing decision.

use std::{hint::black_box, time::Instant};

use rand::{SeedableRng, rngs::StdRng};
use verbenahead_core::units::Tokens;
use verbenahead_policy::{BlockHash, PromptBlocks, RouteOptions, Timestamp};

use crate::{
    fake::{
        profile::{self, Profile},
        replica::Replica,
    },
    registry::MeasureOptions,
    router::{RouteJob, Router, SentJob, own::OwnRouter},
    summary::Series,
};

/// Numbers of candidates.
const CANDIDATES: [usize; 3] = [10, 40, 160];

/// Decisions per seed and candidate count.
const DECISIONS: u64 = 20_000;

/// Number of blocks of each prompt.
const PROMPT_BLOCKS: u64 = 64;

/// Runs the measurement. A decision estimates the load and the cached prefix of each candidate
/// and chooses one.
///
/// # Errors
///
/// When a record cannot be written.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let profile = profile::cascade();
    for count in CANDIDATES {
        let label = format!("{count} candidates");
        let mut series = Series::new("decision_time", label, "verbenahead", "us");
        for seed in options.seed_range() {
            series.push(seed, decide(&profile, count, seed));
        }
        series.print()?;
    }
    Ok(())
}

/// Returns the mean time of a decision, in microseconds.
fn decide(profile: &Profile, count: usize, seed: u64) -> f64 {
    let mut profile = profile.clone();
    profile.nodes = 1;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut router = OwnRouter::new(&profile, RouteOptions::default());
    let replicas: Vec<_> = (0..count)
        .map(|number| Replica::new(number, number % 4, 1.0, &profile))
        .collect();
    let prompts: Vec<_> = (0..256).map(prompt).collect();
    for (number, blocks) in prompts.iter().enumerate() {
        let sent = SentJob {
            node: 0,
            replica: number % count,
            attempt: number as u64,
            blocks,
        };
        router.on_sent(&sent, Timestamp::default());
    }
    let start = Instant::now();
    for number in 0..DECISIONS {
        let job = RouteJob {
            node: 0,
            blocks: &prompts[number as usize % prompts.len()],
        };
        let now = Timestamp::from_secs_f64(number as f64 * 0.001);
        black_box(router.choose(&job, &replicas, now, &mut rng));
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn prompt(number: u64) -> PromptBlocks {
    let shared = PROMPT_BLOCKS / 4;
    let hash = |block: u64| match block < shared {
        true => BlockHash(block),
        false => BlockHash(number << 32 | block),
    };
    let hashes = (0..PROMPT_BLOCKS).map(hash).collect();
    PromptBlocks::from_hashes(hashes, 64, Tokens(PROMPT_BLOCKS * 64))
}
