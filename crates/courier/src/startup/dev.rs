//! `stairshed dev`: a courier on loopback with a sample installation and a stand-in endpoint, to try it out.

use super::serve;
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
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::TcpListener;

/// The sample installation, with the stand-in's address in it.
fn sample(listen: SocketAddr, endpoint: SocketAddr) -> String {
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

async fn endpoint(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let service = service_fn(|request: Request<Incoming>| async move {
            let (parts, body) = request.into_parts();
            // It stands for a partner: what cannot be read is as good as empty.
            let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            let id = parts.headers.get("x-request-id").and_then(|v| v.to_str().ok()).unwrap_or("-");
            let text = String::from_utf8_lossy(&body).into_owned();
            println!("the stand-in endpoint got {} {} ({id}): {text}", parts.method, parts.uri);
            Ok::<_, Infallible>(Response::new(Full::<Bytes>::from("done\n")))
        });
        tokio::task::spawn_local(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A folder for one run, removed with it.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Serves the sample until it is told to stop.
///
/// # Errors
/// The address is taken, or the folder cannot be made.
pub async fn dev(listen: SocketAddr) -> Result<(), StartupError> {
    let stand_in = TcpListener::bind("127.0.0.1:0").await?;
    let at = stand_in.local_addr()?;
    let folder = Folder(std::env::temp_dir().join(format!("stairshed-dev-{}", std::process::id())));
    fs::create_dir_all(&folder.0)?;
    let file = folder.0.join("stairshed.toml");
    fs::write(&file, sample(listen, at))?;
    tokio::task::spawn_local(endpoint(stand_in));
    println!("a sample installation: {}", file.display());
    println!("hand in a message:\n\n    curl -i -d 'hello' http://{listen}/notice\n");
    println!("one that must not take effect twice needs an id:\n");
    println!("    curl -i -d '42 EUR' -H 'X-Request-ID: p-1' http://{listen}/payment/7\n");
    println!("Ctrl-C ends it.");
    serve::serve(file).await
}
