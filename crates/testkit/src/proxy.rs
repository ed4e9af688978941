//! A TCP proxy on loopback for one link. It delays, holds back, cuts, resets and half-closes, and duplicates nothing.

use crate::scenario::LinkAction;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Longest piece that is passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// How long a connect to the target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault of the link.
#[derive(Clone, Copy, Debug)]
pub struct ProxyFault {
    pub action: LinkAction,
    /// For `Delay`.
    pub delay: Duration,
    /// For the others that end a connection: how many further bytes may pass at most.
    pub after_bytes: usize,
}

/// The proxy. Its connections end when it is dropped.
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// Pieces and connections that a fault has affected.
    affected: AtomicU64,
}

struct State {
    fault: Option<ProxyFault>,
    connections: Vec<Arc<Connection>>,
    rng: SmallRng,
    closed: bool,
}

/// A connection and the one made for it.
struct Connection {
    from_client: TcpStream,
    to_server: TcpStream,
    /// Bytes that may still pass before the fault ends it; None without such a fault.
    budget: Mutex<Option<usize>>,
    /// Whether it has been closed or reset here.
    ended: AtomicBool,
    /// Threads that still pass bytes on.
    directions_open: AtomicUsize,
}

impl Connection {
    fn new(from_client: TcpStream, to_server: TcpStream) -> Self {
        let _ = from_client.set_nodelay(true);
        let _ = to_server.set_nodelay(true);
        let (budget, ended) = (Mutex::new(None), AtomicBool::new(false));
        Connection { from_client, to_server, budget, ended, directions_open: AtomicUsize::new(2) }
    }
}

/// Which way a thread passes bytes on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy for a target, whether or not that takes connections yet.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let rng = SmallRng::seed_from_u64(seed);
        let state = State { fault: None, connections: Vec::new(), rng, closed: false };
        let shared = Arc::new(Shared {
            target,
            state: Mutex::new(state),
            changed: Condvar::new(),
            affected: AtomicU64::new(0),
        });
        let own = shared.clone();
        thread::spawn(move || own.accept_all(&listener));
        Ok(Proxy { address, shared })
    }

    /// Begins a fault, in place of the one before.
    pub fn begin(&self, fault: ProxyFault) {
        let mut state = self.shared.state();
        state.fault = Some(fault);
        let connections = state.connections.clone();
        for connection in &connections {
            let budget = draw_budget(&mut state.rng, &fault);
            *connection.budget.lock().expect("the budget") = budget;
            if budget == Some(0) {
                self.shared.end(connection, fault.action);
            }
        }
        state.connections.retain(|connection| connection.is_open());
    }

    /// Ends the fault. What was held back passes.
    pub fn end(&self) {
        let mut state = self.shared.state();
        state.fault = None;
        for connection in &state.connections {
            *connection.budget.lock().expect("the budget") = None;
        }
        self.shared.changed.notify_all();
    }

    /// Returns how many pieces and connections faults have affected.
    pub fn affected(&self) -> u64 {
        self.shared.affected.load(Ordering::SeqCst)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.closed = true;
        state.fault = None;
        state.connections.iter().for_each(|connection| connection.close());
        self.shared.changed.notify_all();
        drop(state);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

/// Draws how many further bytes may pass, if the fault ends connections.
fn draw_budget(rng: &mut SmallRng, fault: &ProxyFault) -> Option<usize> {
    let ends = matches!(fault.action, LinkAction::Cut | LinkAction::Reset | LinkAction::HalfClose);
    ends.then(|| rng.random_range(0..=fault.after_bytes))
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the proxy's state")
    }

    fn accept_all(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.state().closed {
                return;
            }
            let own = self.clone();
            thread::spawn(move || own.serve(stream));
        }
    }

    fn serve(self: Arc<Self>, client: TcpStream) {
        let fault = self.state().fault;
        let Ok(server) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            // As if the target had refused the connection.
            return reset(&client);
        };
        let connection = Arc::new(Connection::new(client, server));
        if let Some(fault) = fault {
            let budget = draw_budget(&mut self.state().rng, &fault);
            *connection.budget.lock().expect("the budget") = budget;
            if budget == Some(0) {
                self.end(&connection, fault.action);
            }
        }
        self.state().connections.push(connection.clone());
        let (own, other) = (self.clone(), connection.clone());
        thread::spawn(move || own.pass_all(&other, Direction::ToClient));
        self.pass_all(&connection, Direction::ToServer);
    }

    /// Passes bytes on until one side ends.
    fn pass_all(&self, connection: &Arc<Connection>, direction: Direction) {
        let (mut from, mut to) = connection.sides(direction);
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = match from.read(&mut buffer) {
                Ok(read) => read,
                Err(_) => break connection.close(),
            };
            self.wait_for_passage();
            if read == 0 {
                if connection.is_open() {
                    let _ = to.shutdown(Shutdown::Write);
                }
                break;
            }
            let (passed, ends) = connection.spend(read);
            if to.write_all(&buffer[..passed]).is_err() {
                break connection.close();
            }
            if ends && let Some(fault) = self.state().fault {
                self.end(connection, fault.action);
                if direction == Direction::ToClient || fault.action != LinkAction::HalfClose {
                    break;
                }
            }
        }
        if connection.directions_open.fetch_sub(1, Ordering::SeqCst) == 1 {
            connection.ended.store(true, Ordering::SeqCst);
        }
        self.state().connections.retain(|other| other.is_open());
    }

    /// Waits while a fault holds a piece back.
    fn wait_for_passage(&self) {
        let mut state = self.state();
        match state.fault {
            Some(ProxyFault { action: LinkAction::Delay, delay, .. }) => {
                drop(state);
                self.affected.fetch_add(1, Ordering::SeqCst);
                thread::sleep(delay);
            }
            Some(ProxyFault { action: LinkAction::Hold, .. }) => {
                self.affected.fetch_add(1, Ordering::SeqCst);
                while state.fault.is_some_and(|fault| fault.action == LinkAction::Hold) {
                    state = self.changed.wait(state).expect("the proxy's state");
                }
            }
            _ => {}
        }
    }

    /// Ends a connection in the fault's way.
    fn end(&self, connection: &Connection, action: LinkAction) {
        self.affected.fetch_add(1, Ordering::SeqCst);
        *connection.budget.lock().expect("the budget") = None;
        match action {
            LinkAction::Reset => {
                connection.ended.store(true, Ordering::SeqCst);
                reset(&connection.from_client);
                reset(&connection.to_server);
            }
            LinkAction::HalfClose => {
                let _ = connection.from_client.shutdown(Shutdown::Write);
            }
            LinkAction::Cut | LinkAction::Delay | LinkAction::Hold => connection.close(),
        }
    }
}

impl Connection {
    fn sides(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::ToServer => (&self.from_client, &self.to_server),
            Direction::ToClient => (&self.to_server, &self.from_client),
        }
    }

    /// Takes bytes from the budget. Returns how many may pass, and whether the connection ends after them.
    fn spend(&self, bytes: usize) -> (usize, bool) {
        let mut budget = self.budget.lock().expect("the budget");
        match budget.as_mut() {
            None => (bytes, false),
            Some(left) => {
                let passed = bytes.min(*left);
                *left -= passed;
                (passed, *left == 0)
            }
        }
    }

    fn is_open(&self) -> bool {
        !self.ended.load(Ordering::SeqCst)
    }

    fn close(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = self.from_client.shutdown(Shutdown::Both);
        let _ = self.to_server.shutdown(Shutdown::Both);
    }
}

/// Makes the socket reset its connection once its last handle is dropped, which the end of reading brings about.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

#[cfg(test)]
#[path = "proxy_test.rs"]
mod tests;
