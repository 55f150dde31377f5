//! Members of the deployment.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId};

/// Bytes of a member in a message, beside its names: tags, address, incarnation and state.
const MEMBER_OVERHEAD_BYTES: usize = 48;

/// `MemberState` is what a node believes of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member drains and takes no new work.
    Leaving,
    /// Probes of the member failed. It may still refute this.
    Suspect,
    /// The member has left, or did not refute a suspicion in time.
    Dead,
}

/// `NodeIdentity` is how a node presents itself to the others.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Id of the node.
    pub node: NodeId,
    /// Life of the node. Must be higher than in any earlier life with the same id, which a start
    /// time in milliseconds since the Unix epoch satisfies.
    pub incarnation: Incarnation,
    /// Address on which the node serves its peers.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
}

/// `Member` is a node with what is believed of it. As part of a message it is a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Id of the node.
    pub node: NodeId,
    /// Life of the node to which the state belongs.
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

    /// Returns whether the member may still run: alive, leaving or suspect.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Returns an upper bound of the bytes that the member takes in a message.
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
