//! Whether an answer can be told from earlier ones of the same endpoint. HTTP/1.1 ties an answer to its request by
//! nothing but the order on the connection, so a second copy of an earlier answer looks like the answer to the request
//! that is out. A copy equals what it is a copy of: on a used connection only an answer that differs from all before it
//! is taken for the answer, and a connection is used again only where answers differ.

use hyper::header::DATE;
use hyper::{HeaderMap, StatusCode};
use stairshed_decide::interface::EndpointId;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Answers that are remembered of each status, of each endpoint and of all, to see whether they differ.
const HISTORY: usize = 16;
/// Statuses that are remembered. Of further ones nothing is known.
const MAX_STATUSES: usize = 8;
/// Where the endpoint may name the request that it answers.
const REQUEST_ID: &str = "X-Request-ID";

/// What tells one answer from another: status, `X-Request-ID` and body; without a body the header fields but `Date`, since
/// nothing else could differ. With a body they do not count: a copy may have been given other fields on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseIdentity {
    status: StatusCode,
    hash: u64,
}

impl ResponseIdentity {
    /// The identity of an answer that came whole.
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

    /// For the log: the same for equal answers.
    pub fn hash(self) -> u64 {
        self.hash
    }
}

/// Whether the next answer on a connection can be expected to differ from those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// The endpoint's answers of this status differ.
    Differs,
    /// Nothing is known of this endpoint's; those of the others differ.
    Presumed,
    /// Answers are alike, or nothing is known of any.
    Alike,
}

/// The latest answers, on whatever connection: of each endpoint, and of all together.
#[derive(Default)]
pub struct ResponseHistories {
    by_endpoint: HashMap<EndpointId, ResponseHistory>,
    all: ResponseHistory,
}

impl ResponseHistories {
    /// Adds an answer of an endpoint; what can be expected of the next one there.
    pub fn add(&mut self, endpoint: EndpointId, answer: ResponseIdentity) -> Expectation {
        let own = self.by_endpoint.entry(endpoint).or_default().add(answer);
        let all = self.all.add(answer);
        match own {
            Some(true) => Expectation::Differs,
            None if all == Some(true) => Expectation::Presumed,
            _ => Expectation::Alike,
        }
    }

    /// Drops what is known of an endpoint.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.by_endpoint.remove(&endpoint);
    }
}

/// The latest answers of each status, so that many of one do not push out the few of another.
#[derive(Default)]
struct ResponseHistory(Vec<(StatusCode, VecDeque<u64>)>);

impl ResponseHistory {
    /// Adds an answer. Whether it differs from the others of its status; None if there is none.
    fn add(&mut self, answer: ResponseIdentity) -> Option<bool> {
        let Some((_, hashes)) = self.0.iter_mut().find(|(status, _)| *status == answer.status) else {
            if self.0.len() < MAX_STATUSES {
                self.0.push((answer.status, VecDeque::from([answer.hash])));
            }
            return None;
        };
        let differs = !hashes.contains(&answer.hash);
        if hashes.len() == HISTORY {
            hashes.pop_front();
        }
        hashes.push_back(answer.hash);
        Some(differs)
    }
}

#[cfg(test)]
#[path = "response_identity_test.rs"]
mod tests;
