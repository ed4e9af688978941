//! One line of the control file: which call fails, how, and which of its calls.

use crate::call::{Call, Fault};

const NS_PER_MS: i64 = 1_000_000;
const NS_PER_SECOND: f64 = 1e9;

/// A line of the control file.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// `clock SECONDS`: offset of the wall clock, in nanoseconds.
    Clock(i64),
    /// `CALL FAULT SELECTION`.
    Rule(Rule),
    /// `write kill-after=BYTES`.
    Kill(KillRule),
}

/// Which calls a rule applies to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// The first of every so many calls.
    Every(u64),
    /// Only this call, counted from 1.
    Nth(u64),
    /// Each call with this probability, drawn from a generator with this state.
    Rate { probability: f64, state: u64 },
}

/// Makes calls fail.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub call: Call,
    pub fault: Fault,
    selection: Selection,
    /// For how long the rule applies after it is read.
    span_ns: Option<i64>,
    /// Calls seen so far.
    calls: u64,
    /// When the rule was read, on the monotonic clock.
    read_at_ns: i64,
}

impl Rule {
    /// The rule, read at this time of the monotonic clock.
    pub fn read_at(self, now_ns: i64) -> Self {
        Rule { read_at_ns: now_ns, ..self }
    }

    /// Counts a call and returns whether the rule applies to it.
    pub fn applies(&mut self, now_ns: i64) -> bool {
        if self.span_ns.is_some_and(|span| now_ns - self.read_at_ns >= span) {
            return false;
        }
        self.calls += 1;
        match &mut self.selection {
            Selection::Every(every) => (self.calls - 1).is_multiple_of(*every),
            Selection::Nth(nth) => self.calls == *nth,
            Selection::Rate { probability, state } => next_fraction(state) < *probability,
        }
    }
}

/// Kills the process in the middle of a write to a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KillRule {
    /// Bytes that may still be written.
    left: usize,
}

impl KillRule {
    /// Counts a write of this length. Returns how much of it to write before the process is killed, if it is.
    pub fn bytes_before_kill(&mut self, length: usize) -> Option<usize> {
        if length > self.left {
            return Some(self.left);
        }
        self.left -= length;
        None
    }
}

/// Parses a line. Empty lines and comments, which begin with `#`, give `Ok(None)`.
///
/// # Errors
/// Why the line has no meaning.
pub fn parse_line(line: &str) -> Result<Option<Line>, &'static str> {
    let words: Vec<_> = line.split_whitespace().collect();
    match words[..] {
        [] => Ok(None),
        [first, ..] if first.starts_with('#') => Ok(None),
        ["clock", offset] => {
            let seconds: f64 = offset.parse().map_err(|_| "the offset is not a number of seconds")?;
            Ok(Some(Line::Clock((seconds * NS_PER_SECOND) as i64)))
        }
        ["write", word] if word.starts_with("kill-after=") => {
            let bytes = word.trim_start_matches("kill-after=").parse();
            Ok(Some(Line::Kill(KillRule { left: bytes.map_err(|_| "kill-after takes a number of bytes")? })))
        }
        [call, fault, ref selection @ ..] => parse_rule(call, fault, selection).map(Some),
        _ => Err("a rule has a call, a fault and which calls it applies to"),
    }
}

fn parse_rule(call: &str, fault: &str, words: &[&str]) -> Result<Line, &'static str> {
    let call = Call::from_name(call).ok_or("no such call")?;
    let fault = Fault::from_name(fault).ok_or("no such fault")?;
    if !call.can_have(fault) {
        return Err("this call never has this fault");
    }
    let mut selection = None;
    let (mut rate, mut seed, mut span_ns) = (None, None, None);
    for word in words {
        match word.split_once('=') {
            None if selection.is_none() => selection = Some(Selection::Every(positive(word)?)),
            Some(("nth", number)) if selection.is_none() => {
                selection = Some(Selection::Nth(positive(number)?))
            }
            Some(("rate", text)) if rate.is_none() => rate = Some(probability(text)?),
            Some(("seed", text)) if seed.is_none() => {
                seed = Some(text.parse::<u64>().map_err(|_| "seed takes a number")?);
            }
            Some(("for", text)) if span_ns.is_none() => {
                let ms: i64 = text.parse().map_err(|_| "for takes a number of milliseconds")?;
                span_ns = Some(ms.saturating_mul(NS_PER_MS));
            }
            _ => return Err("a word is unknown or comes twice"),
        }
    }
    let selection = match (selection, rate, seed) {
        (Some(selection), None, None) => selection,
        (None, Some(probability), Some(state)) => Selection::Rate { probability, state },
        (None, None, None) => return Err("which calls it applies to is missing"),
        _ => return Err("rate and seed go together, and without a number or nth"),
    };
    Ok(Line::Rule(Rule { call, fault, selection, span_ns, calls: 0, read_at_ns: 0 }))
}

fn positive(text: &str) -> Result<u64, &'static str> {
    text.parse().ok().filter(|number| *number > 0).ok_or("the number of calls is not a positive number")
}

fn probability(text: &str) -> Result<f64, &'static str> {
    let number: Option<f64> = text.parse().ok();
    number.filter(|p| (0.0..=1.0).contains(p)).ok_or("rate takes a number from 0 to 1")
}

/// Draws a number from 0 to below 1 with the generator SplitMix64.
fn next_fraction(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut bits = *state;
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
