//! Listen addresses of a node.

use std::net::SocketAddr;

use verbenahead_core::document::{Node, Object};

const LISTENER_KEYS: &[&str] = &["callers", "operators", "peers"];

/// `ListenerSettings` are the addresses of the three listeners. Port 0 binds any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerSettings {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the operator API and the status page.
    pub operators: SocketAddr,
    /// Listener for other nodes, which connect to exactly this address.
    pub peers: SocketAddr,
}

/// Parses the listeners.
pub(super) fn read(node: &Node<'_>) -> Option<ListenerSettings> {
    let object = node.object(LISTENER_KEYS)?;
    let callers = read_address(&object, "callers");
    let operators = read_address(&object, "operators");
    let peers = read_address(&object, "peers");
    if let (Some(peers), Some(node)) = (peers, object.optional("peers"))
        && peers.ip().is_unspecified()
    {
        node.report("other nodes cannot reach this address; give the IP address of the VM");
    }
    let listeners = ListenerSettings {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    };
    check_distinct(node, &listeners);
    Some(listeners)
}

fn read_address(object: &Object<'_>, key: &'static str) -> Option<SocketAddr> {
    parse_address(&object.required(key)?)
}

/// Parses an IP address with a port.
pub(super) fn parse_address(node: &Node<'_>) -> Option<SocketAddr> {
    let text = node.string()?;
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            node.report(format!(
                "`{text}` is not an IP address with a port, such as 10.0.0.1:80"
            ));
            None
        }
    }
}

fn check_distinct(node: &Node<'_>, listeners: &ListenerSettings) {
    let ListenerSettings {
        callers,
        operators,
        peers,
    } = *listeners;
    let is_same = |a: SocketAddr, b: SocketAddr| a.port() != 0 && a == b;
    if is_same(callers, operators) || is_same(callers, peers) || is_same(operators, peers) {
        node.report("two listeners have the same address");
    }
}
