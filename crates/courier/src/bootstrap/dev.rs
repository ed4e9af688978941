//! `stairshed dev`: a courier on loopback with a sample installation and a stand-in endpoint, to try it out.

use super::serve;
use crate::ingress::listener::Acceptor;
use crate::startup_error::StartupError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::TcpListener;

/// Text of the sample installation's file.
fn sample_file(listen: SocketAddr, endpoint: SocketAddr) -> String {
    format!(
        "# A sample installation, made by `stairshed dev`.\n\
         name = \"dev\"\n\n\
         [listen]\nhttp = \"{listen}\"\nadmin = \"127.0.0.1:0\"\n\n\
         [classes.notice]\neffect = \"repeatable\"\ndeadline = \"30s\"\n\n\
         [classes.payment]\neffect = \"once\"\ndeadline = \"30s\"\n\n\
         [pools.partner]\nendpoints = [{{ address = \"{endpoint}\" }}]\n\n\
         [routes.notice]\npath = \"/notice\"\npool = \"partner\"\nclass = \"notice\"\n\n\
         [routes.payment]\nprefix = \"/payment\"\npool = \"partner\"\nclass = \"payment\"\n"
    )
}

/// Writes a line to standard output. It is left out if that cannot be written, since the courier must go on.
macro_rules! print_line {
    ($($arguments:tt)*) => {{ let _ = writeln!(io::stdout(), $($arguments)*); }};
}

/// Serves the stand-in endpoint, which prints each request and answers 200.
async fn serve_endpoint(listener: TcpListener) {
    let mut acceptor = Acceptor::new(listener);
    loop {
        let (stream, _) = acceptor.accept(|| {}).await;
        let service = service_fn(|request: Request<Incoming>| async move {
            let (parts, body) = request.into_parts();
            // An unreadable body counts as empty, since the endpoint only stands in for a partner.
            let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            let id = parts.headers.get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("-");
            let text = String::from_utf8_lossy(&body).into_owned();
            print_line!("the stand-in endpoint got {} {} ({id}): {text}", parts.method, parts.uri);
            Ok::<_, Infallible>(Response::new(Full::<Bytes>::from("done\n")))
        });
        tokio::task::spawn_local(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Temporary folder of one run, removed on drop.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs the sample installation until it is told to stop.
///
/// # Errors
/// The address is in use, or the folder cannot be created.
pub async fn dev(listen: SocketAddr) -> Result<(), StartupError> {
    let stand_in = TcpListener::bind("127.0.0.1:0").await?;
    let at = stand_in.local_addr()?;
    let folder = TempFolder(std::env::temp_dir().join(format!("stairshed-dev-{}", std::process::id())));
    fs::create_dir_all(&folder.0)?;
    let file = folder.0.join("stairshed.toml");
    fs::write(&file, sample_file(listen, at))?;
    tokio::task::spawn_local(serve_endpoint(stand_in));
    print_line!("sample installation: {}", file.display());
    print_line!("hand in a message:\n\n    curl -i -d 'hello' http://{listen}/notice\n");
    print_line!("a message that must not take effect twice needs an id:\n");
    print_line!("    curl -i -d '42 EUR' -H 'X-Request-ID: p-1' http://{listen}/payment/7\n");
    print_line!("press Ctrl-C to stop");
    serve::serve(file).await
}
