//! Credentials with which nodes authenticate each other.

use std::{fmt, net::SocketAddr};

use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

use crate::{
    errors::{Error, Result},
    options::PeerOptions,
};

/// `PeerCredentials` holds the key of this node and the certificate authorities that it trusts.
#[derive(Clone)]
pub struct PeerCredentials {
    /// Certificate chain of this node, as PEM. The certificate must name the node's IP address.
    pub certificate: Vec<u8>,
    /// Private key of the certificate, as PEM.
    pub key: Vec<u8>,
    /// Certificates of the trusted authorities, as PEM. During a rotation these are the old one
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

/// `PeerSecurity` selects how nodes authenticate each other.
#[derive(Debug, Clone)]
pub enum PeerSecurity {
    /// Mutual TLS. Both ends present a certificate of a trusted authority.
    MutualTls(PeerCredentials),
    /// Plaintext without credentials, on loopback addresses only.
    PlaintextOnLoopback,
}

impl PeerSecurity {
    /// Returns the URI scheme of peers.
    pub(crate) fn scheme(&self) -> &'static str {
        match self {
            Self::MutualTls(_) => "https",
            Self::PlaintextOnLoopback => "http",
        }
    }

    /// Checks that the address may be used with this kind of security.
    ///
    /// # Errors
    ///
    /// [`Error::PlaintextRefused`] for plaintext on an address that is not loopback.
    pub(crate) fn check_address(&self, address: SocketAddr) -> Result<()> {
        match self {
            Self::PlaintextOnLoopback if !address.ip().is_loopback() => {
                Err(Error::PlaintextRefused { address })
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
