//! Classifies how an attempt ended: what the response proves about the message, and what it forbids.
//!
//! A response that is rejected as incomplete or repeated proves nothing, and the message may have run. Its
//! restrictions still apply: after a 410 a message is not sent again, even if the rest of the response could
//! not be read.

use crate::events::{AfterAttempt, CallResult};
use crate::upstream::http_connection::{HttpResponse, RequestError, ResponseProgress};
use hyper::header::CONNECTION;
use hyper::{HeaderMap, StatusCode};
use stairshed_decide::interface::{LimitReport, Outcome};
use stairshed_planted_faults::{PlantedFault, is_planted};
use tokio::time::Instant;

/// Forbids another attempt after a status of 410, even if the response proves nothing: the endpoint has
/// reported that the message is over.
pub fn apply_gone(end: CallResult, progress: ResponseProgress) -> CallResult {
    match end.after {
        AfterAttempt::RetryAllowed if progress.is_gone() => {
            let proof = "an answer of 410 that could not be read to its end";
            CallResult { after: AfterAttempt::FailWithoutRetry, proof, ..end }
        }
        _ => end,
    }
}

/// The end of a call without a usable response.
pub fn without_response(outcome: Outcome, proof: &'static str) -> CallResult {
    CallResult {
        outcome,
        after: AfterAttempt::RetryAllowed,
        report: None,
        at: Instant::now(),
        status: None,
        proof,
        exchange: None,
    }
}

/// Classifies a response, or the lack of one, by the rules of the PROTOCOL document: what it proves and what
/// it forbids.
pub fn classify(response: Result<HttpResponse, RequestError>, progress: ResponseProgress) -> CallResult {
    apply_gone(interpret(response, progress.blocked_until), progress)
}

/// What a response proves. Only what the PROTOCOL document calls 'never' counts as not run.
fn interpret(response: Result<HttpResponse, RequestError>, blocked_until: Option<Instant>) -> CallResult {
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            let (outcome, proof) = match error {
                RequestError::NotSent => (Outcome::ConnectFailed, "no connection, nothing written"),
                // The request was not sent, so this says nothing about the endpoint.
                RequestError::Withheld(why) => (Outcome::Moot, why),
                RequestError::ConnectionBroken if is_planted(PlantedFault::ResetTakenAsNeverRan) => {
                    (Outcome::ConnectFailed, "connection broke under it")
                }
                RequestError::ConnectionBroken => (Outcome::Reset, "connection broke under it"),
                RequestError::TimedOut => (Outcome::TimedOut, "no answer in time"),
            };
            return without_response(outcome, proof);
        }
    };
    // An incomplete response proves nothing, except that one with status 200 proves delivery: the request has
    // run, or may have.
    if !response.complete && response.status != StatusCode::OK {
        return CallResult { at: response.received_at, ..without_response(Outcome::Reset, "spoilt answer") };
    }
    if response.is_repeat() {
        let proof = "the answer repeats an earlier one on its connection";
        return CallResult { at: response.received_at, ..without_response(Outcome::Reset, proof) };
    }
    let header = |name| response.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let outcome = match response.status {
        StatusCode::OK => Outcome::Delivered,
        StatusCode::TOO_MANY_REQUESTS => {
            let wait = blocked_until.map(|until| until.saturating_duration_since(response.received_at));
            Outcome::Full { wait }
        }
        StatusCode::SERVICE_UNAVAILABLE if header("Slots-Taken") == Some("1") => Outcome::Moot,
        // The endpoint refuses the connection, not the call: it holds as many connections as it accepts, and
        // the kept ones continue to serve. Treated as the destination's limit, the response would stop those
        // too. This also covers an endpoint that is shutting down. The drawback: if a destination at its
        // limit closes every connection that it refuses, only new connections are held back, and the limit is
        // found on kept ones.
        StatusCode::SERVICE_UNAVAILABLE if closes_connection(&response.headers) => Outcome::Crowded,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full { wait: None },
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::Moot,
        _ => Outcome::Error,
    };
    let after = match response.status {
        StatusCode::OK | StatusCode::GONE => AfterAttempt::Settled,
        _ => AfterAttempt::RetryAllowed,
    };
    let proof = match outcome {
        Outcome::Crowded => "503 and close",
        _ => response.status.canonical_reason().unwrap_or("an answer"),
    };
    let report = load_report(&response.headers);
    let status = Some(response.status.as_u16());
    CallResult { outcome, after, report, at: response.received_at, status, proof, exchange: None }
}

/// Whether the response has `Connection: close`.
fn closes_connection(headers: &HeaderMap) -> bool {
    let all = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    all.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Parses `X-Server-Load: TEXT x0=0.4, x1=25`. None if a value is missing or not a finite number.
fn load_report(headers: &HeaderMap) -> Option<LimitReport> {
    let text = headers.get("X-Server-Load")?.to_str().ok()?;
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let field = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| key.trim() == name).map(|(_, value)| value.trim()).next()?;
        value.parse::<f64>().ok().filter(|v| v.is_finite())
    };
    Some(LimitReport { remaining_share: field("x0")?, limit: field("x1")? })
}

#[cfg(test)]
#[path = "attempt_outcome_test.rs"]
mod tests;
