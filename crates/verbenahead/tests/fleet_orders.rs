//! Tests that orders are sent only under a valid lease, and only to engines for which they are due.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use rstest::rstest;
use tokio::{task::JoinHandle, time::sleep};
use verbenahead::node::fleet::order_sender::OrderSender;
use verbenahead_core::{
    AttemptId, AvailabilityZone, FencingNumber, Generation, Incarnation, NodeId, ServiceId, VmId,
    units::Tokens,
};
use verbenahead_manifest::{EngineFencing, ModelService, RoutingWeights};
use verbenahead_services::{Market, MemoryTable, Table, VmRecord, VmState, memory::TableFaults};
use verbenahead_state::{
    lease::{LeaseEpoch, LeaseKeeper, LeaseOptions, LeaseStore},
    ledger::Claimant,
};
use verbenahead_upstream::{
    Engine, Error, GenerateRequest, KvBlocks, LoadReport, Order, OrderOutcome, Result,
    StartedAnswer, UpstreamAddress,
};

const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// Time within which a keeper acquires a free lease.
const ACQUIRE_TIME: Duration = Duration::from_secs(1);

/// An engine that records its orders.
#[derive(Default)]
struct RecordingEngine(Mutex<Vec<Order>>);

impl RecordingEngine {
    fn orders(&self) -> Vec<Order> {
        let orders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        orders.clone()
    }
}

#[async_trait]
impl Engine for RecordingEngine {
    async fn generate(&self, _: &UpstreamAddress, _: GenerateRequest) -> Result<StartedAnswer> {
        Err(Error::not_sent("this engine only takes orders"))
    }

    async fn load(&self, _: &UpstreamAddress) -> Result<LoadReport> {
        Err(Error::not_sent("this engine only takes orders"))
    }

    async fn export_kv(&self, _: &UpstreamAddress, _: AttemptId) -> Result<KvBlocks> {
        Err(Error::not_sent("this engine only takes orders"))
    }

    async fn import_kv(&self, _: &UpstreamAddress, _: KvBlocks) -> Result<()> {
        Err(Error::not_sent("this engine only takes orders"))
    }

    async fn order(&self, _: &UpstreamAddress, order: &Order) -> OrderOutcome {
        let mut orders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        orders.push(order.clone());
        OrderOutcome::Done
    }
}

fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("a valid id")
}

fn model(fencing: EngineFencing) -> ModelService {
    ModelService {
        models: vec!["draft-small".to_owned()],
        max_answer: Tokens(4096),
        fencing,
        weights: RoutingWeights::default(),
    }
}

fn vm(incarnation: u64, state: VmState) -> VmRecord {
    VmRecord {
        vm: VmId::try_new("e1").expect("a valid id"),
        incarnation: Incarnation(incarnation),
        service: service(),
        zone: AvailabilityZone::try_new("a").expect("a valid id"),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        state,
        class: "small".to_owned(),
        market: Market::Reclaimable,
    }
}

async fn start_keeper(table: &Arc<MemoryTable>, node: &str) -> (LeaseKeeper, JoinHandle<()>) {
    let table: Arc<dyn Table> = Arc::clone(table) as _;
    let store = LeaseStore::new(table, LeaseOptions::default());
    let claimant = Claimant {
        node: NodeId::try_new(node).expect("a valid id"),
        incarnation: Incarnation(1),
    };
    let (keeper, task) = LeaseKeeper::spawn(store, service(), claimant);
    keeper.set_wanted(true);
    sleep(ACQUIRE_TIME).await;
    (keeper, task)
}

fn epoch(keeper: &LeaseKeeper) -> LeaseEpoch {
    keeper.epoch().expect("the lease is held")
}

#[rstest]
#[case::checked(EngineFencing::Checked)]
#[case::ignored(EngineFencing::Ignored)]
#[tokio::test(start_paused = true)]
async fn no_order_is_sent_under_an_expired_lease(#[case] fencing: EngineFencing) {
    let table = Arc::new(MemoryTable::default());
    let (keeper, _task) = start_keeper(&table, "n1").await;
    let engine = Arc::new(RecordingEngine::default());
    let mut sender = OrderSender::new(engine.clone(), REPEAT_INTERVAL);
    let live = [vm(1, VmState::Live)];

    sender
        .send_due(&epoch(&keeper), &model(fencing), Generation(1), &live)
        .await;
    let before = engine.orders().len();
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });
    sleep(LeaseOptions::default().term).await;
    let is_stale = keeper.fencing().is_some();
    sender
        .send_due(&epoch(&keeper), &model(fencing), Generation(2), &live)
        .await;

    assert!(is_stale);
    assert_eq!(before, 1);
    assert_eq!(engine.orders().len(), 1);
}

#[rstest]
#[case::checked(EngineFencing::Checked, 1)]
#[case::ignored(EngineFencing::Ignored, 0)]
#[tokio::test(start_paused = true)]
async fn a_new_holder_waits_before_its_first_order_if_fencing_is_ignored(
    #[case] fencing: EngineFencing,
    #[case] expected_at_once: usize,
) {
    let table = Arc::new(MemoryTable::default());
    let (first, first_task) = start_keeper(&table, "n1").await;
    drop(first);
    first_task.await.expect("the keeper ends");
    let (second, _task) = start_keeper(&table, "n2").await;
    let engine = Arc::new(RecordingEngine::default());
    let mut sender = OrderSender::new(engine.clone(), REPEAT_INTERVAL);
    let live = [vm(1, VmState::Live)];

    sender
        .send_due(&epoch(&second), &model(fencing), Generation(1), &live)
        .await;
    let at_once = engine.orders().len();
    sleep(LeaseOptions::default().first_order_wait()).await;
    sender
        .send_due(&epoch(&second), &model(fencing), Generation(2), &live)
        .await;

    assert_eq!(at_once, expected_at_once);
    let sent = engine.orders();
    assert_eq!(sent.len(), expected_at_once + 1);
    assert!(sent.iter().all(|order| order.fencing == FencingNumber(2)));
}

#[rstest]
#[case::same(vm(1, VmState::Live), 1, 1)]
#[case::later_generation(vm(1, VmState::Live), 2, 2)]
#[case::later_incarnation(vm(2, VmState::Live), 1, 2)]
#[case::starting(vm(2, VmState::Starting), 1, 1)]
#[tokio::test(start_paused = true)]
async fn engines_that_check_fencing_receive_only_new_orders(
    #[case] next: VmRecord,
    #[case] generation: u64,
    #[case] expected: usize,
) {
    let table = Arc::new(MemoryTable::default());
    let (keeper, _task) = start_keeper(&table, "n1").await;
    let engine = Arc::new(RecordingEngine::default());
    let mut sender = OrderSender::new(engine.clone(), REPEAT_INTERVAL);
    let model = model(EngineFencing::Checked);
    let first = [vm(1, VmState::Live)];

    sender
        .send_due(&epoch(&keeper), &model, Generation(1), &first)
        .await;
    sender
        .send_due(&epoch(&keeper), &model, Generation(generation), &[next])
        .await;

    assert_eq!(engine.orders().len(), expected);
}

#[rstest]
#[case::checked(EngineFencing::Checked, REPEAT_INTERVAL)]
#[case::ignored(EngineFencing::Ignored, Duration::ZERO)]
#[tokio::test(start_paused = true)]
async fn orders_are_repeated(#[case] fencing: EngineFencing, #[case] after: Duration) {
    let table = Arc::new(MemoryTable::default());
    let (keeper, _task) = start_keeper(&table, "n1").await;
    let engine = Arc::new(RecordingEngine::default());
    let mut sender = OrderSender::new(engine.clone(), REPEAT_INTERVAL);
    let live = [vm(1, VmState::Live)];

    sender
        .send_due(&epoch(&keeper), &model(fencing), Generation(1), &live)
        .await;
    sleep(after).await;
    sender
        .send_due(&epoch(&keeper), &model(fencing), Generation(1), &live)
        .await;

    assert_eq!(engine.orders().len(), 2);
}
