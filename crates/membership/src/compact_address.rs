//! Socket addresses stored in 18 bytes.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

/// A socket address without the IPv6 flow label and scope, which peers do not use. The standard type takes
/// 32 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompactAddress {
    ip: [u8; 16],
    port: [u8; 2],
}

impl From<SocketAddr> for CompactAddress {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        Self { ip: ip.octets(), port: address.port().to_be_bytes() }
    }
}

impl From<CompactAddress> for SocketAddr {
    fn from(address: CompactAddress) -> Self {
        let ip = Ipv6Addr::from(address.ip).to_canonical();
        Self::new(ip, u16::from_be_bytes(address.port))
    }
}
