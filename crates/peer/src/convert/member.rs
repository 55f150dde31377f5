//! Conversions of members and probes.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use verbenahead_core::Incarnation;
use verbenahead_membership::{
    Ack, IndirectProbe, Member, MemberExchange, MemberState, Ping, StateDigest,
};

use super::{convert_all, parse_id, required, try_convert_all};
use crate::{
    errors::{Error, Result},
    wire,
};

impl From<SocketAddr> for wire::Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
            IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
        };
        Self {
            ip,
            port: u32::from(address.port()),
        }
    }
}

impl TryFrom<wire::Address> for SocketAddr {
    type Error = Error;

    fn try_from(address: wire::Address) -> Result<Self> {
        let port = u16::try_from(address.port).map_err(|e| Error::malformed("port", e))?;
        if let Ok(octets) = <[u8; 4]>::try_from(address.ip.as_ref()) {
            return Ok(Self::from((octets, port)));
        }
        let octets = <[u8; 16]>::try_from(address.ip.as_ref())
            .map_err(|_| Error::malformed("ip", "it is not 4 or 16 bytes"))?;
        Ok(Self::from((octets, port)))
    }
}

impl From<MemberState> for wire::MemberState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Leaving => Self::Leaving,
            MemberState::Suspect => Self::Suspect,
            MemberState::Dead => Self::Dead,
        }
    }
}

impl TryFrom<wire::MemberState> for MemberState {
    type Error = Error;

    fn try_from(state: wire::MemberState) -> Result<Self> {
        match state {
            wire::MemberState::Alive => Ok(Self::Alive),
            wire::MemberState::Leaving => Ok(Self::Leaving),
            wire::MemberState::Suspect => Ok(Self::Suspect),
            wire::MemberState::Dead => Ok(Self::Dead),
            wire::MemberState::Unspecified => Err(Error::malformed("state", "it is missing")),
        }
    }
}

impl From<Member> for wire::Member {
    fn from(member: Member) -> Self {
        Self {
            node: member.node.into(),
            incarnation: member.incarnation.0,
            address: Some(member.address.into()),
            zone: member.zone.into(),
            state: wire::MemberState::from(member.state).into(),
        }
    }
}

impl TryFrom<wire::Member> for Member {
    type Error = Error;

    fn try_from(member: wire::Member) -> Result<Self> {
        let state =
            wire::MemberState::try_from(member.state).map_err(|e| Error::malformed("state", e))?;
        Ok(Self {
            node: parse_id("node", member.node)?,
            incarnation: Incarnation(member.incarnation),
            address: required("address", member.address)?.try_into()?,
            zone: parse_id("zone", member.zone)?,
            state: state.try_into()?,
        })
    }
}

impl From<Ping> for wire::PingRequest {
    fn from(ping: Ping) -> Self {
        Self {
            to: ping.to.into(),
            from: Some(ping.from.into()),
            claims: convert_all(ping.claims),
            news_digest: ping.news.0,
        }
    }
}

impl TryFrom<wire::PingRequest> for Ping {
    type Error = Error;

    fn try_from(req: wire::PingRequest) -> Result<Self> {
        Ok(Self {
            to: parse_id("to", req.to)?,
            from: required("from", req.from)?.try_into()?,
            claims: try_convert_all(req.claims)?,
            news: StateDigest(req.news_digest),
        })
    }
}

impl From<Ack> for wire::PingResponse {
    fn from(ack: Ack) -> Self {
        Self {
            from: Some(ack.from.into()),
            claims: convert_all(ack.claims),
            news_digest: ack.news.0,
        }
    }
}

impl TryFrom<wire::PingResponse> for Ack {
    type Error = Error;

    fn try_from(response: wire::PingResponse) -> Result<Self> {
        Ok(Self {
            from: required("from", response.from)?.try_into()?,
            claims: try_convert_all(response.claims)?,
            news: StateDigest(response.news_digest),
        })
    }
}

impl From<IndirectProbe> for wire::ProbeIndirectlyRequest {
    fn from(probe: IndirectProbe) -> Self {
        Self {
            target: probe.target.into(),
            address: Some(probe.address.into()),
        }
    }
}

impl TryFrom<wire::ProbeIndirectlyRequest> for IndirectProbe {
    type Error = Error;

    fn try_from(req: wire::ProbeIndirectlyRequest) -> Result<Self> {
        Ok(Self {
            target: parse_id("target", req.target)?,
            address: required("address", req.address)?.try_into()?,
        })
    }
}

/// Implements the conversions of one side of a member exchange.
macro_rules! convert_exchange {
    ($name:ident) => {
        impl From<MemberExchange> for wire::$name {
            fn from(exchange: MemberExchange) -> Self {
                Self {
                    from: Some(exchange.from.into()),
                    digest: exchange.digest.0,
                    members: convert_all(exchange.members),
                }
            }
        }

        impl TryFrom<wire::$name> for MemberExchange {
            type Error = Error;

            fn try_from(exchange: wire::$name) -> Result<Self> {
                Ok(Self {
                    from: required("from", exchange.from)?.try_into()?,
                    digest: StateDigest(exchange.digest),
                    members: try_convert_all(exchange.members)?,
                })
            }
        }
    };
}

convert_exchange!(ExchangeMembersRequest);
convert_exchange!(ExchangeMembersResponse);
