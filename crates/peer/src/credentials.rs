//! Credentials by which nodes believe each other.

use std::{fmt, net::SocketAddr};

use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

use crate::{
    errors::{Error, Result},
    options::PeerOptions,
};

/// `PeerCredentials` holds the key of this node and the authorities that it believes.
#[derive(Clone)]
pub struct PeerCredentials {
    /// Certificate of this node with its chain, as PEM. Must name the node's IP number.
    pub certificate: Vec<u8>,
    /// Key of the certificate, as PEM.
    pub key: Vec<u8>,
    /// Certificates of the believed authorities, as PEM. During a rotation these are the old one
    /// and the new one.
    pub authorities: Vec<Vec<u8>>,
}

impl fmt::Debug for PeerCredentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerCredentials")
            .field("authorities", &self.authorities.len())
            .finish_non_exhaustive()
    }
}

/// `PeerSecurity` says how nodes believe each other.
#[derive(Debug, Clone)]
pub enum PeerSecurity {
    /// Mutual TLS. Both ends show a certificate of a believed authority.
    MutualTls(PeerCredentials),
    /// No credentials, on loopback addresses only.
    PlaintextOnLoopback,
}

impl PeerSecurity {
    /// Returns the scheme of URIs.
    pub(crate) fn scheme(&self) -> &'static str {
        match self {
            Self::MutualTls(_) => "https",
            Self::PlaintextOnLoopback => "http",
        }
    }

    /// Refuses an address that must not be used in plain text.
    pub(crate) fn check(&self, address: SocketAddr) -> Result<()> {
        match self {
            Self::PlaintextOnLoopback if !address.ip().is_loopback() => {
                Err(Error::PlainTextRefused { address })
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn client_tls(&self, options: &PeerOptions) -> Option<ClientTlsConfig> {
        let Self::MutualTls(credentials) = self else {
            return None;
        };
        let tls = ClientTlsConfig::new()
            .identity(credentials.identity())
            .ca_certificates(credentials.authorities.iter().map(Certificate::from_pem))
            .timeout(options.handshake_timeout);
        Some(tls)
    }

    pub(crate) fn server_tls(&self, options: &PeerOptions) -> Option<ServerTlsConfig> {
        let Self::MutualTls(credentials) = self else {
            return None;
        };
        let tls = ServerTlsConfig::new()
            .identity(credentials.identity())
            .client_ca_root(Certificate::from_pem(credentials.all_authorities()))
            .timeout(options.handshake_timeout);
        Some(tls)
    }
}

impl PeerCredentials {
    fn identity(&self) -> Identity {
        Identity::from_pem(&self.certificate, &self.key)
    }

    fn all_authorities(&self) -> Vec<u8> {
        self.authorities.join(&b'\n')
    }
}
