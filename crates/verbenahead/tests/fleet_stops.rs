//! Tests that the stop of a VM is announced first, and carried out under the lease once the announced
//! time is over.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use tokio::{sync::mpsc, time::sleep};
use verbenahead::node::{
    fleet::vm_stopper::VmStopper,
    upstream_directory::{LeavingUpstream, UpstreamDirectory},
};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId, ServiceId, VmId};
use verbenahead_services::{
    Cloud, Market, MemoryTable, ReclaimNotice, Result, StartOutcome, StartVm, VmRecord, VmState,
    WriteOutcome,
};
use verbenahead_state::{
    lease::{LeaseKeeper, LeaseOptions, LeaseStore},
    ledger::Claimant,
};

const NOTICE: Duration = Duration::from_secs(30);

/// Time within which a keeper acquires a free lease.
const ACQUIRE_TIME: Duration = Duration::from_secs(1);

/// A cloud that records the stopped VMs.
#[derive(Default)]
struct RecordingCloud(Mutex<Vec<VmId>>);

impl RecordingCloud {
    fn stopped(&self) -> Vec<VmId> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

#[async_trait]
impl Cloud for RecordingCloud {
    async fn start(&self, _: &StartVm) -> StartOutcome {
        StartOutcome::Refused("this cloud only stops".to_owned())
    }

    async fn stop(&self, vm: &VmId, _: Incarnation) -> WriteOutcome {
        let mut stopped = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stopped.push(vm.clone());
        WriteOutcome::Done(Vec::new())
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>> {
        Ok(Vec::new())
    }
}

fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("a valid id")
}

fn vm(id: &str) -> VmRecord {
    VmRecord {
        vm: VmId::try_new(id).expect("a valid id"),
        incarnation: Incarnation(1),
        service: service(),
        zone: AvailabilityZone::try_new("a").expect("a valid id"),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        state: VmState::Live,
        class: "small".to_owned(),
        market: Market::Reclaimable,
    }
}

struct Fixture {
    cloud: Arc<RecordingCloud>,
    stopper: VmStopper,
    leaving: mpsc::Receiver<LeavingUpstream>,
    keeper: LeaseKeeper,
}

impl Fixture {
    async fn stop_due(&self, listed: &[VmRecord]) {
        let lease = self.keeper.epoch().expect("the lease is held");
        self.stopper.stop_due(&lease, listed).await;
    }
}

async fn fixture(listed: &[VmRecord]) -> Fixture {
    let directory = UpstreamDirectory::default();
    directory.apply_list(listed);
    let cloud = Arc::new(RecordingCloud::default());
    let (leaving_tx, leaving) = mpsc::channel(8);
    let store = LeaseStore::new(Arc::new(MemoryTable::default()), LeaseOptions::default());
    let claimant = Claimant {
        node: NodeId::try_new("n1").expect("a valid id"),
        incarnation: Incarnation(1),
    };
    let (keeper, _task) = LeaseKeeper::spawn(store, service(), claimant);
    keeper.set_wanted(true);
    sleep(ACQUIRE_TIME).await;
    let stopper = VmStopper {
        directory: Arc::new(directory),
        cloud: cloud.clone(),
        leaving: leaving_tx,
        notice: NOTICE,
    };
    Fixture {
        cloud,
        stopper,
        leaving,
        keeper,
    }
}

#[tokio::test(start_paused = true)]
async fn a_stop_is_announced_once_and_carried_out_when_its_time_is_over() {
    let listed = [vm("e1"), vm("e2")];
    let mut fixture = fixture(&listed).await;

    fixture.stopper.announce(&listed[0]).await;
    fixture.stopper.announce(&listed[0]).await;
    fixture.stop_due(&listed).await;
    let stopped_at_once = fixture.cloud.stopped();
    sleep(NOTICE).await;
    fixture.stop_due(&listed).await;

    assert_eq!(stopped_at_once, []);
    assert_eq!(fixture.cloud.stopped(), [listed[0].vm.clone()]);
    let announced = fixture.leaving.try_recv().expect("the stop is announced");
    assert_eq!(announced.upstream.as_str(), "e1");
    assert_eq!(announced.remaining, NOTICE);
    assert!(fixture.leaving.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_vm_with_an_announced_stop_is_not_in_the_fleet() {
    let listed = [vm("e1"), vm("e2")];
    let fixture = fixture(&listed).await;

    fixture.stopper.announce(&listed[0]).await;

    assert!(!fixture.stopper.is_in_fleet(&listed[0]));
    assert!(fixture.stopper.is_in_fleet(&listed[1]));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_stopped_without_the_lease() {
    let listed = [vm("e1")];
    let fixture = fixture(&listed).await;
    let lease = fixture.keeper.epoch().expect("the lease is held");

    fixture.stopper.announce(&listed[0]).await;
    fixture.keeper.set_wanted(false);
    sleep(NOTICE).await;
    fixture.stopper.stop_due(&lease, &listed).await;

    assert_eq!(fixture.cloud.stopped(), []);
}

#[tokio::test(start_paused = true)]
async fn a_reclaimed_vm_is_left_to_the_platform() {
    let mut listed = [vm("e1")];
    let fixture = fixture(&listed).await;

    fixture.stopper.announce(&listed[0]).await;
    sleep(NOTICE).await;
    listed[0].state = VmState::Leaving;
    fixture.stop_due(&listed).await;

    assert_eq!(fixture.cloud.stopped(), []);
}
