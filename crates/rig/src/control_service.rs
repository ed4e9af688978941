//! A fake control service that streams configuration versions, also incomplete ones, and records each answer.

use crate::{HttpMessage, PostScript};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The courier's answer to a configuration version.
#[derive(Clone, Debug)]
pub struct VersionAnswer {
    pub version: Option<u64>,
    pub accepted: bool,
    pub reasons: String,
    pub at: Instant,
}

#[derive(Default)]
struct Inner {
    stream: Option<TcpStream>,
    /// Request lines of all streams.
    asked: Vec<String>,
    answers: Vec<VersionAnswer>,
    /// Scripts for the next POSTs of answers, one each.
    scripts: VecDeque<PostScript>,
}

/// The fake control service. Clones share its state.
#[derive(Clone)]
pub struct ControlService {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Default for ControlService {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlService {
    /// Starts the service.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let this = ControlService { address, inner: Arc::default() };
        let own = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        this
    }

    /// Returns the URL for the setting `control.url`.
    pub fn url(&self) -> String {
        format!("http://{}/v1/config", self.address)
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a handle");
        let mut from = BufReader::new(stream);
        while let Some(page) = HttpMessage::read(&mut from) {
            if page.start_line.starts_with("GET /v1/config?") {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if out.write_all(head).is_ok() {
                    let mut inner = self.inner.lock().expect("the service");
                    inner.asked.push(page.start_line);
                    inner.stream = Some(out);
                }
                return;
            }
            assert!(page.start_line.starts_with("POST /v1/config/answers "), "{}", page.start_line);
            let script = self.inner.lock().expect("the service").scripts.pop_front();
            if script.is_none_or(|script| script.accepts()) {
                self.record_answer(&page);
            }
            let answered = match script {
                Some(script) => script.answer(&out),
                None => out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok(),
            };
            if !answered {
                return;
            }
        }
    }

    /// Records an answer.
    fn record_answer(&self, page: &HttpMessage) {
        let answer: Value = serde_json::from_slice(&page.body).expect("an answer");
        self.inner.lock().expect("the service").answers.push(VersionAnswer {
            version: answer["version"].as_u64(),
            accepted: answer["accepted"].as_bool().expect("a verdict"),
            reasons: answer["reasons"].to_string(),
            at: Instant::now(),
        });
    }

    /// Sets how the next POSTs of answers are handled, one script each.
    pub fn script_answers(&self, scripts: impl IntoIterator<Item = PostScript>) {
        self.inner.lock().expect("the service").scripts.extend(scripts);
    }

    /// Whether a courier has the stream open.
    pub fn is_open(&self) -> bool {
        self.inner.lock().expect("the service").stream.is_some()
    }

    /// Sends text unchanged. Returns false if no stream is open.
    pub fn send(&self, text: &str) -> bool {
        let mut inner = self.inner.lock().expect("the service");
        let Some(stream) = &mut inner.stream else { return false };
        let sent = write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok();
        if !sent {
            inner.stream = None;
        }
        sent
    }

    /// Sends a version with a complete configuration. Returns false if no stream is open.
    pub fn send_version(&self, version: u64, config: &Value) -> bool {
        self.send(&(json!({"version": version, "config": config}).to_string() + "\n"))
    }

    /// Sends a version as a patch of the version `base`. Returns false if no stream is open.
    pub fn patch(&self, version: u64, base: u64, patch: &Value) -> bool {
        self.send(&(json!({"version": version, "base": base, "patch": patch}).to_string() + "\n"))
    }

    /// Closes the stream.
    pub fn cut(&self) {
        if let Some(stream) = self.inner.lock().expect("the service").stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns all recorded answers.
    pub fn answers(&self) -> Vec<VersionAnswer> {
        self.inner.lock().expect("the service").answers.clone()
    }

    /// Waits for the first answer to a version.
    pub fn answer(&self, version: u64) -> VersionAnswer {
        let mut found = None;
        crate::wait_until(&format!("an answer to version {version}"), || {
            found = self.answers().into_iter().find(|a| a.version == Some(version));
            found.is_some()
        });
        found.expect("waited for")
    }

    /// Returns the request lines of all streams.
    pub fn asked(&self) -> Vec<String> {
        self.inner.lock().expect("the service").asked.clone()
    }
}
