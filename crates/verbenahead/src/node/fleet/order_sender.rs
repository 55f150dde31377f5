//! Sends orders to the engines of one service.

use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream};
use tokio::time::Instant;
use verbenahead_core::{Generation, HashMap, Incarnation, UpstreamId, VmId};
use verbenahead_manifest::{EngineFencing, ModelService};
use verbenahead_services::{VmRecord, VmState};
use verbenahead_state::lease::LeaseEpoch;
use verbenahead_upstream::{Engine, Order, OrderKind, OrderOutcome, UpstreamAddress};

/// Version of the models to load, since the manifest names none.
const DEFAULT_MODEL_VERSION: &str = "1";

/// Maximum number of engines that receive orders at the same time.
const MAX_CONCURRENT_ENGINES: usize = 16;

#[derive(Debug, Clone, Copy)]
struct SentOrders {
    incarnation: Incarnation,
    generation: Generation,
    at: Instant,
}

/// `OrderSender` orders engines to load the models of a service, in one epoch of its lease.
pub struct OrderSender {
    engine: Arc<dyn Engine>,
    repeat_interval: Duration,
    sent: HashMap<VmId, SentOrders>,
}

impl OrderSender {
    /// Creates a sender. Engines that check fencing numbers receive the same orders again after
    /// `repeat_interval`, all others in every round.
    pub fn new(engine: Arc<dyn Engine>, repeat_interval: Duration) -> Self {
        Self {
            engine,
            repeat_interval,
            sent: HashMap::default(),
        }
    }

    /// Sends the orders of the service to those live VMs where they are due.
    pub async fn send_due(
        &mut self,
        lease: &LeaseEpoch,
        model: &ModelService,
        generation: Generation,
        vms: &[VmRecord],
    ) {
        self.sent
            .retain(|known, _| vms.iter().any(|vm| vm.vm == *known));
        let mut sends: Vec<BoxFuture<'_, _>> = Vec::new();
        for vm in vms.iter().filter(|vm| vm.state == VmState::Live) {
            let is_always_sent = model.fencing == EngineFencing::Ignored;
            if is_always_sent || self.is_due(vm, generation) {
                let engine = self.engine.as_ref();
                sends.push(send_all(engine, lease, model, generation, vm).boxed());
            }
        }
        let results = stream::iter(sends).buffer_unordered(MAX_CONCURRENT_ENGINES);
        let results: Vec<_> = results.collect().await;
        self.sent.extend(results.into_iter().flatten());
    }

    fn is_due(&self, vm: &VmRecord, generation: Generation) -> bool {
        let Some(sent) = self.sent.get(&vm.vm) else {
            return true;
        };
        let is_same = sent.incarnation == vm.incarnation && sent.generation == generation;
        !is_same || sent.at.elapsed() >= self.repeat_interval
    }
}

/// Sends all orders to one engine. Returns a record of them if the engine has carried out each.
async fn send_all(
    engine: &dyn Engine,
    lease: &LeaseEpoch,
    model: &ModelService,
    generation: Generation,
    vm: &VmRecord,
) -> Option<(VmId, SentOrders)> {
    let to = UpstreamAddress {
        upstream: UpstreamId::try_new(vm.vm.as_str()).ok()?,
        incarnation: vm.incarnation,
        address: vm.address,
    };
    for name in &model.models {
        let kind = OrderKind::LoadModel {
            model: name.clone(),
            version: DEFAULT_MODEL_VERSION.to_owned(),
        };
        if !send_one(engine, lease, model.fencing, generation, &to, kind).await {
            return None;
        }
    }
    let sent = SentOrders {
        incarnation: vm.incarnation,
        generation,
        at: Instant::now(),
    };
    Some((vm.vm.clone(), sent))
}

/// Sends one order. Returns whether the engine has carried it out.
async fn send_one(
    engine: &dyn Engine,
    lease: &LeaseEpoch,
    engines: EngineFencing,
    generation: Generation,
    to: &UpstreamAddress,
    kind: OrderKind,
) -> bool {
    let permit = match lease.permit(engines) {
        Ok(permit) => permit,
        Err(refusal) => {
            tracing::debug!(upstream = %to.upstream, %refusal, "order not permitted under the lease");
            return false;
        }
    };
    let fencing = permit.fencing();
    let order = Order {
        fencing,
        generation,
        kind,
    };
    match permit.send(|_| engine.order(to, &order)).await {
        Ok(OrderOutcome::Done) => return true,
        Ok(OrderOutcome::Fenced(known)) => {
            tracing::warn!(upstream = %to.upstream, %fencing, %known, "order fenced off");
        }
        Ok(OrderOutcome::Unknown(reason)) => {
            tracing::info!(upstream = %to.upstream, reason, "order outcome unknown");
        }
        Err(failure) => tracing::info!(upstream = %to.upstream, %failure, "order not carried out"),
    }
    false
}
