//! UDP socket for the reports, messages about quotas, quarantines and origins of streams, and notices
//! about feeds that nodes send each other.
//!
//! A report holds the state of a node, and a later report replaces it. A lost report is therefore
//! not retransmitted, and a report delayed by a stalled connection would only be stale.

use std::{io, net::SocketAddr};

use prost::Message;
use tokio::net::UdpSocket;
use verbenahead_membership::{
    FailureMessage, NodeReport, OriginMessage, PlacementMessage, QuarantineMessage, QuotaMessage,
    RolloutMessage,
};
use verbenahead_services::FeedNotice;

use crate::{errors::Error, report_wire as wire};

/// Maximum size of a datagram that is read. The sender truncates larger reports.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// `ReportSocket` sends and receives reports over UDP.
#[derive(Debug)]
pub struct ReportSocket {
    socket: UdpSocket,
}

/// First byte of a datagram that holds a message about a quota. No encoded report begins with it.
const QUOTA_TAG: u8 = 0;

/// First byte of a datagram that holds a notice about a feed. No encoded report begins with it.
const FEED_TAG: u8 = 1;

/// First byte of a datagram that holds a message about quarantines. No encoded report begins with it.
const QUARANTINE_TAG: u8 = 2;

/// First byte of a datagram that holds a message about origins of streams. No encoded report begins with
/// it.
const ORIGIN_TAG: u8 = 3;

/// First byte of a datagram that holds a message about a rollout. No encoded report begins with it.
const ROLLOUT_TAG: u8 = 4;

/// First byte of a datagram that holds a message about the load of a replica. No encoded report begins with
/// it.
const PLACEMENT_TAG: u8 = 5;

/// First byte of a datagram that holds a message about failing replicas. No encoded report begins with it.
const FAILURE_TAG: u8 = 6;

/// `Datagram` is the content of a received datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// Report of a node.
    Report(Box<NodeReport>),
    /// Message about a quota.
    Quota(QuotaMessage),
    /// Notice about the feed of a table.
    Feed(FeedNotice),
    /// Message about quarantines.
    Quarantine(QuarantineMessage),
    /// Message about origins of streams.
    Origin(OriginMessage),
    /// Message about a rollout.
    Rollout(RolloutMessage),
    /// Message about replicas that fail part of their requests.
    Failure(FailureMessage),
    /// Message about the load of a replica.
    Placement(PlacementMessage),
}

/// `EncodedReport` is a report in its wire encoding.
#[derive(Debug, Clone)]
pub struct EncodedReport(Vec<u8>);

impl EncodedReport {
    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the encoded bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&NodeReport> for EncodedReport {
    fn from(report: &NodeReport) -> Self {
        Self(wire::NodeReport::from(report).encode_to_vec())
    }
}

/// Decodes a report from the bytes of a datagram.
///
/// # Errors
///
/// [`Error::Malformed`] when the bytes are not a valid report.
pub fn decode_report(bytes: &[u8]) -> Result<NodeReport, Error> {
    let message = wire::NodeReport::decode(bytes)
        .map_err(|error| Error::malformed("report", error.to_string()))?;
    NodeReport::try_from(message)
}

/// Encodes a message about a quota as a datagram.
pub fn encode_quota(message: &QuotaMessage) -> Vec<u8> {
    encode(QUOTA_TAG, &wire::QuotaMessage::from(message))
}

/// Encodes a notice about a feed as a datagram.
pub fn encode_notice(notice: &FeedNotice) -> Vec<u8> {
    encode(FEED_TAG, &wire::FeedNotice::from(notice))
}

/// Encodes a message about quarantines as a datagram.
pub fn encode_quarantine(message: &QuarantineMessage) -> Vec<u8> {
    encode(QUARANTINE_TAG, &wire::QuarantineMessage::from(message))
}

/// Encodes a message about origins of streams as a datagram.
pub fn encode_origin(message: &OriginMessage) -> Vec<u8> {
    encode(ORIGIN_TAG, &wire::OriginMessage::from(message))
}

/// Encodes a message about the load of a replica as a datagram.
pub fn encode_placement(message: &PlacementMessage) -> Vec<u8> {
    encode(PLACEMENT_TAG, &wire::PlacementMessage::from(message))
}

/// Encodes a message about a rollout as a datagram.
pub fn encode_rollout(message: &RolloutMessage) -> Vec<u8> {
    encode(ROLLOUT_TAG, &wire::RolloutMessage::from(message))
}

/// Encodes a message about failing replicas as a datagram.
pub fn encode_failure(message: &FailureMessage) -> Vec<u8> {
    encode(FAILURE_TAG, &wire::FailureMessage::from(message))
}

fn encode(tag: u8, message: &impl Message) -> Vec<u8> {
    let mut bytes = vec![tag];
    message
        .encode(&mut bytes)
        .expect("a vector grows as required");
    bytes
}

/// Decodes the bytes of a datagram.
///
/// # Errors
///
/// [`Error::Malformed`] when the bytes are not one of the kinds of [`Datagram`].
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, Error> {
    match bytes.split_first() {
        Some((&QUOTA_TAG, message)) => {
            let message = wire::QuotaMessage::decode(message)
                .map_err(|error| Error::malformed("quota message", error.to_string()))?;
            message.try_into().map(Datagram::Quota)
        }
        Some((&FEED_TAG, notice)) => {
            let notice = wire::FeedNotice::decode(notice)
                .map_err(|error| Error::malformed("feed notice", error.to_string()))?;
            notice.try_into().map(Datagram::Feed)
        }
        Some((&QUARANTINE_TAG, message)) => {
            let message = wire::QuarantineMessage::decode(message)
                .map_err(|error| Error::malformed("quarantine message", error.to_string()))?;
            message.try_into().map(Datagram::Quarantine)
        }
        Some((&ORIGIN_TAG, message)) => {
            let message = wire::OriginMessage::decode(message)
                .map_err(|error| Error::malformed("origin message", error.to_string()))?;
            message.try_into().map(Datagram::Origin)
        }
        Some((&ROLLOUT_TAG, message)) => {
            let message = wire::RolloutMessage::decode(message)
                .map_err(|error| Error::malformed("rollout message", error.to_string()))?;
            message.try_into().map(Datagram::Rollout)
        }
        Some((&FAILURE_TAG, message)) => {
            let message = wire::FailureMessage::decode(message)
                .map_err(|error| Error::malformed("failure message", error.to_string()))?;
            message.try_into().map(Datagram::Failure)
        }
        Some((&PLACEMENT_TAG, message)) => {
            let message = wire::PlacementMessage::decode(message)
                .map_err(|error| Error::malformed("placement message", error.to_string()))?;
            message.try_into().map(Datagram::Placement)
        }
        _ => decode_report(bytes).map(|report| Datagram::Report(Box::new(report))),
    }
}

impl ReportSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        // Until the socket is first reported writable, a non-blocking send would drop its report.
        socket.writable().await?;
        Ok(Self { socket })
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// When the operating system does not return it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a report without waiting. Drops it when the send buffer is full.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the datagram. Callers need not retry, because the next
    /// report follows soon.
    pub fn send(&self, report: &EncodedReport, to: SocketAddr) -> io::Result<()> {
        self.send_bytes(&report.0, to)
    }

    /// Sends a message about a quota without waiting. Drops it when the send buffer is full.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the datagram.
    pub fn send_quota(&self, message: &QuotaMessage, to: SocketAddr) -> io::Result<()> {
        self.send_bytes(&encode_quota(message), to)
    }

    /// Sends an encoded datagram without waiting. Drops it when the send buffer is full.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the datagram.
    pub fn send_encoded(&self, encoded: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_bytes(encoded, to)
    }

    fn send_bytes(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        match self.socket.try_send_to(bytes, to) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            result => result.map(|_| ()),
        }
    }

    /// Receives the next datagram and the address of its sender. Invalid datagrams are logged and
    /// skipped.
    ///
    /// # Errors
    ///
    /// When the socket fails.
    pub async fn receive(&self) -> io::Result<(Datagram, SocketAddr)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (len, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                // An ICMP error caused by an earlier datagram to an address without a listener.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            match decode_datagram(&buf[..len]) {
                Ok(datagram) => return Ok((datagram, from)),
                Err(error) => tracing::warn!(%from, len, %error, "invalid datagram"),
            }
        }
    }
}
