//! Detects responses that may be second copies of earlier ones. HTTP/1.1 matches responses to requests only
//! by their order on the connection, so a duplicate of an earlier response looks like the response to the
//! pending request. A duplicate equals its original. Therefore a response on a reused connection counts only
//! if it differs from all earlier ones there, and a connection is reused only if the endpoint's responses
//! differ.

use hyper::header::DATE;
use hyper::{HeaderMap, StatusCode};
use stairshed_decide::interface::EndpointId;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of responses remembered by status, both for each endpoint and for all of them, to see
/// whether they differ.
const MAX_HISTORY: usize = 16;
/// Maximum number of status codes remembered. Responses with other status codes have no history.
const MAX_STATUSES: usize = 8;
/// The header field in which an endpoint may return the id of the request.
const REQUEST_ID: &str = "X-Request-ID";

/// Distinguishes one response from another by status, `X-Request-ID` and body. Without a body, the header
/// fields except `Date` count, since nothing else could differ. With a body they do not: an intermediary may
/// have added other fields to a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseIdentity {
    status: StatusCode,
    hash: u64,
}

impl ResponseIdentity {
    /// The identity of a complete response.
    pub fn of(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        headers.get(REQUEST_ID).hash(&mut hasher);
        body.hash(&mut hasher);
        if body.is_empty() {
            let fields = headers.iter().filter(|(name, _)| *name != DATE);
            fields.for_each(|field| field.hash(&mut hasher));
        }
        ResponseIdentity { status, hash: hasher.finish() }
    }

    /// A hash for the log; equal responses have equal hashes.
    pub fn hash(self) -> u64 {
        self.hash
    }
}

/// Whether the next response on a connection can be expected to differ from earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// The endpoint's responses of this status differ.
    Distinct,
    /// This endpoint has no history for the status, but the responses of the other endpoints differ.
    PresumedDistinct,
    /// Responses are identical, or there is no history at all.
    Identical,
}

/// The latest responses on all connections, by endpoint and of all endpoints together.
#[derive(Default)]
pub struct ResponseHistories {
    by_endpoint: HashMap<EndpointId, ResponseHistory>,
    all: ResponseHistory,
}

impl ResponseHistories {
    /// Adds a response and returns what to expect of the endpoint's next one.
    pub fn add(&mut self, endpoint: EndpointId, response: ResponseIdentity) -> Expectation {
        let own = self.by_endpoint.entry(endpoint).or_default().add(response);
        let all = self.all.add(response);
        match own {
            Some(true) => Expectation::Distinct,
            None if all == Some(true) => Expectation::PresumedDistinct,
            _ => Expectation::Identical,
        }
    }

    /// Drops the history of an endpoint.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.by_endpoint.remove(&endpoint);
    }
}

/// The latest responses by status, so that frequent statuses do not displace rare ones.
#[derive(Default)]
struct ResponseHistory(Vec<(StatusCode, VecDeque<u64>)>);

impl ResponseHistory {
    /// Adds a response and returns whether it differs from the remembered ones of its status; None if there
    /// is none.
    fn add(&mut self, response: ResponseIdentity) -> Option<bool> {
        let Some((_, hashes)) = self.0.iter_mut().find(|(status, _)| *status == response.status) else {
            if self.0.len() < MAX_STATUSES {
                self.0.push((response.status, VecDeque::from([response.hash])));
            }
            return None;
        };
        let is_distinct = !hashes.contains(&response.hash);
        if hashes.len() == MAX_HISTORY {
            hashes.pop_front();
        }
        hashes.push_back(response.hash);
        Some(is_distinct)
    }
}

#[cfg(test)]
#[path = "response_identity_test.rs"]
mod tests;
