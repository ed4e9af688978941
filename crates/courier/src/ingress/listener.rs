//! Listening sockets for clients.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Binds a listening socket.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The address may still be in use by the last connections of the previous process.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
