//! Silent connections of clients that send nothing, and connect again when they are closed.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two looks at the connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a connect may take; a crowd that finds no place waits for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The crowd. Its connections end when it is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Keeps this number of connections open at each courier.
    pub fn start(size: usize, couriers: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let crowded = couriers.iter().filter(|_| size > 0);
        let threads = crowded.map(|address| {
            let (stop, address) = (stop.clone(), *address);
            thread::spawn(move || keep_open(size, address, &stop))
        });
        Crowd { threads: threads.collect(), stop }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn keep_open(size: usize, address: SocketAddr, stop: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        open.retain_mut(is_open);
        while open.len() < size {
            let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
            let Ok(stream) = connected.and_then(|s| s.set_nonblocking(true).map(|()| s)) else { break };
            open.push(stream);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Whether the courier has not closed the connection.
fn is_open(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}
