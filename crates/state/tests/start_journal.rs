//! Tests of VM starts whose responses are lost, and of lease holders that are replaced during one.

mod common;

use std::sync::{Arc, Mutex};

use common::{
    faulty_table::{FaultyTable, WriteFault},
    retry_options,
};
use rstest::rstest;
use verbenahead_core::{AvailabilityZone, FencingNumber, HashMap, ServiceId, VmId};
use verbenahead_services::{Market, StartOutcome, StartVm, Table};
use verbenahead_state::{Error, Result, lease::StartJournal};

/// Cloud that starts one VM per client token.
#[derive(Debug, Default)]
struct FakeCloud {
    vms: Mutex<HashMap<String, VmId>>,
}

impl FakeCloud {
    fn start(&self, start: &StartVm) -> StartOutcome {
        let mut vms = self.vms.lock().expect("lock");
        let name = format!("vm-{}", vms.len());
        let vm = vms
            .entry(start.client_token.clone())
            .or_insert_with(|| VmId::try_new(name).expect("valid id"));
        StartOutcome::Started(vm.clone())
    }

    fn count(&self) -> usize {
        self.vms.lock().expect("lock").len()
    }
}

fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("valid id")
}

fn start(token: &str) -> StartVm {
    StartVm {
        client_token: token.to_owned(),
        service: service(),
        zone: AvailabilityZone::try_new("a").expect("valid id"),
        class: "small".to_owned(),
        market: Market::Reclaimable,
    }
}

async fn open(table: &Arc<FaultyTable>, fencing: u64) -> Result<StartJournal> {
    let table: Arc<dyn Table> = table.clone();
    StartJournal::open(table, service(), FencingNumber(fencing), retry_options()).await
}

#[tokio::test(start_paused = true)]
async fn a_start_with_a_lost_response_is_requested_again_with_its_token() {
    let table = FaultyTable::new([]);
    let cloud = FakeCloud::default();
    let first = open(&table, 1).await.expect("open");
    let _first = first.add(start("t")).await.expect("added");
    // The first holder fails before it receives the response.
    let _ = cloud.start(&start("t"));

    let second = open(&table, 2).await.expect("open");
    let pending = second.pending().to_vec();
    for start in &pending {
        let _ = cloud.start(start);
    }
    let second = second.remove("t").await.expect("removed");

    assert_eq!(pending, [start("t")]);
    assert_eq!(cloud.count(), 1);
    assert!(second.pending().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_replaced_holder_cannot_add_starts() {
    let table = FaultyTable::new([]);
    let first = open(&table, 1).await.expect("open");
    let second = open(&table, 2).await.expect("open");

    let late_add = first.add(start("late")).await;
    let reopened = open(&table, 1).await;

    let fenced = Error::fenced(FencingNumber(2));
    assert_eq!(late_add.err(), Some(fenced.clone()));
    assert_eq!(reopened.err(), Some(fenced));
    assert!(second.pending().is_empty());
}

#[rstest]
#[case::answer_lost(WriteFault::AnswerLost)]
#[case::write_lost(WriteFault::Lost)]
#[case::write_late(WriteFault::Late)]
#[tokio::test(start_paused = true)]
async fn a_write_with_unknown_outcome_adds_a_start_once(#[case] fault: WriteFault) {
    let table = FaultyTable::new([]);
    let journal = open(&table, 1).await.expect("open");
    table.push_faults([fault]);

    let journal = journal.add(start("t")).await.expect("added");
    let _ = table.deliver_late().await;
    let reopened = open(&table, 1).await.expect("open");

    assert_eq!(journal.pending(), [start("t")]);
    assert_eq!(reopened.pending(), [start("t")]);
}
