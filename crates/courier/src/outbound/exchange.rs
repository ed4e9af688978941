//! What the log says of one exchange: a request on a connection to an endpoint, and the answer that was read for it.

use crate::outbound::connection_status::CloseReason;
use crate::outbound::http_connection::ResponseProgress;
use std::fmt;
use std::time::Duration;

/// One exchange, as far as it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The connection's number in this process, from 1.
    pub connection: u64,
    /// Which exchange of its connection it is, from 1.
    pub sequence: usize,
    /// How long the connection had stood idle; zero for a new one.
    pub idle: Duration,
    /// From the begin of the request to the end of the answer or of the attempt.
    pub took: Duration,
    /// The first line of the answer and the system's error, also where the answer was not believed.
    pub heard: ResponseProgress,
    /// A hash of status, header fields and body of the answer: equal answers have equal ones.
    pub digest: Option<u64>,
    /// Why the connection was closed after it; None if it is kept.
    pub closed: Option<CloseReason>,
}

impl fmt::Display for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Exchange { connection, sequence, idle, took, heard, digest, closed } = self;
        write!(f, "connection={connection} exchange={sequence} idle={idle:?} took={took:?}")?;
        if let Some(status) = heard.status {
            write!(f, " status={status}")?;
        }
        if let Some(failure) = heard.failure {
            write!(f, " error={:?}", failure.to_string())?;
        }
        match digest {
            Some(digest) => write!(f, " answer={digest:016x}")?,
            None => write!(f, " answer=none")?,
        }
        match closed {
            Some(reason) => write!(f, " closed={:?}", reason.name()),
            None => write!(f, " kept"),
        }
    }
}

/// The exchange of an attempt, which may have had none, as the log has it.
pub struct ExchangeLog(pub Option<Exchange>);

impl fmt::Display for ExchangeLog {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.0 {
            Some(exchange) => exchange.fmt(f),
            None => f.write_str("connection=none"),
        }
    }
}
