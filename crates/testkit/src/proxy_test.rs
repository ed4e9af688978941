use super::*;
use std::io::ErrorKind;

/// A proxy to a server that sends back what it gets, and a connection through it that works.
fn echo() -> (Proxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || io::copy(&mut &stream, &mut &stream));
        }
    });
    let proxy = Proxy::start(address, 1).expect("a proxy");
    let client = TcpStream::connect(proxy.address).expect("a connection");
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
    exchange(&client);
    (proxy, client)
}

fn exchange(mut client: &TcpStream) {
    client.write_all(b"four").expect("sent");
    let mut back = [0; 4];
    client.read_exact(&mut back).expect("sent back");
    assert_eq!(&back, b"four");
}

fn fault(action: LinkAction, after_bytes: usize) -> ProxyFault {
    ProxyFault { action, delay: Duration::from_millis(80), after_bytes }
}

#[test]
fn pieces_are_delayed_and_held_back() {
    let (proxy, client) = echo();
    proxy.begin(fault(LinkAction::Delay, 0));
    let begun = std::time::Instant::now();
    exchange(&client);
    assert!(begun.elapsed() >= Duration::from_millis(160), "{:?}", begun.elapsed());
    proxy.begin(fault(LinkAction::Hold, 0));
    (&client).write_all(b"held").expect("sent");
    client.set_read_timeout(Some(Duration::from_millis(150))).expect("set");
    let error = (&client).read(&mut [0; 4]).expect_err("nothing passes");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    proxy.end();
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
    let mut back = [0; 4];
    (&client).read_exact(&mut back).expect("it passes now");
    assert_eq!(&back, b"held");
    assert!(proxy.affected() >= 3);
}

#[test]
fn connections_are_cut_and_reset_and_new_ones_too() {
    for (action, expected) in [(LinkAction::Cut, None), (LinkAction::Reset, Some(ErrorKind::ConnectionReset))]
    {
        let (proxy, client) = echo();
        proxy.begin(fault(action, 0));
        let read = (&client).read(&mut [0; 4]);
        assert_eq!(read.as_ref().err().map(io::Error::kind), expected, "{action:?}: {read:?}");
        let other = TcpStream::connect(proxy.address).expect("a connection");
        assert!(!matches!((&other).read(&mut [0; 4]), Ok(1..)), "{action:?}");
        proxy.end();
        exchange(&TcpStream::connect(proxy.address).expect("a connection"));
    }
}

#[test]
fn a_connection_may_be_cut_in_the_middle_of_a_piece() {
    let (proxy, client) = echo();
    proxy.begin(fault(LinkAction::Cut, 1000));
    (&client).write_all(&[7; 4000]).expect("sent");
    let mut back = Vec::new();
    // The close may come as a reset, since bytes were not read.
    let _ = (&client).read_to_end(&mut back);
    assert!(back.len() <= 1000, "{}", back.len());
}

#[test]
fn a_half_closed_connection_still_passes_what_the_client_sends() {
    let (proxy, client) = echo();
    proxy.begin(fault(LinkAction::HalfClose, 0));
    assert_eq!((&client).read(&mut [0; 4]).expect("its end"), 0);
    (&client).write_all(b"more").expect("sent");
}
