//! Tests that all running nodes see each other, and no other node, after random concurrent faults.

mod support;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use support::{Network, address, alive, start_all, until};
use tokio::time::sleep;
use verbenahead_core::HashMap;
use verbenahead_membership::MembershipHandles;

const NODES: usize = 8;
const HEALING_LIMIT: Duration = Duration::from_secs(240);

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize, usize),
    CutOneWay(usize, usize),
    Loss(f64),
    Leave(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Restart),
        node.clone().prop_map(Fault::Freeze),
        node.clone().prop_map(Fault::Thaw),
        (node.clone(), node.clone()).prop_map(|(a, b)| Fault::Cut(a, b)),
        (node.clone(), node.clone()).prop_map(|(a, b)| Fault::CutOneWay(a, b)),
        (0.0..0.3_f64).prop_map(Fault::Loss),
        node.prop_map(Fault::Leave),
    ]
}

struct Run {
    network: std::sync::Arc<Network>,
    nodes: HashMap<usize, MembershipHandles>,
    /// Highest incarnation that was given to a node.
    last_incarnation: u64,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let network = Network::new(seed);
        let nodes = start_all(&network, NODES).await;
        Self {
            network,
            nodes: nodes.into_iter().enumerate().collect(),
            last_incarnation: 1,
        }
    }

    async fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(node) => self.stop(node),
            Fault::Restart(node) => self.restart(node),
            Fault::Freeze(node) => self.network.freeze(node),
            Fault::Thaw(node) => self.network.thaw(node),
            Fault::Cut(a, b) => self.network.cut(a, b),
            Fault::CutOneWay(from, to) => self.network.cut_one_way(from, to),
            Fault::Loss(share) => self.network.set_loss(share),
            Fault::Leave(node) => self.leave(node).await,
        }
    }

    async fn leave(&mut self, node: usize) {
        // A frozen process cannot announce that it leaves.
        self.network.thaw(node);
        let handles = self.nodes.get(&node).filter(|_| node != 0);
        if let Some(handles) = handles {
            handles.membership.depart().await.expect("the task runs");
        }
        self.stop(node);
    }

    fn stop(&mut self, node: usize) {
        // Node 0 keeps running, because it is the seed of the others.
        if node != 0 {
            self.network.kill(node);
            self.nodes.remove(&node);
        }
    }

    fn restart(&mut self, node: usize) {
        self.stop(node);
        if node != 0 {
            self.last_incarnation += 1;
            let handles =
                self.network
                    .start_incarnation(node, self.last_incarnation, vec![address(0)]);
            self.nodes.insert(node, handles);
        }
    }

    fn heal(&self) {
        self.network.heal();
        self.network.set_loss(0.0);
        for node in 0..NODES {
            self.network.thaw(node);
        }
    }

    fn has_converged(&self) -> bool {
        let mut running: Vec<_> = self.nodes.keys().copied().collect();
        running.sort_unstable();
        self.nodes.values().all(|node| alive(node) == running)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(45),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn running_nodes_converge_after_random_faults(
        seed in 0_u64..1_000,
        faults in prop::collection::vec((fault(), 0_u64..15_000), 1..16),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let mut run = Run::start(seed).await;
            for (fault, pause_ms) in &faults {
                run.apply(fault).await;
                sleep(Duration::from_millis(*pause_ms)).await;
            }
            run.heal();
            until(|| run.has_converged(), HEALING_LIMIT).await;
        });
    }
}
