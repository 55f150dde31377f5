//! Members: the nodes of a deployment and their states.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId};

/// Encoded size in bytes of a member without its names: tags, address, incarnation and state.
const MEMBER_OVERHEAD_BYTES: usize = 48;

/// `MemberState` is the state of a member as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member is draining and takes no new work.
    Leaving,
    /// Probes of the member failed. It may still refute the suspicion.
    Suspect,
    /// The member has left, or did not refute a suspicion in time.
    Dead,
}

/// `NodeIdentity` is what a node announces about itself when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of the node. Must be higher than that of any earlier process with the same id,
    /// which a start time in milliseconds since the Unix epoch satisfies.
    pub incarnation: Incarnation,
    /// Address on which the node serves its peers.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
}

/// `Member` is a node with its last known state. In a message it is a claim about that node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of the node to which the state belongs.
    pub incarnation: Incarnation,
    /// Address on which the node serves its peers.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// State of the node.
    pub state: MemberState,
}

impl Member {
    /// Returns whether the member may be given new work.
    pub fn is_alive(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Returns whether the member may still be running: alive, leaving or suspect.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Returns an upper bound of the member's encoded size in a message, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        MEMBER_OVERHEAD_BYTES + self.node.as_str().len() + self.zone.as_str().len()
    }
}

impl From<NodeIdentity> for Member {
    fn from(identity: NodeIdentity) -> Self {
        Self {
            node: identity.node,
            incarnation: identity.incarnation,
            address: identity.address,
            zone: identity.zone,
            state: MemberState::Alive,
        }
    }
}
