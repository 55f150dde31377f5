//! Paths to replicas through other nodes.
//!
//! The other node only sends what this node has decided: it chooses no replica, makes no second attempt and
//! passes nothing on to a third node. All accounting stays with this node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Debug;
use http::{Request, Response};
use rand::Rng;
use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, HashMap, NodeId};
use verbenahead_membership::SharedRoster;
use verbenahead_policy::{CandidateState, PlainCandidate, route_plain};
use verbenahead_upstream::{
    Connections, Error as UpstreamError, Reuse, SegmentedBody, UpstreamBody,
};

use crate::{
    forward_wire::{ForwardKind, ForwardOutcome, ForwardRequest, read_outcome},
    upstream::UpstreamEntry,
};

/// `PeerPathsOptions` sets how other nodes are chosen to pass requests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerPathsOptions {
    /// Maximum time to open a connection to another node.
    pub connect_timeout: Duration,
    /// Nodes that are asked one after the other for one attempt at a replica.
    pub max_nodes: usize,
    /// Nodes that do not reach a replica, and do not say that they are cut off, after which it is down.
    pub max_unreachable: usize,
    /// Time for which a node is left alone that is cut off itself or does not answer.
    pub avoid_unusable: Duration,
    /// Time for which a node is left alone that has no room.
    pub avoid_busy: Duration,
    /// Time since its last passed-on response for which a node counts as one that reaches replicas.
    pub reaching_period: Duration,
    /// Nodes that reach replicas from which on others are seldom tried.
    pub enough_reaching: usize,
    /// Part of the choices that may fall on any node although enough are known to reach replicas.
    pub exploration: f64,
}

impl Default for PeerPathsOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            max_nodes: 6,
            max_unreachable: 3,
            avoid_unusable: Duration::from_secs(5),
            avoid_busy: Duration::from_millis(200),
            reaching_period: Duration::from_secs(5),
            enough_reaching: 4,
            exploration: 0.1,
        }
    }
}

/// `PeerPaths` sends requests to replicas through other nodes.
#[derive(Debug)]
pub struct PeerPaths {
    options: PeerPathsOptions,
    zone: AvailabilityZone,
    roster: SharedRoster,
    #[debug(skip)]
    connections: Connections,
    states: Mutex<HashMap<NodeId, PeerState>>,
}

/// `PeerState` is what this node knows of another node as a path.
#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Requests that the node passes on for this node.
    outstanding: u32,
    /// Time of the last response that it passed on.
    reached_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

/// `Peer` is a node that may pass a request on.
#[derive(Debug, Clone)]
struct Peer {
    node: NodeId,
    zone: AvailabilityZone,
    address: SocketAddr,
    state: PeerState,
}

/// `PeerLease` counts a request at the node that passes it on until it is dropped.
#[derive(Debug)]
pub(crate) struct PeerLease {
    paths: Arc<PeerPaths>,
    node: NodeId,
}

impl PeerLease {
    /// Leaves the node alone for some time, since its response broke off.
    pub(crate) fn record_break(&self) {
        self.paths.avoid(&self.node, self.paths.options.avoid_busy);
    }

    /// Returns the node.
    pub(crate) fn node(&self) -> &NodeId {
        &self.node
    }
}

impl Drop for PeerLease {
    fn drop(&mut self) {
        if let Some(state) = self.paths.lock().get_mut(&self.node) {
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }
}

/// `PeerPathError` is the reason why no node passed on a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerPathError {
    /// Nothing was sent: no node could be used.
    NoNode,
    /// Nothing was sent: nodes that answered do not reach the replica either.
    Unreachable,
    /// The request may have run.
    Failed(UpstreamError),
}

impl PeerPaths {
    /// Builds the paths of a node in `zone` through the nodes of `roster`.
    pub fn new(
        options: PeerPathsOptions,
        zone: AvailabilityZone,
        roster: SharedRoster,
        connections: Connections,
    ) -> Self {
        Self {
            options,
            zone,
            roster,
            connections,
            states: Mutex::default(),
        }
    }

    /// Returns whether there is a node that could pass requests on.
    pub fn has_node(&self) -> bool {
        self.roster.lock().reachable_nodes().next().is_some()
    }

    /// Sends a request to a replica through another node. `build` builds the request for the replica, once
    /// for each node that is asked.
    pub(crate) async fn send(
        self: &Arc<Self>,
        upstream: &UpstreamEntry,
        build: impl Fn() -> Request<SegmentedBody>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<(Response<UpstreamBody>, PeerLease), PeerPathError> {
        let mut asked: Vec<Peer> = Vec::new();
        let mut not_reaching: Vec<NodeId> = Vec::new();
        while asked.len() < self.options.max_nodes && Instant::now() < deadline {
            let Some(peer) = self.choose(&asked) else {
                break;
            };
            asked.push(peer.clone());
            let lease = self.lease(&peer.node);
            let sent = self.ask(&peer, upstream, build(), reuse.into(), deadline);
            match sent.await {
                Ok(response) => {
                    let Some(outcome) = read_outcome(response.headers()) else {
                        self.record_reached(&peer.node);
                        for node in &not_reaching {
                            self.avoid(node, self.options.avoid_unusable);
                        }
                        return Ok((response, lease));
                    };
                    self.log_outcome(&peer.node, upstream, outcome);
                    match outcome {
                        ForwardOutcome::Interrupted => {
                            let error = UpstreamError::interrupted("connection of another node");
                            return Err(PeerPathError::Failed(error));
                        }
                        ForwardOutcome::TimedOut => {
                            return Err(PeerPathError::Failed(UpstreamError::TimedOut));
                        }
                        ForwardOutcome::Unreachable => {
                            not_reaching.push(peer.node.clone());
                            let is_down = not_reaching.len() >= self.options.max_unreachable;
                            if is_down || self.is_reaching(&peer.state) {
                                break;
                            }
                        }
                        ForwardOutcome::Busy => self.avoid(&peer.node, self.options.avoid_busy),
                        ForwardOutcome::Unavailable => {}
                        ForwardOutcome::CutOff
                        | ForwardOutcome::Invalid
                        | ForwardOutcome::Reached => {
                            self.avoid(&peer.node, self.options.avoid_unusable);
                        }
                    }
                }
                Err(
                    UpstreamError::NotSent { reason } | UpstreamError::ConnectionRefused { reason },
                ) => {
                    tracing::info!(node = %peer.node, reason, "node that passes requests on not reached");
                    self.avoid(&peer.node, self.options.avoid_unusable);
                }
                Err(error) => {
                    self.avoid(&peer.node, self.options.avoid_unusable);
                    return Err(PeerPathError::Failed(error));
                }
            }
        }
        Err(match not_reaching.is_empty() {
            true => PeerPathError::NoNode,
            false => PeerPathError::Unreachable,
        })
    }

    /// Asks other nodes whether they reach a replica. Returns `None` if none of them tells.
    pub(crate) async fn check(self: &Arc<Self>, upstream: &UpstreamEntry) -> Option<bool> {
        let mut asked = Vec::new();
        while asked.len() < MAX_CHECKS {
            let peer = self.choose(&asked)?;
            asked.push(peer.clone());
            let deadline = Instant::now() + self.options.connect_timeout * 2;
            let req = Request::new(SegmentedBody::default());
            let answer = self
                .ask(&peer, upstream, req, ForwardKind::Check, deadline)
                .await;
            let outcome = answer
                .ok()
                .and_then(|response| read_outcome(response.headers()));
            match outcome {
                Some(ForwardOutcome::Reached) => return Some(true),
                Some(ForwardOutcome::Unreachable) => return Some(false),
                _ => self.avoid(&peer.node, self.options.avoid_busy),
            }
        }
        None
    }

    async fn ask(
        &self,
        peer: &Peer,
        upstream: &UpstreamEntry,
        mut req: Request<SegmentedBody>,
        kind: ForwardKind,
        deadline: Instant,
    ) -> Result<Response<UpstreamBody>, UpstreamError> {
        let limit = deadline.saturating_duration_since(Instant::now());
        ForwardRequest::new(&upstream.address, limit, kind).write(req.headers_mut());
        let reuse = match kind {
            ForwardKind::Fresh => Reuse::Forbidden,
            ForwardKind::Pooled | ForwardKind::Check => Reuse::Allowed,
        };
        let connect_timeout = self.options.connect_timeout;
        self.connections
            .send_connected_within(peer.address, req, reuse, limit, connect_timeout)
            .await
    }

    /// Chooses the less loaded of two nodes that are drawn at random, the first from the zone of this node.
    /// A zone may be cut off as a whole, so nodes of zones that were not asked yet go first after that.
    fn choose(&self, asked: &[Peer]) -> Option<Peer> {
        let mut peers = self.usable(asked);
        let is_of_asked_zone = |peer: &Peer| asked.iter().any(|other| other.zone == peer.zone);
        if !peers.iter().all(is_of_asked_zone) {
            peers.retain(|peer| !is_of_asked_zone(peer));
        }
        let rng = &mut rand::rng();
        let reaching = peers.iter().filter(|p| self.is_reaching(&p.state)).count();
        let may_explore = rng.random::<f64>() < self.options.exploration;
        if reaching >= self.options.enough_reaching && !may_explore {
            peers.retain(|peer| self.is_reaching(&peer.state));
        }
        let candidate = |peer: &Peer| PlainCandidate {
            zone: peer.zone.clone(),
            state: CandidateState::Ready,
            outstanding: peer.state.outstanding,
            load: None,
        };
        let candidates: Vec<_> = peers.iter().map(candidate).collect();
        let index = route_plain(&self.zone, &candidates, rng)?;
        Some(peers.swap_remove(index))
    }

    /// Returns the nodes that may be asked, those that are left alone only if there are no others.
    fn usable(&self, asked: &[Peer]) -> Vec<Peer> {
        let now = Instant::now();
        let states = self.lock();
        let roster = self.roster.lock();
        let nodes = roster.reachable_nodes();
        let peers = nodes.filter(|(node, ..)| asked.iter().all(|peer| peer.node != **node));
        let peers = peers.map(|(node, zone, address)| Peer {
            node: node.clone(),
            zone: zone.clone(),
            address,
            state: states.get(node).copied().unwrap_or_default(),
        });
        let is_avoided = |peer: &Peer| peer.state.avoid_until.is_some_and(|until| now < until);
        let (avoided, usable): (Vec<_>, Vec<_>) = peers.partition(is_avoided);
        if usable.is_empty() { avoided } else { usable }
    }

    fn is_reaching(&self, state: &PeerState) -> bool {
        let period = self.options.reaching_period;
        state.reached_at.is_some_and(|at| at.elapsed() < period)
    }

    fn lease(self: &Arc<Self>, node: &NodeId) -> PeerLease {
        self.lock().entry(node.clone()).or_default().outstanding += 1;
        PeerLease {
            paths: Arc::clone(self),
            node: node.clone(),
        }
    }

    fn record_reached(&self, node: &NodeId) {
        let mut states = self.lock();
        let state = states.entry(node.clone()).or_default();
        state.reached_at = Some(Instant::now());
        state.avoid_until = None;
    }

    fn avoid(&self, node: &NodeId, period: Duration) {
        let mut states = self.lock();
        let state = states.entry(node.clone()).or_default();
        state.avoid_until = Some(Instant::now() + period);
        if period >= self.options.avoid_unusable {
            state.reached_at = None;
        }
    }

    fn log_outcome(&self, node: &NodeId, upstream: &UpstreamEntry, outcome: ForwardOutcome) {
        tracing::info!(
            %node,
            upstream = %upstream.address.upstream,
            %outcome,
            "request not passed on by another node",
        );
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, PeerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Nodes that are asked one after the other whether they reach a replica.
const MAX_CHECKS: usize = 3;
