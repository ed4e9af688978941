//! Thousands of idle persistent connections: the memory of each, requests on half of them at the same moment, and the
//! release of their memory. `STAIRSHED_IDLE=10000 cargo test --release -p stairshed-courier --test idle -- --nocapture`
//! runs with 10,000 connections; each side needs as many descriptors.

use serde_json::Value;
use stairshed_rig::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;

fn file(endpoint: &Endpoint, connections: usize, memory: &str) -> String {
    format!(
        "name = \"c1\"\n[listen]\nhttp = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [limits]\nconnections = {connections}\n[memory]\nclient_share = 1.0\n{memory}\n\
         [classes.status]\neffect = \"repeatable\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.status]\nprefix = \"/status\"\npool = \"p\"\nclass = \"status\"\n",
        endpoint.address
    )
}

fn client_memory(page: &Value) -> u64 {
    purpose(page, "clients")["in_use"].as_u64().expect("a figure")
}

fn send_request(stream: &mut TcpStream, request: &str) -> Option<HttpMessage> {
    stream.write_all(request.as_bytes()).ok()?;
    HttpMessage::read(&mut BufReader::new(&*stream))
}

/// Opens `count` connections, each of which has had one answer.
fn open_idle(courier: &Courier, count: usize) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(courier.address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        let ready = send_request(&mut stream, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer");
        assert_eq!(ready.status(), 200);
        stream
    };
    (0..count).map(open).collect()
}

#[test]
fn idle_connections_use_the_accounted_memory_serve_requests_and_release_it() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let count = env_or("STAIRSHED_IDLE", 300) as usize;
    let courier = Courier::serve(&folder, &file(&endpoint, count * 2 + 100, ""));
    let page = courier.page("/-/memory");
    let (before, none) = (page["resident"].as_u64().expect("resident"), client_memory(&page));
    let mut all = open_idle(&courier, count);
    let page = courier.page("/-/memory");
    let resident = page["resident"].as_u64().expect("resident");
    let (resident_bytes, accounted_bytes) =
        ((resident - before) / count as u64, (client_memory(&page) - none) / count as u64);
    println!("{count} idle connections: {resident_bytes} bytes each, {accounted_bytes} accounted");
    assert!(
        resident_bytes <= accounted_bytes * 5 / 4,
        "{resident_bytes} bytes a connection, {accounted_bytes} accounted"
    );
    // Half of them become active at the same moment: all requests are sent before the first answer is read.
    let half: Vec<&mut TcpStream> = all.iter_mut().step_by(2).collect();
    for (n, stream) in half.into_iter().enumerate() {
        let text = request("/status", &format!("m{n}"), "", "x");
        stream.write_all(text.as_bytes()).expect("sent");
    }
    // Each is accepted or rejected with Retry-After, because thousands at once may exceed what the courier can hold.
    let accepted_or_told_to_retry =
        |page: &HttpMessage| page.status() == 202 || page.header("Retry-After").is_some();
    assert!(
        accepted_or_told_to_retry(&courier.post("/status", "other", "", "x")),
        "another client meanwhile"
    );
    let mut accepted = 0;
    for stream in all.iter().step_by(2) {
        let page =
            HttpMessage::read(&mut BufReader::new(stream)).expect("an answer on each active connection");
        accepted += usize::from(page.status() == 202);
        assert!(accepted_or_told_to_retry(&page), "{page:?}");
    }
    println!("{accepted} of {} active connections were accepted", all.len().div_ceil(2));
    assert!(accepted > 0);
    drop(all);
    wait_until("all memory is released", || client_memory(&courier.page("/-/memory")) <= none + 30_000);
    wait_until("all accepted messages are delivered", || endpoint.calls().len() >= accepted);
}

#[test]
fn idle_connections_beyond_the_limit_are_evicted_and_new_ones_are_served() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let count = env_or("STAIRSHED_IDLE", 300) as usize;
    let cap = format!("clients = \"{}KB\"", count / 2 * 21 + 100);
    let courier = Courier::serve(&folder, &file(&endpoint, count * 2 + 100, &cap));
    let mut all = open_idle(&courier, count);
    // Evicted connections get a 503 with the reason on their next request, or find the connection closed; no request
    // may hang.
    let (mut served, mut rejected, mut closed) = (0, 0, 0);
    for (n, stream) in all.iter_mut().enumerate() {
        let text = request("/status", &format!("m{n}"), "", "x");
        match send_request(stream, &text).map(|page| (page.status(), page.header("X-Reason").is_some())) {
            Some((202, _)) => served += 1,
            Some((503, true)) => rejected += 1,
            None => closed += 1,
            other => panic!("{other:?}"),
        }
    }
    let page = courier.page("/-/memory");
    println!("{served} served, {rejected} rejected, {closed} closed: {}", page["turned_away"]);
    assert!(
        served >= count / 3 && rejected + closed > 0,
        "{served} served, {rejected} rejected, {closed} closed"
    );
    assert!(page["turned_away"]["connections"].is_object(), "{page}");
}
