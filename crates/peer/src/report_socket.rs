//! Datagrams with reports of nodes.
//!
//! A report is a state, and a later one replaces it. So one that is lost needs no repetition, and
//! one that is held up by a silent connection would only be stale.

use std::{io, net::SocketAddr};

use prost::Message;
use tokio::net::UdpSocket;
use verbenahead_membership::NodeReport;

use crate::{errors::Error, report_wire as wire};

/// Largest datagram that is read. Larger reports are cut by their sender.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// `ReportSocket` sends and receives reports.
#[derive(Debug)]
pub struct ReportSocket {
    socket: UdpSocket,
}

/// `EncodedReport` is a report as it is sent.
#[derive(Debug, Clone)]
pub struct EncodedReport(Vec<u8>);

impl EncodedReport {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the bytes.
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

/// Reads a report from the bytes of a datagram.
///
/// # Errors
///
/// [`Error::Malformed`] when the bytes are no report.
pub fn decode_report(bytes: &[u8]) -> Result<NodeReport, Error> {
    let message = wire::NodeReport::decode(bytes)
        .map_err(|error| Error::malformed("report", error.to_string()))?;
    NodeReport::try_from(message)
}

impl ReportSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        // Before the first readiness, a send that does not wait would drop its report.
        socket.writable().await?;
        Ok(Self { socket })
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// When the system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a report, or drops it when the socket has no room.
    ///
    /// # Errors
    ///
    /// When the system refuses it. Another report follows soon.
    pub fn send(&self, report: &EncodedReport, to: SocketAddr) -> io::Result<()> {
        match self.socket.try_send_to(&report.0, to) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            sent => sent.map(|_| ()),
        }
    }

    /// Receives the next report with the address of its sender. Datagrams that are no reports are
    /// logged and skipped.
    ///
    /// # Errors
    ///
    /// When the socket fails.
    pub async fn receive(&self) -> io::Result<(NodeReport, SocketAddr)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (len, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                // The answer to an earlier datagram to an address where nobody listens.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            match decode_report(&buf[..len]) {
                Ok(report) => return Ok((report, from)),
                Err(error) => tracing::warn!(%from, len, %error, "datagram is no report"),
            }
        }
    }
}
