//! Answers a client whose connection is closed while only a part of its request has been read, or none of it though it
//! has arrived: without an answer the client cannot tell whether its message was accepted.

use crate::events::DEFAULT_RETRY_AFTER;
use crate::ingress::connection_counters::CloseCause;
use crate::socket;
use std::cell::Cell;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client may take to read its answer and stop sending. Closing over unread input makes TCP send a
/// reset, which may overtake the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Connections that linger at once. Beyond this number they are closed as soon as the answer is written, since
/// each holds a descriptor.
const MAX_LINGERING: usize = 8;
/// Size of one read of input that is discarded, bytes.
const DISCARD_BYTES: usize = 1024;

/// Closes connections with an answer.
#[derive(Default)]
pub struct UnfinishedRequests {
    lingering: Cell<usize>,
}

impl UnfinishedRequests {
    /// Whether no connection is being answered.
    pub fn is_empty(&self) -> bool {
        self.lingering.get() == 0
    }

    /// Answers that the request was not accepted, and closes the connection.
    pub async fn answer(&self, mut stream: TcpStream, cause: CloseCause) {
        self.lingering.set(self.lingering.get() + 1);
        let exchange = async {
            socket::write_all(&stream, answer(cause).as_bytes()).await?;
            stream.shutdown().await?;
            if self.lingering.get() <= MAX_LINGERING {
                discard_input(&stream).await?;
            } else {
                discard_arrived_input(&stream);
            }
            std::io::Result::Ok(())
        };
        // A client that has left needs no answer.
        let _ = timeout(LINGER_TIMEOUT, exchange).await;
        self.lingering.set(self.lingering.get() - 1);
    }
}

async fn discard_input(stream: &TcpStream) -> std::io::Result<()> {
    let mut discarded = [0; DISCARD_BYTES];
    while socket::read(stream, &mut discarded).await? > 0 {}
    Ok(())
}

/// Discards what has arrived, without waiting for more.
fn discard_arrived_input(stream: &TcpStream) {
    let mut discarded = [0; DISCARD_BYTES];
    while stream.try_read(&mut discarded).is_ok_and(|number| number > 0) {}
}

/// The answer to a request that was not read whole. Submitting it again is harmless.
fn answer(cause: CloseCause) -> String {
    let (status, body) = match cause {
        CloseCause::HeadTimeout => ("408 Request Timeout", "the request did not come in time\n"),
        _ => ("503 Service Unavailable", "not now\n"),
    };
    let (length, wait) = (body.len(), DEFAULT_RETRY_AFTER.as_secs_f64());
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: text/plain\r\nretry-after: {wait:.3}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}
