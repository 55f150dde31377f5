//! Tests the outcomes of publishing and reading manifests through the platform's services.

use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;
use verbenahead::operators::{ManifestAccess, Publication, PublicationOutcome};
use verbenahead_core::{
    Generation,
    time::{UnixMillis, WallClock},
};
use verbenahead_manifest::parse;
use verbenahead_services::{MemoryObjectStore, MemoryTable, memory::TableFaults};
use verbenahead_state::{ManifestStore, RetryOptions};

const QUICKSTART: &str = include_str!("../../../examples/manifest.jsonc");

fn access(table: &Arc<MemoryTable>) -> ManifestAccess {
    let objects = Arc::new(MemoryObjectStore::default());
    let store = ManifestStore::new(table.clone(), objects, RetryOptions::default());
    ManifestAccess::new(store, WallClock::starting_at(UnixMillis(1_800_000_000_000)))
}

fn publication(expect: u64) -> Publication {
    Publication {
        expect: Generation(expect),
        publisher: "room".to_owned(),
        text: Bytes::from_static(QUICKSTART.as_bytes()),
        manifest: parse("manifest", QUICKSTART).unwrap(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_published_manifest_is_read_back_unchanged() {
    let access = access(&Arc::default());

    let published = access.publish(publication(0)).await;

    let head = access.head().await.unwrap().unwrap();
    assert_eq!(published, PublicationOutcome::Accepted(head.clone()));
    assert_eq!(
        (head.generation, head.publisher.as_str()),
        (Generation(1), "room")
    );
    assert_eq!(head.published_at, UnixMillis(1_800_000_000_000));
    let stored = access.manifest(Generation(1)).await.unwrap().unwrap();
    assert_eq!(stored.text, QUICKSTART);
    assert_eq!(access.history(5).await.unwrap(), [head]);
    assert_eq!(access.manifest(Generation(2)).await.unwrap(), None);
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[tokio::test(start_paused = true)]
async fn a_lost_answer_does_not_hide_an_accepted_manifest(#[case] lost_answers: u32) {
    let table = Arc::new(MemoryTable::default());
    let access = access(&table);
    table.set_faults(TableFaults {
        lost_answers,
        ..TableFaults::default()
    });

    let published = access.publish(publication(0)).await;

    assert!(
        matches!(published, PublicationOutcome::Accepted(_)),
        "{published:?}"
    );
    assert_eq!(access.history(5).await.unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_outage_changes_nothing() {
    let table = Arc::new(MemoryTable::default());
    let access = access(&table);
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });

    let published = access.publish(publication(0)).await;
    let head = access.head().await;

    assert!(
        matches!(published, PublicationOutcome::NotAccepted(_)),
        "{published:?}"
    );
    assert!(head.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_publication_on_an_old_head_returns_the_current_head() {
    let access = access(&Arc::default());
    let first = access.publish(publication(0)).await;
    let PublicationOutcome::Accepted(head) = first else {
        panic!("{first:?}");
    };

    let second = access.publish(publication(0)).await;

    assert_eq!(second, PublicationOutcome::Conflict(Some(head)));
}
