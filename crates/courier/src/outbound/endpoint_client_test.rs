use super::*;
use hyper::StatusCode;
use stairshed_decide::interface::DestinationId;

/// A listener, its address, and calls that have one socket between them.
async fn one_socket() -> (tokio::net::TcpListener, SocketAddr, EndpointClient) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let to = listener.local_addr().expect("its address");
    let room = MemoryBudget::new(&stairshed_memory::Caps::none(), 1.0);
    (listener, to, EndpointClient::new(Duration::from_secs(5), Duration::from_secs(10), 1, room))
}

/// To whose news nobody listens.
fn listening() -> ExchangeMonitor {
    ExchangeMonitor::new(EndpointId(1), tokio::sync::mpsc::channel(1).0)
}

#[tokio::test]
async fn a_call_whose_connection_comes_too_late_is_not_written() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let (_listener, to, calls) = one_socket().await;
            // The only socket is free again when the call has an eighth of its time left.
            let socket = calls.pool.permit().await.expect("the only one");
            let time = Duration::from_millis(800);
            let until = Instant::now() + time;
            let request = Request::get("/").header(HOST, "h").body(Full::default()).expect("a request");
            let (endpoint, listening) = (EndpointId(1), listening());
            let ask = calls.ask((endpoint, None), (to, true), request, until, &listening);
            let free = async {
                tokio::time::sleep_until(until - time / 8).await;
                drop(socket);
            };
            let ((answer, _), ()) = tokio::join!(ask, free);
            assert_eq!(
                answer.err(),
                Some(RequestError::NotSent),
                "written, it would count as one that may have run"
            );
            assert_eq!(calls.pool.idle_count(endpoint), 0);
        })
        .await;
}

/// What becomes of a call whose connection comes `after` this time, its endpoint draining from the start.
async fn drained_call(after: Duration) -> Option<RequestError> {
    tokio::task::LocalSet::new()
        .run_until(async {
            let (_listener, to, calls) = one_socket().await;
            let socket = calls.pool.permit().await.expect("the only one");
            let request = Request::get("/").header(HOST, "h").body(Full::default()).expect("a request");
            calls.set_available(EndpointId(1), false);
            let until = Instant::now() + after + Duration::from_millis(400);
            let listening = listening();
            let ask = calls.ask((EndpointId(1), None), (to, true), request, until, &listening);
            let free = async {
                tokio::time::sleep(after).await;
                drop(socket);
            };
            let ((answer, _), ()) = tokio::join!(ask, free);
            answer.err()
        })
        .await
}

// Guards against a request that is written to a draining endpoint at the very end of the grace: the line was read up to
// 0.15 s after it was written, and the write may be held up for as long.
#[tokio::test]
async fn a_connection_that_comes_late_in_the_grace_is_not_written_to_a_draining_endpoint() {
    let withheld = Some(RequestError::Withheld("the endpoint drains or is gone"));
    assert_eq!(drained_call(Duration::from_millis(760)).await, withheld);
    assert_eq!(
        drained_call(Duration::from_millis(300)).await,
        Some(RequestError::TimedOut),
        "early in it, it is written"
    );
}

#[tokio::test]
async fn a_wait_that_is_told_holds_for_a_call_that_still_has_no_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    tokio::task::LocalSet::new()
        .run_until(async {
            // One socket: the second call has its connection only when the first has its answer.
            let (listener, to, calls) = one_socket().await;
            let until = Instant::now() + Duration::from_secs(20);
            let listening = listening();
            let ask = |route: u32| {
                let request = Request::get("/").header(HOST, "h").body(Full::default());
                let pool = (DestinationId(7), Some(EndpointId(route)));
                let at = (EndpointId(route), Some(pool));
                calls.ask(at, (to, true), request.expect("a request"), until, &listening)
            };
            let server = tokio::task::spawn_local(async move {
                let full =
                    "HTTP/1.1 429 No\r\nWait-Ms: 9000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                for answer in [full, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"] {
                    loop {
                        let (mut stream, _) = listener.accept().await.expect("a connection");
                        // One that is closed unwritten is of no call.
                        if stream.read(&mut [0; 500]).await.is_ok_and(|n| n > 0) {
                            stream.write_all(answer.as_bytes()).await.expect("written");
                            break;
                        }
                    }
                }
            });
            let ((first, _), (second, _)) = tokio::join!(ask(1), ask(1));
            assert_eq!(first.map(|a| a.status).ok(), Some(StatusCode::TOO_MANY_REQUESTS));
            assert_eq!(
                second.err(),
                Some(RequestError::Withheld("another call was told to wait")),
                "the pool has told to wait"
            );
            let (other, _) = ask(2).await;
            assert_eq!(other.map(|a| a.status).ok(), Some(StatusCode::OK), "a route apart is not bound");
            server.await.expect("served");
        })
        .await;
}
