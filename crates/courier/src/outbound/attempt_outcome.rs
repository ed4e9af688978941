//! What the end of an exchange means for its message: what the answer proves, and what it forbids.
//!
//! An answer that is not believed proves nothing, and the message may have run. What it forbids holds all the same: a
//! message that is over is not sent again, whatever becomes of the rest of the answer that says so.

use crate::events::{AfterAttempt, CallResult};
use crate::outbound::http_connection::{HttpResponse, RequestError, ResponseProgress};
use hyper::header::CONNECTION;
use hyper::{HeaderMap, StatusCode};
use stairshed_decide::interface::{LimitReport, Outcome};
use tokio::time::Instant;

/// Forbids what the answer forbids, whether or not it is proof of anything: a message of which an endpoint has said that
/// it is over is not sent again.
pub fn restrained(end: CallResult, heard: ResponseProgress) -> CallResult {
    match end.after {
        AfterAttempt::RetryAllowed if heard.is_over() => {
            let proof = "an answer of 410 that could not be read to its end";
            CallResult { after: AfterAttempt::FailWithoutRetry, proof, ..end }
        }
        _ => end,
    }
}

/// The end of a call that has no answer to tell of.
pub fn unanswered(outcome: Outcome, proof: &'static str) -> CallResult {
    CallResult {
        outcome,
        after: AfterAttempt::RetryAllowed,
        report: None,
        at: Instant::now(),
        proof,
        exchange: None,
    }
}

/// What PROTOCOL says of an answer: what it proves, and what it forbids.
pub fn ended(answer: Result<HttpResponse, RequestError>, heard: ResponseProgress) -> CallResult {
    restrained(proven(answer, heard.blocked_until), heard)
}

/// What an answer proves. Only what PROTOCOL calls 'never' counts as not run.
fn proven(answer: Result<HttpResponse, RequestError>, blocked_until: Option<Instant>) -> CallResult {
    let answer = match answer {
        Ok(answer) => answer,
        Err(lost) => {
            let (outcome, proof) = match lost {
                RequestError::NotSent => (Outcome::ConnectFailed, "no connection, nothing written"),
                // It says nothing of the endpoint, which has not been asked.
                RequestError::Withheld(why) => (Outcome::Moot, why),
                RequestError::ConnectionBroken => (Outcome::Reset, "connection broke under it"),
                RequestError::TimedOut => (Outcome::TimedOut, "no answer in time"),
            };
            return unanswered(outcome, proof);
        }
    };
    // A spoilt answer proves nothing but a first line with 200: the request has run, or may have.
    if !answer.whole && answer.status != StatusCode::OK {
        return CallResult { at: answer.at, ..unanswered(Outcome::Reset, "spoilt answer") };
    }
    if answer.repeats() {
        let proof = "the answer repeats an earlier one on its connection";
        return CallResult { at: answer.at, ..unanswered(Outcome::Reset, proof) };
    }
    let head = |name| answer.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let outcome = match answer.status {
        StatusCode::OK => Outcome::Delivered,
        StatusCode::TOO_MANY_REQUESTS => {
            let wait = blocked_until.map(|until| until.saturating_duration_since(answer.at));
            Outcome::Full { wait }
        }
        StatusCode::SERVICE_UNAVAILABLE if head("Slots-Taken") == Some("1") => Outcome::Moot,
        // It is the connection that is turned away, not the call: the endpoint holds as many as it will, and
        // those that are kept serve on. Taken for a limit of the destination it would stop these too. Covers
        // an endpoint that is shutting down as well. Hurts where a destination at its limit closes whatever
        // it turns away: then new connections alone are held back, and its limit is found on kept ones.
        StatusCode::SERVICE_UNAVAILABLE if closes(&answer.headers) => Outcome::Crowded,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full { wait: None },
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::Moot,
        _ => Outcome::Error,
    };
    let after = match answer.status {
        StatusCode::OK | StatusCode::GONE => AfterAttempt::Settled,
        _ => AfterAttempt::RetryAllowed,
    };
    let proof = match outcome {
        Outcome::Crowded => "503 and close",
        _ => answer.status.canonical_reason().unwrap_or("an answer"),
    };
    let report = report(&answer.headers);
    CallResult { outcome, after, report, at: answer.at, proof, exchange: None }
}

/// Whether the connection ends with this answer.
fn closes(headers: &HeaderMap) -> bool {
    let all = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    all.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Reads `X-Server-Load: TEXT x0=0.4, x1=25`.
fn report(headers: &HeaderMap) -> Option<LimitReport> {
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
