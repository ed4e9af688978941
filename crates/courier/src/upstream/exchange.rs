//! The log record of one exchange: a request on a connection to an endpoint, and the response read for it.

use crate::upstream::connection_status::CloseReason;
use crate::upstream::http_connection::ResponseProgress;
use std::fmt;
use std::time::Duration;

/// One exchange, whether or not it was completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The number of the connection in this process, counted from 1.
    pub connection_number: u64,
    /// The number of the exchange on its connection, counted from 1.
    pub sequence: usize,
    /// How long the connection was idle before; zero for a new one.
    pub idle: Duration,
    /// Time from the start of the request to the end of the response or of the attempt.
    pub duration: Duration,
    /// Status and socket error, also of a response that was rejected.
    pub progress: ResponseProgress,
    /// A hash of the response, see
    /// [`ResponseIdentity::hash`](super::response_identity::ResponseIdentity::hash); equal responses have
    /// equal hashes.
    pub digest: Option<u64>,
    /// Why the connection was closed after the exchange; None if it is kept.
    pub close_reason: Option<CloseReason>,
}

impl fmt::Display for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Exchange { connection_number, sequence, idle, duration, progress, digest, close_reason } = self;
        write!(f, "connection={connection_number} exchange={sequence} idle={idle:?} took={duration:?}")?;
        if let Some(status) = progress.status {
            write!(f, " status={status}")?;
        }
        if let Some(failure) = progress.failure {
            write!(f, " error={:?}", failure.to_string())?;
        }
        match digest {
            Some(digest) => write!(f, " answer={digest:016x}")?,
            None => write!(f, " answer=none")?,
        }
        match close_reason {
            Some(reason) => write!(f, " closed={:?}", reason.name()),
            None => write!(f, " kept"),
        }
    }
}

/// Formats the exchange of an attempt for the log; None if the attempt had none.
pub struct ExchangeLog(pub Option<Exchange>);

impl fmt::Display for ExchangeLog {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.0 {
            Some(exchange) => exchange.fmt(f),
            None => f.write_str("connection=none"),
        }
    }
}
