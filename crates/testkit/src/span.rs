//! Lengths of time as scenario files write them: "1.5s", "200ms", "-1h".

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Deserializer, de::Error};
use std::time::Duration;

/// Units and their seconds; a unit stands before those that it ends with.
const UNITS: [(&str, f64); 4] = [("ms", 1e-3), ("h", 3600.0), ("m", 60.0), ("s", 1.0)];
/// Longest time in a scenario file, in seconds.
const MAX_SECONDS: f64 = 1e8;

/// A length of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let seconds = parse_seconds(&text).filter(|seconds| *seconds >= 0.0);
        let seconds = seconds.ok_or_else(|| D::Error::custom(not_a_span(&text)))?;
        Ok(Span(Duration::from_secs_f64(seconds)))
    }
}

/// A length of time with a sign, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignedSeconds(pub f64);

impl<'de> Deserialize<'de> for SignedSeconds {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        parse_seconds(&text).map(SignedSeconds).ok_or_else(|| D::Error::custom(not_a_span(&text)))
    }
}

/// A length of time, or the bounds between which the seed draws one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanRange {
    pub least: Duration,
    pub most: Duration,
}

impl SpanRange {
    /// A range of one length.
    pub const fn exactly(length: Duration) -> Self {
        SpanRange { least: length, most: length }
    }

    /// Draws a length, in whole milliseconds.
    pub fn draw(&self, rng: &mut SmallRng) -> Duration {
        let bounds = self.least.as_millis() as u64..=self.most.as_millis() as u64;
        Duration::from_millis(rng.random_range(bounds))
    }
}

impl<'de> Deserialize<'de> for SpanRange {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged, expecting = "a time such as \"200ms\", or two of them in brackets")]
        enum Form {
            One(Span),
            Two([Span; 2]),
        }
        match Form::deserialize(from)? {
            Form::One(span) => Ok(SpanRange::exactly(span.0)),
            Form::Two([least, most]) if least <= most => Ok(SpanRange { least: least.0, most: most.0 }),
            Form::Two(_) => Err(D::Error::custom("the first of two times is the longer one")),
        }
    }
}

fn not_a_span(text: &str) -> String {
    format!("{text:?} is not a time: write a number and one of h, m, s, ms, such as \"1.5s\"")
}

fn parse_seconds(text: &str) -> Option<f64> {
    let (number, unit) =
        UNITS.iter().find_map(|(unit, seconds)| Some((text.strip_suffix(unit)?, seconds)))?;
    let seconds = number.parse::<f64>().ok()? * unit;
    (seconds.abs() <= MAX_SECONDS).then_some(seconds)
}

#[cfg(test)]
#[path = "span_test.rs"]
mod tests;
