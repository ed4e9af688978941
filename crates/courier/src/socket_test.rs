use super::*;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

#[tokio::test]
async fn age_of_the_latest_data_counts_from_its_arrival() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let (mut peer, _) = listener.accept().expect("a peer");
    peer.write_all(b"line").expect("written");
    let unread_for = Duration::from_millis(300);
    thread::sleep(unread_for);
    let age = last_data_age(&stream).expect("an age");
    // The kernel counts in ticks of up to 10 ms.
    assert!(age >= unread_for - Duration::from_millis(20), "{age:?}");
    peer.write_all(b"line").expect("written");
    stream.readable().await.expect("readable");
    let age = last_data_age(&stream).expect("an age");
    assert!(age < unread_for, "{age:?}");
}
