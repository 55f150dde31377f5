//! Randomised test of concurrent publishers on a table that loses answers, delays writes and has
//! outages, with nodes that follow the head.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use common::{random_table::RandomTable, retry_options};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::sleep;
use verbenahead_core::Generation;
use verbenahead_services::MemoryObjectStore;
use verbenahead_state::{
    AppliedManifest, Head, InForce, ManifestStore, PublicationId, PublishOutcome, PublishRequest,
    ReadBackOutcome, UnixMillis,
};

const SEEDS: u64 = 200;
const PUBLISHERS: u64 = 4;
const PUBLICATIONS: u64 = 5;
const FAULT_RATIO: f64 = 0.25;

/// Outcomes that were returned to the publishers.
#[derive(Debug, Default)]
struct Reported {
    accepted: Vec<Head>,
    denied: Vec<PublicationId>,
}

async fn publish(
    store: ManifestStore,
    reported: Arc<Mutex<Reported>>,
    publisher: u64,
    mut rng: StdRng,
) {
    for index in 0..PUBLICATIONS {
        sleep(Duration::from_millis(rng.random_range(0..500))).await;
        let Ok(head) = store.head().await else {
            continue;
        };
        sleep(Duration::from_millis(rng.random_range(0..100))).await;
        let req = PublishRequest {
            expect: head.map(|head| head.generation).unwrap_or_default(),
            publisher: publisher.to_string(),
            publication: PublicationId::random(&mut rng),
            now: UnixMillis(index),
        };
        let text = Bytes::from(format!("{publisher}/{index}"));
        let outcome = store.publish(&req, text).await;
        let accepted = final_outcome(&store, outcome).await;
        let mut reported = reported.lock().expect("lock");
        match accepted {
            Some(Some(head)) => reported.accepted.push(head),
            Some(None) => reported.denied.push(req.publication),
            None => (),
        }
    }
}

/// Returns the accepted head, `Some(None)` if the publication was not accepted, or `None` if its
/// outcome stays unknown.
async fn final_outcome(store: &ManifestStore, outcome: PublishOutcome) -> Option<Option<Head>> {
    match outcome {
        PublishOutcome::Accepted(head) => Some(Some(head)),
        PublishOutcome::Conflict(_) | PublishOutcome::NotAccepted(_) => Some(None),
        PublishOutcome::Unknown(unknown) => match store.read_back(&unknown).await {
            ReadBackOutcome::Accepted(head) => Some(Some(head)),
            ReadBackOutcome::NotAccepted(_) => Some(None),
            ReadBackOutcome::Unknown(_) => None,
        },
    }
}

/// Applies the head with random delays. `InForce` asserts that its generation never decreases.
async fn follow(store: ManifestStore, in_force: Arc<InForce<Generation>>, mut rng: StdRng) {
    loop {
        if let Ok(Some(head)) = store.head().await {
            sleep(Duration::from_millis(rng.random_range(0..800))).await;
            in_force.apply(AppliedManifest {
                generation: head.generation,
                digest: head.digest,
                manifest: Arc::new(head.generation),
            });
        }
        sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
}

async fn run_seed(seed: u64) -> usize {
    let table = Arc::new(RandomTable::new(seed, FAULT_RATIO));
    let objects = Arc::new(MemoryObjectStore::default());
    let store = ManifestStore::new(table, objects, retry_options());
    let reported = Arc::new(Mutex::new(Reported::default()));
    let in_force = Arc::new(InForce::default());
    let rng = |index| StdRng::seed_from_u64(seed * 100 + index);
    for index in 0..2 {
        tokio::spawn(follow(store.clone(), in_force.clone(), rng(50 + index)));
    }
    let publishers: Vec<_> = (0..PUBLISHERS)
        .map(|index| tokio::spawn(publish(store.clone(), reported.clone(), index, rng(index))))
        .collect();
    for publisher in publishers {
        publisher.await.expect("publisher");
    }
    sleep(Duration::from_secs(120)).await;

    let mut history = store.history(1_000).await.expect("history");
    history.reverse();
    let reported = reported.lock().expect("lock");
    for (index, head) in history.iter().enumerate() {
        assert_eq!(head.generation, Generation(index as u64 + 1), "seed {seed}");
        let is_denied = reported.denied.contains(&head.publication);
        assert!(
            !is_denied,
            "seed {seed}: {head:?} was reported as not accepted"
        );
    }
    for head in &reported.accepted {
        assert!(history.contains(head), "seed {seed}: {head:?} was lost");
    }
    assert_eq!(
        in_force.generation(),
        Generation(history.len() as u64),
        "seed {seed}"
    );
    history.len()
}

#[test]
fn the_history_holds_all_accepted_manifests_and_no_denied_ones() {
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");

        accepted += runtime.block_on(run_seed(seed));
    }

    assert!(accepted > SEEDS as usize, "only {accepted} accepted");
}
