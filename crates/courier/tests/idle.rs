//! Thousands of connections that are kept and rarely used: what each takes, that half of them may wake at once, and
//! that all is given back. `STAIRSHED_IDLE=10000 cargo test --release -p stairshed-courier --test idle -- --nocapture`
//! plays it large; each side needs as many descriptors.

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

fn clients(page: &Value) -> u64 {
    purpose(page, "clients")["in_use"].as_u64().expect("a figure")
}

fn ask(stream: &mut TcpStream, request: &str) -> Option<HttpMessage> {
    stream.write_all(request.as_bytes()).ok()?;
    HttpMessage::read(&mut BufReader::new(&*stream))
}

/// So many connections that have each been answered once.
fn idle(courier: &Courier, count: usize) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(courier.address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        let ready = ask(&mut stream, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("an answer");
        assert_eq!(ready.status(), 200);
        stream
    };
    (0..count).map(open).collect()
}

#[test]
fn idle_connections_take_what_is_on_the_books_wake_and_give_all_back() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let count = env_or("STAIRSHED_IDLE", 300) as usize;
    let courier = Courier::serve(&folder, &file(&endpoint, count * 2 + 100, ""));
    let page = courier.page("/-/memory");
    let (before, none) = (page["resident"].as_u64().expect("resident"), clients(&page));
    let mut all = idle(&courier, count);
    let page = courier.page("/-/memory");
    let resident = page["resident"].as_u64().expect("resident");
    let (real, booked) = ((resident - before) / count as u64, (clients(&page) - none) / count as u64);
    println!("{count} idle connections: {real} bytes each, {booked} on the books");
    assert!(real <= booked * 5 / 4, "{real} bytes a connection, {booked} on the books");
    // Half of them wake in the same moment: all requests are sent before the first answer is read.
    let half: Vec<&mut TcpStream> = all.iter_mut().step_by(2).collect();
    for (n, stream) in half.into_iter().enumerate() {
        let text = request("/status", &format!("m{n}"), "", "x");
        stream.write_all(text.as_bytes()).expect("sent");
    }
    // Taken on, or told when to come back: thousands at once may be more than is worth holding.
    let fair = |page: &HttpMessage| page.status() == 202 || page.header("Retry-After").is_some();
    assert!(fair(&courier.post("/status", "other", "", "x")), "another client meanwhile");
    let mut taken = 0;
    for stream in all.iter().step_by(2) {
        let page = HttpMessage::read(&mut BufReader::new(stream)).expect("an answer on each that woke");
        taken += usize::from(page.status() == 202);
        assert!(fair(&page), "{page:?}");
    }
    println!("{taken} of {} that woke were taken on", all.len().div_ceil(2));
    assert!(taken > 0);
    drop(all);
    wait_until("all is off the books", || clients(&courier.page("/-/memory")) <= none + 30_000);
    wait_until("and delivered", || endpoint.calls().len() >= taken);
}

#[test]
fn idle_connections_past_the_cap_make_room_and_every_newcomer_is_served() {
    let (endpoint, folder) = (Endpoint::new(|_| EndpointAction::Respond(OK)), TestFolder::new());
    let count = env_or("STAIRSHED_IDLE", 300) as usize;
    let cap = format!("clients = \"{}KB\"", count / 2 * 21 + 100);
    let courier = Courier::serve(&folder, &file(&endpoint, count * 2 + 100, &cap));
    let mut all = idle(&courier, count);
    // Those that made room hear so if they ask again, or find the connection closed; nobody's request hangs.
    let (mut served, mut told, mut closed) = (0, 0, 0);
    for (n, stream) in all.iter_mut().enumerate() {
        let text = request("/status", &format!("m{n}"), "", "x");
        match ask(stream, &text).map(|page| (page.status(), page.header("X-Reason").is_some())) {
            Some((202, _)) => served += 1,
            Some((503, true)) => told += 1,
            None => closed += 1,
            other => panic!("{other:?}"),
        }
    }
    let page = courier.page("/-/memory");
    println!("{served} served, {told} told, {closed} closed: {}", page["turned_away"]);
    assert!(served >= count / 3 && told + closed > 0, "{served} served, {told} told, {closed} closed");
    assert!(page["turned_away"]["connections"].is_object(), "{page}");
}
