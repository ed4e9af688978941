//! Classifies how an attempt ended: what the response proves about the message, and what it forbids.
//!
//! A response that is rejected as incomplete or repeated proves nothing, and the message may have run. Its
//! restrictions still apply: after a 410 a message is not sent again, even if the rest of the response could
//! not be read.

use crate::events::{AfterAttempt, CallResult};
use crate::upstream::http_connection::{HttpResponse, RequestError, ResponseProgress};
use hyper::HeaderMap;
use hyper::header::CONNECTION;
use stairshed_decide::interface::{LimitReport, Outcome};
use stairshed_health::answers::{Answer, AnswerProfile, ResponseFields};
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::time::Duration;
use tokio::time::Instant;

/// Forbids another attempt after a status of 410, even if the response proves nothing: the endpoint has
/// reported that the message is over.
pub fn apply_gone(end: CallResult, progress: ResponseProgress, profile: &AnswerProfile) -> CallResult {
    match end.after {
        AfterAttempt::RetryAllowed if progress.is_gone(profile) => {
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

/// Classifies a response, or the lack of one, by the profile of its pool: what it proves and what it forbids.
pub fn classify(
    response: Result<HttpResponse, RequestError>,
    progress: ResponseProgress,
    profile: &AnswerProfile,
) -> CallResult {
    apply_gone(interpret(response, progress.blocked_until(profile), profile), progress, profile)
}

/// What a response proves. Only what the profile calls a refusal counts as not run.
fn interpret(
    response: Result<HttpResponse, RequestError>,
    blocked_until: Option<Instant>,
    profile: &AnswerProfile,
) -> CallResult {
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
    // An incomplete response proves nothing, except that one with the status of a delivery proves it: the
    // request has run, or may have.
    if !response.complete && !profile.is_delivered(response.status.as_u16()) {
        return CallResult { at: response.received_at, ..without_response(Outcome::Reset, "spoilt answer") };
    }
    if response.is_repeat() {
        let proof = "the answer repeats an earlier one on its connection";
        return CallResult { at: response.received_at, ..without_response(Outcome::Reset, proof) };
    }
    let status = response.status.as_u16();
    let wait = blocked_until.map(|until| until.saturating_duration_since(response.received_at));
    let answer = profile.classify(status, response_fields(&response.headers, wait));
    let proof = match answer {
        Answer::ConnectionRefused => "503 and close",
        _ => response.status.canonical_reason().unwrap_or("an answer"),
    };
    CallResult {
        outcome: outcome_of(answer),
        after: after_attempt(answer),
        report: load_report(&response.headers),
        at: response.received_at,
        status: Some(status),
        proof,
        exchange: None,
    }
}

/// What an answer means for the scheduler.
pub fn outcome_of(answer: Answer) -> Outcome {
    match answer {
        Answer::Delivered => Outcome::Delivered,
        Answer::NeverRanHere { wait } => Outcome::Refused { wait },
        Answer::NeverRanAnywhere { wait } => Outcome::Full { wait },
        // The endpoint refuses the connection, not the call: it holds as many connections as it accepts, and
        // the kept ones continue to serve. Treated as the destination's limit, the response would stop those
        // too. This also covers an endpoint that is shutting down. The drawback: if a destination at its
        // limit closes every connection that it refuses, only new connections are held back, and the limit is
        // found on kept ones.
        Answer::ConnectionRefused => Outcome::Crowded,
        Answer::Unprocessed | Answer::Withdrawn => Outcome::Moot,
        Answer::MayHaveRun => Outcome::Error,
        Answer::Rejected => Outcome::Rejected,
    }
}

/// What remains to be done for a message after an answer.
fn after_attempt(answer: Answer) -> AfterAttempt {
    match answer {
        Answer::Delivered | Answer::Withdrawn => AfterAttempt::Settled,
        Answer::Rejected => AfterAttempt::Rejected,
        _ => AfterAttempt::RetryAllowed,
    }
}

/// The header fields that change what a status means.
fn response_fields(headers: &HeaderMap, wait: Option<Duration>) -> ResponseFields {
    let slots_taken = headers.get("Slots-Taken").and_then(|value| value.to_str().ok()).map(str::trim);
    ResponseFields {
        wait,
        closes_connection: closes_connection(headers),
        slots_taken: slots_taken == Some("1"),
    }
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
