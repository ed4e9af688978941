//! HTTP client for the admin pages of a running courier, used by the command line tools.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Limit for connecting and for each read and write.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of a response, far above the size of any page.
const MAX_PAGE_BYTES: u64 = 64 << 20;

/// Fetches a page and returns its body.
///
/// # Errors
/// The courier cannot be reached, or its status is not 200.
pub fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.take(MAX_PAGE_BYTES).read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        _ => Err(io::Error::other(head.lines().next().unwrap_or("no answer").to_owned())),
    }
}
