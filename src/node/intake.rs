//! The clients' side: takes messages in over HTTP, and tells whether the courier is ready.

use super::courier::News;
use super::journal::Letter;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

pub const BODY_MOST: usize = 64 * 1024;
/// A longer body is read no further and costs its connection.
const BODY_DRAINED: usize = 1024 * 1024;
const BODY_TIME: Duration = Duration::from_secs(5);
/// A connection that has sent no whole head for so long is closed: slow clients must not hold memory.
const HEAD_TIME: Duration = Duration::from_secs(30);
const HEAD_MOST: usize = 16 * 1024;
const ID_MOST: usize = 256;
/// No class has a time-out near this.
const TIMEOUT_MOST: Duration = Duration::from_secs(24 * 3600);
/// Well under the time for which a client waits.
const PATIENCE: Duration = Duration::from_millis(300);
/// When to come again, where the module has not said it.
const COME_AGAIN: Duration = Duration::from_millis(500);

/// A message that is offered, and where its answer goes.
pub struct Offer {
    pub letter: Rc<Letter>,
    pub class: usize,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: oneshot::Sender<Reply>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Taken,
    Refused {
        wait: Option<Duration>,
    },
    /// The courier cannot take anything just now.
    Unavailable,
    NoDestination,
    Failed,
}

/// Standing of the program, as clients may know it.
#[derive(Default)]
pub struct Standing {
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Told to all connections when the courier stops.
    pub open: RefCell<BTreeMap<u64, Rc<Line>>>,
    next: Cell<u64>,
}

/// One client's connection.
#[derive(Default)]
pub struct Line {
    /// Since when it stands idle.
    idle: Cell<Option<Instant>>,
    close: Notify,
}

impl Standing {
    /// Readiness off; idle connections close, the others after their answer.
    pub fn stop(&self) {
        self.ready.set(false);
        self.stopping.set(true);
        self.open.borrow().values().for_each(|line| line.close.notify_one());
    }
}

impl Standing {
    /// Closes the connection that has stood idle for longest.
    fn shed(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter_map(|line| Some((line.idle.get()?, line)));
        if let Some((_, line)) = idle.min_by_key(|(since, _)| *since) {
            line.idle.set(None);
            line.close.notify_one();
        }
    }
}

pub struct Intake {
    pub classes: Vec<String>,
    pub standing: Rc<Standing>,
    pub news: Sender<News>,
    /// Clients' connections at most.
    pub sockets: usize,
}

impl Intake {
    /// Accepts clients until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        let this = Rc::new(self);
        loop {
            // Out of sockets is backpressure: the longest idle makes room, else the newcomer waits outside.
            if this.standing.open.borrow().len() >= this.sockets {
                this.standing.shed();
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(this.clone().serve(stream));
                }
                Err(e) => {
                    eprintln!("intake: cannot accept: {e}");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let line = Rc::new(Line { idle: Cell::new(Some(Instant::now())), ..Line::default() });
        let id = self.standing.next.get();
        self.standing.next.set(id + 1);
        self.standing.open.borrow_mut().insert(id, line.clone());
        let (this, of) = (self.clone(), line.clone());
        let service = service_fn(move |request| {
            let (this, line) = (this.clone(), of.clone());
            async move {
                line.idle.set(None);
                let answer = this.handle(request).await;
                line.idle.set(Some(Instant::now()));
                Ok::<_, Infallible>(answer)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_MOST)
            .keep_alive(!self.standing.stopping.get())
            .serve_connection(TokioIo::new(stream), service);
        let mut conn = pin!(conn);
        loop {
            tokio::select! {
                _ = conn.as_mut() => break,
                () = line.close.notified() => conn.as_mut().graceful_shutdown(),
            }
        }
        self.standing.open.borrow_mut().remove(&id);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/ready") => match self.standing.ready.get() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            },
            (&Method::POST, _) => self.take(request).await,
            _ => plain(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if self.standing.stopping.get() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn take(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        // Read even if the head is at fault, so that the connection can go on.
        let body = match timeout(BODY_TIME, read(body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(Unread::Large)) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n"),
            Ok(Err(Unread::Broken)) => return plain(StatusCode::BAD_REQUEST, "the body broke off\n"),
            Err(_) => {
                let mut answer = plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n");
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return answer;
            }
        };
        let at = Instant::now();
        let (letter, class, time_left) = match self.letter(parts.uri.path(), &parts.headers, body) {
            Ok(read) => read,
            Err(why) => return plain(StatusCode::BAD_REQUEST, why),
        };
        let (reply, answered) = oneshot::channel();
        let offer = Offer { letter: Rc::new(letter), class, time_left, at, reply };
        let reply = match timeout(PATIENCE, self.news.send(News::Offered(offer))).await {
            Ok(Ok(())) => answered.await.unwrap_or(Reply::Unavailable),
            _ => Reply::Unavailable,
        };
        respond(reply)
    }

    /// Reads a message from its head. An error is told to the client.
    fn letter(
        &self,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<(Letter, usize, Duration), &'static str> {
        let head = |name| headers.get(name).map(|v| v.to_str().map(str::trim));
        let id = head("X-Request-ID").ok_or("no X-Request-ID\n")?.map_err(|_| "X-Request-ID is no text\n")?;
        if id.is_empty() || id.len() > ID_MOST {
            return Err("X-Request-ID is empty or too long\n");
        }
        let place = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let name = match head("X-Priority-Class") {
            Some(name) => name.map_err(|_| "X-Priority-Class is no text\n")?,
            None => place,
        };
        let class = self.classes.iter().position(|c| c == name).ok_or("no such class\n")?;
        if place != name {
            return Err("the path names another class\n");
        }
        let text = head("X-Timeout").ok_or("no X-Timeout\n")?.map_err(|_| "X-Timeout is no text\n")?;
        let time_left = span(text).ok_or("X-Timeout cannot be read\n")?;
        let text = head("Envelope").ok_or("no Envelope\n")?.map_err(|_| "Envelope is no text\n")?;
        let destination = envelope(text).ok_or("Envelope names no destination\n")?;
        let key = match head("Idempotency-Key") {
            Some(Ok(key)) if !key.is_empty() && key.len() <= ID_MOST => Some(key.to_owned()),
            Some(_) => return Err("Idempotency-Key cannot be read\n"),
            None => None,
        };
        let until = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + time_left;
        let (id, class_name) = (id.to_owned(), name.to_owned());
        Ok((Letter { id, class: class_name, destination, key, until, body }, class, time_left))
    }
}

enum Unread {
    Large,
    Broken,
}

async fn read(mut body: Incoming) -> Result<Bytes, Unread> {
    if body.size_hint().lower() > BODY_DRAINED as u64 {
        return Err(Unread::Large);
    }
    let (mut kept, mut seen) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() else { continue };
        seen += data.len();
        if seen > BODY_DRAINED {
            break;
        }
        if seen <= BODY_MOST {
            kept.extend_from_slice(&data);
        } else {
            kept = Vec::new();
        }
    }
    if seen > BODY_MOST { Err(Unread::Large) } else { Ok(kept.into()) }
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = number.parse().ok()?;
    let span = match unit {
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        _ => return None,
    };
    (!span.is_zero() && span <= TIMEOUT_MOST).then_some(span)
}

/// `dest=7`, perhaps among other fields.
fn envelope(text: &str) -> Option<u64> {
    let fields = text.split([',', ';', '&', ' ']).filter_map(|f| f.trim().split_once('='));
    let mut dests = fields.filter(|(name, _)| *name == "dest").map(|(_, value)| value);
    dests.next()?.parse().ok()
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    let again = |status, text, wait: Option<Duration>| {
        let mut answer = plain(status, text);
        let wait = format!("{:.3}", wait.unwrap_or(COME_AGAIN).as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&wait) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    };
    match reply {
        Reply::Taken => plain(StatusCode::ACCEPTED, ""),
        Reply::Refused { wait } => again(StatusCode::TOO_MANY_REQUESTS, "refused\n", wait),
        Reply::Unavailable => again(StatusCode::SERVICE_UNAVAILABLE, "not now\n", None),
        Reply::NoDestination => plain(StatusCode::NOT_FOUND, "no such destination\n"),
        Reply::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_outs_have_a_number_and_a_unit() {
        assert_eq!(span("480m"), Some(Duration::from_millis(480)));
        assert_eq!(span("1500u"), Some(Duration::from_micros(1500)));
        for bad in
            ["", "m", "480", "0m", "-1m", "+1m", "1.5m", "4s", "é", "99999999999999999999m", "86400001m"]
        {
            assert_eq!(span(bad), None, "{bad}");
        }
    }

    #[test]
    fn envelopes_name_a_destination() {
        assert_eq!(envelope("dest=7"), Some(7));
        assert_eq!(envelope("a=1, dest=12"), Some(12));
        for bad in ["", "dest", "dest=", "dest=x", "dest=-1", "test=7", "dest=99999999999999999999999"] {
            assert_eq!(envelope(bad), None, "{bad}");
        }
    }
}
