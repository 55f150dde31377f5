//! Options of the membership.

use std::time::Duration;

/// `MembershipOptions` sets the periods and bounds of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Interval between two probes that this node starts.
    pub probe_period: Duration,
    /// Timeout of a probe. Multiplied while this node itself appears slow.
    pub probe_timeout: Duration,
    /// Number of members that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time that a suspect member has to refute the suspicion. Multiplied while this node itself
    /// appears slow.
    pub suspicion_timeout: Duration,
    /// Time for which a dead member is remembered.
    pub dead_retention: Duration,
    /// Interval between two full exchanges of members with a random member.
    pub exchange_period: Duration,
    /// Timeout of an exchange.
    pub exchange_timeout: Duration,
    /// Maximum size in bytes of the claims about other members in one probe or answer.
    pub max_claim_bytes: usize,
    /// Number of times that a claim is sent, as a multiple of the binary logarithm of the number
    /// of members.
    pub retransmit_factor: u32,
    /// Time without progress of this node after which its process counts as having been frozen.
    pub freeze_threshold: Duration,
    /// Maximum number of concurrent probes that this node makes on behalf of others.
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
