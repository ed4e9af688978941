//! One request to a running courier's operator's pages, for the command line.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIME: Duration = Duration::from_secs(5);
/// No page is longer.
const PAGE_MOST: u64 = 64 << 20;

/// The body of a page.
///
/// # Errors
/// Nobody answers there, or not with that page.
pub fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIME)?;
    stream.set_read_timeout(Some(TIME))?;
    stream.set_write_timeout(Some(TIME))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.take(PAGE_MOST).read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        _ => Err(io::Error::other(head.lines().next().unwrap_or("no answer").to_owned())),
    }
}
