//! What steps of the wall clock change: the same scenario and seed is played without them and with them, and the times
//! at which messages ended are compared.

use crate::plan::Plan;
use crate::record::{LogLine, Record, Submission};
use crate::runner::{RunError, run_plan};
use crate::scenario::Scenario;
use crate::table::{table_head, table_row};
use crate::verdict::Verdict;
use stairshed_rig::duplicating_endpoint::ServedCall;
use std::collections::BTreeMap;
use std::io::Write;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

/// The courier's scheduler acts once in this time.
const TICK: Duration = Duration::from_millis(5);
/// The scheduler gives up a held message when less than one usual latency is left, which is this long at first.
const MARGIN: Duration = Duration::from_millis(50);
/// Plays without clock steps that differ by more than this show nothing.
const MAX_SCATTER: Duration = Duration::from_secs(2);
/// Class of the keyed messages.
const KEYED_CLASS: &str = "notice";
/// Statuses with which the endpoints say that they have not run a call.
const REFUSALS: [u16; 2] = [429, 503];

const COLUMNS: [&str; 9] = [
    "scenario",
    "seed",
    "compared",
    "scatter",
    "earlier",
    "later",
    "largest differences",
    "keyed repeats past their window",
    "misses",
];

/// A client's name and the number of its submission: the same message in each play.
type MessageKey = (String, usize);

/// Time from when a message was due to its end, in seconds; less than 0 if it ended before. Its arrival lies between the
/// client's request and its answer, and its deadline with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndOffset {
    pub least: f64,
    pub most: f64,
}

impl EndOffset {
    /// What the scheduler may choose for a message that ends when it is due.
    const WHEN_DUE: EndOffset = EndOffset { least: -MARGIN.as_secs_f64(), most: 0.0 };

    /// The offset of an end from a due time that lies between two.
    pub fn new(end: Instant, earliest_due: Instant, latest_due: Instant) -> Self {
        let since = |due: Instant| {
            let after = end.saturating_duration_since(due).as_secs_f64();
            after - due.saturating_duration_since(end).as_secs_f64()
        };
        let offset = EndOffset { least: since(latest_due), most: since(earliest_due) };
        let is_when_due = offset.below(Self::WHEN_DUE).is_zero() && Self::WHEN_DUE.below(offset).is_zero();
        if is_when_due { Self::WHEN_DUE } else { offset }
    }

    /// By how much it is certainly less than another one.
    fn below(self, other: EndOffset) -> Duration {
        Duration::from_secs_f64((other.least - self.most).max(0.0))
    }

    /// The offsets between two.
    fn hull(self, other: EndOffset) -> EndOffset {
        EndOffset { least: self.least.min(other.least), most: self.most.max(other.most) }
    }
}

/// What a play has shown.
#[derive(Clone, Debug, Default)]
pub struct Play {
    /// Ends of the accepted messages; None for those that have not ended.
    pub ends: BTreeMap<MessageKey, Option<EndOffset>>,
    /// Calls of keyed messages after the window that began with the first call that may have run.
    pub late_repeats: usize,
    /// Rules that were broken, and faults that never happened.
    pub failures: Vec<String>,
}

impl Play {
    /// Reads a play from its records.
    pub fn new(record: &Record) -> Self {
        let verdict = Verdict::new(record);
        Play { ends: ends(record), late_repeats: late_repeats(record), failures: verdict.failures() }
    }
}

fn ends(record: &Record) -> BTreeMap<MessageKey, Option<EndOffset>> {
    let first_calls = first_keyed_calls(record);
    let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
    let mut all = BTreeMap::new();
    for message in record.submissions.iter().filter(|message| !message.is_repeat) {
        let number = numbers.entry(&message.order_key).or_default();
        *number += 1;
        let first_call = first_calls.get(message.id.as_str()).copied();
        if message.accepted_at().is_some() {
            all.insert((message.order_key.clone(), *number), end_offset(record, message, first_call));
        }
    }
    all
}

/// The end of a message, which is due at its deadline; a keyed one at the end of its window, if that is earlier.
fn end_offset(record: &Record, message: &Submission, first_call: Option<Instant>) -> Option<EndOffset> {
    let deadline = record.scenario.clients.deadline.0;
    let (sent, accepted_at) = (message.sent + deadline, message.accepted_at()? + deadline);
    let end = record.ended_at(&message.id)?;
    let Some(arrived) = first_call else { return Some(EndOffset::new(end, sent, accepted_at)) };
    let window = record.scenario.endpoints.key_window.0;
    let earliest = sent.min(attempt_began(record, &message.id, arrived) + window);
    Some(EndOffset::new(end, earliest, accepted_at.min(arrived + window)))
}

/// When the courier began the attempt whose call arrived at this time: its window counts from there, before it connects.
fn attempt_began(record: &Record, id: &str, arrived: Instant) -> Instant {
    let decided = |line: &&LogLine| line.at <= arrived && is_attempt_decided(&line.text, id);
    record.log.iter().filter(decided).map(|line| line.at).max().unwrap_or(arrived)
}

/// Whether a line of `--follow` tells of an attempt that begins: `follow TIME ID attempt=N decided ...`.
fn is_attempt_decided(line: &str, id: &str) -> bool {
    let words: Vec<_> = line.split_whitespace().take(5).collect();
    matches!(words[..], ["follow", _, own, _, "decided"] if own == id)
}

/// The first call of each keyed message that may have run.
fn first_keyed_calls(record: &Record) -> BTreeMap<&str, Instant> {
    let mut first_calls = BTreeMap::new();
    let may_have_run = |call: &&ServedCall| !call.status.is_some_and(|status| REFUSALS.contains(&status));
    let keyed = record.calls.iter().filter(|call| call.id.starts_with(KEYED_CLASS));
    for call in keyed.filter(may_have_run) {
        first_calls.entry(call.id.as_str()).or_insert(call.arrived);
    }
    first_calls
}

fn late_repeats(record: &Record) -> usize {
    let window = record.scenario.endpoints.key_window.0;
    let first_calls = first_keyed_calls(record);
    let is_late = |call: &&ServedCall| {
        let first = first_calls.get(call.id.as_str());
        first.is_some_and(|first| call.arrived.saturating_duration_since(*first) > window)
    };
    record.calls.iter().filter(is_late).count()
}

/// What the clock steps have changed in the plays of one seed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClockEffect {
    /// Messages that were accepted in each play.
    pub compared: usize,
    /// Largest difference between the plays without steps.
    pub scatter: Duration,
    /// Messages that ended earlier in a play with steps, by more than a tick and the scatter.
    pub earlier: usize,
    /// Messages that ended later in both plays with steps, by more than a tick and the scatter, or not at all.
    pub later: usize,
    pub largest_earlier: Duration,
    pub largest_later: Duration,
    /// Keyed repeats past their window in the plays with steps.
    pub late_repeats: usize,
    /// Rules that were broken, and faults that never happened, in the plays with steps.
    pub failures: Vec<String>,
}

impl ClockEffect {
    /// Compares two plays without clock steps and two with them. An early end counts in either of these. A late one
    /// counts if the message is late in both: a process that the machine lets stand still is late, too, but never early.
    pub fn new(plain: &[Play; 2], stepped: &[Play; 2]) -> Self {
        let mut effect = ClockEffect {
            late_repeats: stepped.iter().map(|play| play.late_repeats).sum(),
            failures: stepped.iter().flat_map(|play| play.failures.clone()).collect(),
            ..ClockEffect::default()
        };
        let mut differences = Vec::new();
        for (key, first) in &plain[0].ends {
            let ends = [&plain[1], &stepped[0], &stepped[1]].map(|play| play.ends.get(key));
            let (Some(first), [Some(Some(second)), Some(one), Some(other)]) = (first, ends) else { continue };
            effect.compared += 1;
            effect.scatter = effect.scatter.max(first.below(*second)).max(second.below(*first));
            let expected = first.hull(*second);
            differences.push([one, other].map(|end| Difference::new(*end, expected)));
        }
        let bound = TICK + effect.scatter;
        for [one, other] in differences {
            let earlier = one.earlier.max(other.earlier);
            let later = one.later.min(other.later);
            effect.earlier += usize::from(earlier > bound);
            effect.later += usize::from(later > bound);
            effect.largest_earlier = effect.largest_earlier.max(earlier);
            effect.largest_later = effect.largest_later.max(later);
        }
        effect
    }

    /// The bounds that are broken.
    pub fn misses(&self) -> Vec<String> {
        let checks = [
            (self.compared == 0, "nothing compared"),
            (self.scatter > MAX_SCATTER, "scatter"),
            (self.earlier > 0, "earlier"),
            (self.later > 0, "later"),
            (self.late_repeats > 0, "repeats"),
        ];
        let missed = checks.into_iter().filter(|(is_missed, _)| *is_missed).map(|(_, name)| name.to_owned());
        missed.chain(self.failures.iter().cloned()).collect()
    }

    /// The cells of its row.
    pub fn row(&self, name: &str, seed: u64) -> [String; COLUMNS.len()] {
        [
            name.to_owned(),
            seed.to_string(),
            self.compared.to_string(),
            milliseconds(self.scatter),
            self.earlier.to_string(),
            self.later.to_string(),
            format!("-{}, +{}", milliseconds(self.largest_earlier), milliseconds(self.largest_later)),
            self.late_repeats.to_string(),
            self.misses().join(", "),
        ]
    }
}

/// By how much a message ended before and after the ends that are expected.
#[derive(Clone, Copy)]
struct Difference {
    earlier: Duration,
    later: Duration,
}

impl Difference {
    fn new(end: Option<EndOffset>, expected: EndOffset) -> Self {
        end.map_or(Difference { earlier: Duration::ZERO, later: Duration::MAX }, |end| Difference {
            earlier: end.below(expected),
            later: expected.below(end),
        })
    }
}

fn milliseconds(time: Duration) -> String {
    if time == Duration::MAX { "never".to_owned() } else { format!("{:.1} ms", time.as_secs_f64() * 1e3) }
}

/// Plays the scenarios with these seeds and writes the table. Returns whether no bound is broken.
///
/// # Errors
/// A play cannot be set up, or the table cannot be written.
pub fn measure(
    scenarios: &[(String, Scenario)],
    seeds: Range<u64>,
    table: &mut impl Write,
) -> Result<bool, RunError> {
    writeln!(table, "{}", table_head(&COLUMNS))?;
    let mut all_met = true;
    for (name, scenario) in scenarios {
        for seed in seeds.clone() {
            let plan = Plan::draw(scenario, seed);
            let plain = play_twice(scenario, &plan.clone().without_clock_steps())?;
            let effect = ClockEffect::new(&plain, &play_twice(scenario, &plan)?);
            writeln!(table, "{}", table_row(&effect.row(name, seed)))?;
            all_met &= effect.misses().is_empty();
        }
    }
    Ok(all_met)
}

/// Plays a plan twice, at the same time.
fn play_twice(scenario: &Scenario, plan: &Plan) -> Result<[Play; 2], RunError> {
    let play = || run_plan(scenario, plan.clone()).map(|record| Play::new(&record));
    let (one, other) = thread::scope(|scope| {
        let one = scope.spawn(play);
        let other = play();
        (one.join().expect("a play that does not panic"), other)
    });
    Ok([one?, other?])
}

#[cfg(test)]
#[path = "clock_effect_test.rs"]
mod tests;
