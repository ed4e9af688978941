//! Listening sockets for clients.

use crate::startup_error::StartupError;
use crate::system_errors::policy::ACCEPT_PAUSES;
use crate::system_errors::{Backoff, Operation, Policy, report, retry};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long startup tries to bind an address.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Failed calls in a row that are repeated without a pause.
const MAX_IMMEDIATE_RETRIES: u32 = 32;

/// Binds a listening socket.
///
/// # Errors
/// The address is in use or does not belong to this machine, or the system has no resources for a socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The address may still be in use by the last connections of the previous process.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Binds a listening socket at startup, with attempts for [`START_TIMEOUT`]. `key` names the setting.
///
/// # Errors
/// The last error, or one that attempts cannot pass.
pub async fn listen_at_start(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartupError> {
    let policy = |error: &io::Error| report(Operation::Listen, error);
    let what = format!("{key}: {address}");
    let listener = retry(&what, START_TIMEOUT, policy, async || listen(address)).await;
    listener.map_err(|e| StartupError::Invalid(key, format!("{address}: {e}")))
}

/// Accepts the connections of a listening socket.
pub struct Acceptor {
    listener: TcpListener,
    backoff: Backoff,
    immediate_retries: u32,
}

impl Acceptor {
    /// Takes over a listening socket.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor { listener, backoff: Backoff::default(), immediate_retries: 0 }
    }

    /// Accepts the next connection. While the system has no resources for one, calls `shed` to close an idle
    /// connection and waits.
    pub async fn accept(&mut self, shed: impl Fn()) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => {
                    self.backoff.reset();
                    self.immediate_retries = 0;
                    return accepted;
                }
                Err(e) => self.handle_error(report(Operation::Accept, &e), &shed).await,
            }
        }
    }

    async fn handle_error(&mut self, policy: Policy, shed: impl Fn()) {
        if matches!(policy, Policy::Shed(_)) {
            shed();
        }
        if policy == Policy::RetryNow && self.immediate_retries < MAX_IMMEDIATE_RETRIES {
            self.immediate_retries += 1;
            return;
        }
        if is_planted(PlantedFault::AcceptWithoutBackoff) {
            return yield_now().await;
        }
        sleep(self.backoff.next_pause(policy.pauses().unwrap_or(ACCEPT_PAUSES))).await;
    }
}
