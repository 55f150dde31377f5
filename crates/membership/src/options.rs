//! Options of the membership.

use std::time::Duration;

/// `MembershipOptions` sets the periods and bounds of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two probes that this node starts.
    pub probe_period: Duration,
    /// Time within which a probed member has to answer. Longer while this node is slow itself.
    pub probe_timeout: Duration,
    /// Members that are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Time that a suspect member has to refute the suspicion. Longer while this node is slow
    /// itself.
    pub suspicion_timeout: Duration,
    /// Time for which a dead member is remembered.
    pub dead_retention: Duration,
    /// Time between two exchanges with a random member.
    pub exchange_period: Duration,
    /// Time within which an exchange has to end.
    pub exchange_timeout: Duration,
    /// Most bytes of claims about other members in one probe or answer.
    pub max_claim_bytes: usize,
    /// A claim is passed on this many times the binary logarithm of the number of members.
    pub retransmit_factor: u32,
    /// A longer time without any progress of this node means that its process was frozen.
    pub freeze_threshold: Duration,
    /// Most probes that this node makes for others at the same time.
    pub max_relayed_probes: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            dead_retention: Duration::from_secs(15 * 60),
            exchange_period: Duration::from_secs(30),
            exchange_timeout: Duration::from_secs(2),
            max_claim_bytes: 512,
            retransmit_factor: 2,
            freeze_threshold: Duration::from_secs(2),
            max_relayed_probes: 64,
        }
    }
}
