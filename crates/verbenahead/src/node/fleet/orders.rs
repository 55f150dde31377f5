//! Orders to the engines of one service.

use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream};
use tokio::time::Instant;
use verbenahead_core::{FencingNumber, Generation, HashMap, Incarnation, UpstreamId, VmId};
use verbenahead_manifest::{EngineFencing, ModelService};
use verbenahead_services::{VmRecord, VmState};
use verbenahead_state::lease::LeaseKeeper;
use verbenahead_upstream::{Engine, Order, OrderKind, OrderOutcome, UpstreamAddress};

/// Version of a model for which the manifest names none.
const DEFAULT_MODEL_VERSION: &str = "1";

/// Engines that are ordered about at the same time.
const MAX_CONCURRENT_ENGINES: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Ordered {
    incarnation: Incarnation,
    fencing: FencingNumber,
    generation: Generation,
    at: Instant,
}

/// `Orders` tells engines which models to load.
pub struct Orders {
    engine: Arc<dyn Engine>,
    repeat: Duration,
    ordered: HashMap<VmId, Ordered>,
}

impl Orders {
    /// Builds the orders of a service. Engines that check fencing numbers get the same orders
    /// again after `repeat`, all others in every round.
    pub fn new(engine: Arc<dyn Engine>, repeat: Duration) -> Self {
        Self {
            engine,
            repeat,
            ordered: HashMap::default(),
        }
    }

    /// Orders the models of the service at those live VMs where that is due.
    pub async fn give(
        &mut self,
        keeper: &LeaseKeeper,
        model: &ModelService,
        generation: Generation,
        vms: &[VmRecord],
    ) {
        self.ordered
            .retain(|known, _| vms.iter().any(|vm| vm.vm == *known));
        let Some(gate) = keeper.gate() else {
            return;
        };
        let mut giving: Vec<BoxFuture<'_, _>> = Vec::new();
        for vm in vms.iter().filter(|vm| vm.state == VmState::Live) {
            let is_repeated = model.fencing == EngineFencing::Ignored;
            if is_repeated || self.is_due(vm, gate.fencing, generation) {
                let engine = self.engine.as_ref();
                giving.push(give_all(engine, keeper, model, generation, vm).boxed());
            }
        }
        let given = stream::iter(giving).buffer_unordered(MAX_CONCURRENT_ENGINES);
        let given: Vec<_> = given.collect().await;
        self.ordered.extend(given.into_iter().flatten());
    }

    fn is_due(&self, vm: &VmRecord, fencing: FencingNumber, generation: Generation) -> bool {
        let Some(ordered) = self.ordered.get(&vm.vm) else {
            return true;
        };
        let is_same = ordered.incarnation == vm.incarnation
            && ordered.fencing == fencing
            && ordered.generation == generation;
        !is_same || ordered.at.elapsed() >= self.repeat
    }
}

/// Gives all orders to one engine. Returns what was carried out when that is all of them.
async fn give_all(
    engine: &dyn Engine,
    keeper: &LeaseKeeper,
    model: &ModelService,
    generation: Generation,
    vm: &VmRecord,
) -> Option<(VmId, Ordered)> {
    let to = UpstreamAddress {
        upstream: UpstreamId::try_new(vm.vm.as_str()).ok()?,
        incarnation: vm.incarnation,
        address: vm.address,
    };
    let mut fencing = FencingNumber::default();
    for name in &model.models {
        let kind = OrderKind::LoadModel {
            model: name.clone(),
            version: DEFAULT_MODEL_VERSION.to_owned(),
        };
        fencing = give_one(engine, keeper, model.fencing, generation, &to, kind).await?;
    }
    let ordered = Ordered {
        incarnation: vm.incarnation,
        fencing,
        generation,
        at: Instant::now(),
    };
    Some((vm.vm.clone(), ordered))
}

async fn give_one(
    engine: &dyn Engine,
    keeper: &LeaseKeeper,
    engines: EngineFencing,
    generation: Generation,
    to: &UpstreamAddress,
    kind: OrderKind,
) -> Option<FencingNumber> {
    let permit = match keeper.permit(engines) {
        Ok(permit) => permit,
        Err(refusal) => {
            tracing::debug!(upstream = %to.upstream, %refusal, "order held back");
            return None;
        }
    };
    let fencing = permit.fencing();
    let order = Order {
        fencing,
        generation,
        kind,
    };
    match permit.send(|_| engine.order(to, &order)).await {
        Ok(OrderOutcome::Done) => return Some(fencing),
        Ok(OrderOutcome::Fenced(known)) => {
            tracing::warn!(upstream = %to.upstream, %fencing, %known, "order fenced off");
        }
        Ok(OrderOutcome::Unknown(reason)) => {
            tracing::info!(upstream = %to.upstream, reason, "outcome of an order unknown");
        }
        Err(failure) => tracing::info!(upstream = %to.upstream, %failure, "order not carried out"),
    }
    None
}
