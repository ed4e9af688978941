//! Admin pages for operators: readiness, memory, connections of clients and to endpoints, discovery, failed system calls, and the
//! configuration in effect with the last refused one. Served on a separate loopback address, only if configured.

use crate::discovery::control::ConfigView;
use crate::discovery::watch_status::WatchStatus;
use crate::ingress::listener::Acceptor;
use crate::ingress::server_state::ServerState;
use crate::memory_budget::MemoryBudget;
use crate::socket::Socket;
use crate::system_errors;
use crate::upstream::connection_status::ConnectionStatus;
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
use tokio::time::timeout;

/// Longest life of a connection; operators send few requests.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of connections at once.
const MAX_CONNECTIONS: usize = 16;
const PAGES: [&str; 8] = [
    "/-/clients",
    "/-/config",
    "/-/config/values",
    "/-/connections",
    "/-/discovery",
    "/-/machine",
    "/-/memory",
    "/-/ready",
];

/// Sources of the pages' contents.
#[derive(Clone)]
pub struct AdminPages {
    pub view: ConfigView,
    pub server_state: Rc<ServerState>,
    pub memory_budget: MemoryBudget,
    pub watch: Rc<WatchStatus>,
    pub connections: Rc<ConnectionStatus>,
}

/// Serves the pages until the process ends.
pub async fn run(listener: TcpListener, pages: AdminPages) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut acceptor = Acceptor::new(listener);
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        // Each connection ends within `CONNECTION_TIMEOUT`, so none is closed before.
        let (stream, _) = acceptor.accept(|| {}).await;
        let pages = pages.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let pages = pages.clone();
                async move { Ok::<_, Infallible>(answer(&request, &pages).await) }
            });
            let conn = http1::Builder::new().serve_connection(TokioIo::new(Socket::new(stream)), service);
            let _ = timeout(CONNECTION_TIMEOUT, conn).await;
            drop(permit);
        });
    }
}

async fn answer(request: &Request<Incoming>, pages: &AdminPages) -> Response<Full<Bytes>> {
    let page = match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/clients") => {
            let state = &pages.server_state;
            Some(state.counters.page(&state.open_connections()))
        }
        (&Method::GET, "/-/config") => Some(pages.view.status.to_json()),
        (&Method::GET, "/-/config/values") => Some(effective_values(&pages.view).await),
        (&Method::GET, "/-/connections") => Some(pages.connections.page()),
        (&Method::GET, "/-/discovery") => Some(pages.watch.to_json()),
        (&Method::GET, "/-/machine") => Some(system_errors::page()),
        (&Method::GET, "/-/memory") => Some(pages.memory_budget.page()),
        (&Method::GET, "/-/ready") => Some(json!({"ready": pages.server_state.ready.get()})),
        _ => None,
    };
    let found = page.is_some();
    let page = page.unwrap_or_else(|| json!({"pages": PAGES}));
    let text = match page {
        Value::String(text) => text,
        page => serde_json::to_string_pretty(&page).unwrap_or_default(),
    };
    let text = text + "\n";
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = if found { StatusCode::OK } else { StatusCode::NOT_FOUND };
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The effective configuration, each value with its source. Rendered off the serving thread, since a large
/// one takes tenths of a second.
async fn effective_values(view: &ConfigView) -> Value {
    let (version, installation) = view.active_config.get();
    let (document, control_version) = view.document.borrow().clone();
    let text = tokio::task::spawn_blocking(move || {
        let overlay = control_version.as_ref().map(|v| (v.version, &*v.config));
        let values =
            report::values(&installation.file, &document, overlay).into_iter().map(|(entry, source)| {
                json!({"key": entry.path.to_string(), "value": entry.value, "source": source.to_string()})
            });
        let page = json!({"version": version, "values": values.collect::<Vec<_>>()});
        serde_json::to_string_pretty(&page).unwrap_or_default()
    });
    // The closure does not panic, so the default is never used.
    Value::String(text.await.unwrap_or_default())
}
