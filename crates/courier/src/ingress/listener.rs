//! Addresses that clients connect to.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

/// # Errors
/// The address is taken, or none of this machine's.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The address of the process before this one may still be in use by its last connections.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
