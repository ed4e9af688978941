//! An HTTP endpoint: each call that comes whole runs once, and is answered as the endpoint is told to.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of a call.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// It runs, and is answered with this status after a while.
    Runs { status: u16, after: Duration },
    /// It does not run, and is answered with this status.
    Refuses { status: u16 },
    /// It runs, and its connection is closed without an answer.
    RunsAndCloses,
}

/// A call that ran.
#[derive(Clone, Debug)]
pub struct Ran {
    pub at: Instant,
    pub id: String,
    pub body: String,
    pub path: String,
}

type Decide = dyn Fn(&Message, usize) -> Reaction + Send + Sync;

#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub ran: Arc<Mutex<Vec<Ran>>>,
    calls: Arc<Mutex<usize>>,
    decide: Arc<Decide>,
    record: Record,
    name: String,
    pub quiet: bool,
}

impl Endpoint {
    pub fn new(
        record: &Record,
        name: &str,
        quiet: bool,
        decide: impl Fn(&Message, usize) -> Reaction + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| no_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let endpoint = Endpoint {
            address,
            ran: Arc::default(),
            calls: Arc::default(),
            decide: Arc::new(decide),
            record: record.clone(),
            name: name.to_owned(),
            quiet,
        };
        let own = endpoint.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut buffer = Vec::new();
                    while let Some(call) = read_message(&mut stream, &mut buffer) {
                        let number = {
                            let mut calls = own.calls.lock().unwrap();
                            *calls += 1;
                            *calls
                        };
                        let reaction = (own.decide)(&call, number);
                        let id = call.field("x-request-id").to_owned();
                        if !own.quiet {
                            own.record.line(&format!("endpoint {}: call of {id}: {reaction:?}", own.name));
                        }
                        let path = call.first.split(' ').nth(1).unwrap_or_default().to_owned();
                        if !matches!(reaction, Reaction::Refuses { .. }) {
                            let body = String::from_utf8_lossy(&call.body).into_owned();
                            own.ran.lock().unwrap().push(Ran { at: Instant::now(), id: id.clone(), body, path });
                        }
                        let status = match reaction {
                            Reaction::Runs { status, after } => {
                                thread::sleep(after);
                                status
                            }
                            Reaction::Refuses { status } => status,
                            Reaction::RunsAndCloses => {
                                let _ = stream.shutdown(Shutdown::Both);
                                return;
                            }
                        };
                        let text = format!(
                            "HTTP/1.1 {status} Status\r\nX-Request-ID: {id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        endpoint
    }

    /// How often each message ran, by its body.
    pub fn effects(&self) -> BTreeMap<String, usize> {
        let mut effects = BTreeMap::new();
        for ran in self.ran.lock().unwrap().iter() {
            *effects.entry(ran.body.clone()).or_default() += 1;
        }
        effects
    }
}
