//! The operator's pages: what configuration is in effect, since when, and what was refused. On an address of
//! their own, off unless configured, loopback only.

use crate::discovery::control::ConfigView;
use crate::discovery::watch_status::WatchStatus;
use crate::ingress::http::ServerState;
use crate::memory_budget::MemoryBudget;
use crate::outbound::connection_status::ConnectionStatus;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use stairshed_config::report;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// An operator asks seldom: nobody holds a connection for longer, and few are open at once.
const CONNECTION_TIME: Duration = Duration::from_secs(10);
const CONNECTIONS: usize = 16;
const PAGES: [&str; 6] =
    ["/-/config", "/-/config/values", "/-/connections", "/-/discovery", "/-/memory", "/-/ready"];

/// What the pages show.
#[derive(Clone)]
pub struct AdminPages {
    pub view: ConfigView,
    pub server_state: Rc<ServerState>,
    pub room: MemoryBudget,
    pub watch: Rc<WatchStatus>,
    pub connections: Rc<ConnectionStatus>,
}

/// Answers until the process ends.
pub async fn run(listener: TcpListener, pages: AdminPages) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(permit) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let pages = pages.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let pages = pages.clone();
                async move { Ok::<_, Infallible>(answer(&request, &pages).await) }
            });
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = timeout(CONNECTION_TIME, conn).await;
            drop(permit);
        });
    }
}

async fn answer(request: &Request<Incoming>, pages: &AdminPages) -> Response<Full<Bytes>> {
    let page = match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/config") => Some(pages.view.status.to_json()),
        (&Method::GET, "/-/config/values") => Some(values(&pages.view).await),
        (&Method::GET, "/-/connections") => Some(pages.connections.page()),
        (&Method::GET, "/-/discovery") => Some(pages.watch.to_json()),
        (&Method::GET, "/-/memory") => Some(pages.room.page()),
        (&Method::GET, "/-/ready") => Some(json!({"ready": pages.server_state.ready.get()})),
        _ => None,
    };
    let found = page.is_some();
    let page = page.unwrap_or_else(|| json!({"pages": PAGES}));
    let text = match page {
        Value::String(made) => made,
        page => serde_json::to_string_pretty(&page).unwrap_or_default(),
    };
    let text = text + "\n";
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = if found { StatusCode::OK } else { StatusCode::NOT_FOUND };
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The effective configuration, each value with its source. Made off the serving thread: a large one takes
/// tenths of a second.
async fn values(view: &ConfigView) -> Value {
    let (version, installation) = view.active_config.get();
    let (document, held) = view.document.borrow().clone();
    let made = tokio::task::spawn_blocking(move || {
        let over = held.as_ref().map(|v| (v.version, &*v.config));
        let values = report::values(&installation.file, &document, over).into_iter().map(|(leaf, source)| {
            json!({"key": leaf.path.to_string(), "value": leaf.value, "source": source.to_string()})
        });
        let page = json!({"version": version, "values": values.collect::<Vec<_>>()});
        serde_json::to_string_pretty(&page).unwrap_or_default()
    });
    // Nothing in it panics.
    Value::String(made.await.unwrap_or_default())
}
