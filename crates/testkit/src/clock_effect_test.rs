//! Plays are read from made-up records, and compared.

use super::*;
use crate::record::Notice;

const KEY: &str = "client";

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// A record of a scenario with a deadline of 4 s and a key window of 1 s.
fn record() -> Record {
    let text = "description = \"x\"\nduration = \"1s\"\n[endpoints]\nkey_window = \"1s\"\n";
    let scenario = Scenario::parse(text).expect("a scenario");
    let plan = Plan::draw(&scenario, 1);
    Record::new(scenario, plan, Instant::now())
}

/// Adds a message that is answered 202 after 1 ms.
fn accept(record: &mut Record, id: &str, at: Duration) {
    let sent = record.begun + at;
    record.submissions.push(Submission {
        first_on_connection_of: None,
        id: id.to_owned(),
        class: "status".to_owned(),
        courier: 0,
        order_key: KEY.to_owned(),
        is_repeat: false,
        is_mqtt: false,
        sent,
        answer: Some((sent + ms(1), 202)),
        closed_after: None,
    });
}

fn notice(record: &mut Record, id: &str, at: Duration) {
    let at = record.begun + at;
    record.notices.push(Notice { at, id: id.to_owned(), result: "dead".to_owned() });
}

fn call(record: &mut Record, id: &str, at: Duration, status: Option<u16>) {
    let mut call = ServedCall::arrived_at(id, "p0-a", "a", record.begun + at);
    call.status = status;
    record.calls.push(call);
}

/// The offset of the end of the only message.
fn only_end(record: &Record) -> Option<EndOffset> {
    ends(record)[&(KEY.to_owned(), 1)]
}

/// A play with one message for each of these offsets in milliseconds; None for those that have not ended.
fn play(offsets: &[Option<i32>]) -> Play {
    let offset = |ms: i32| EndOffset { least: f64::from(ms) / 1e3, most: f64::from(ms) / 1e3 };
    let ends = offsets.iter().enumerate();
    let ends = ends.map(|(number, at)| ((KEY.to_owned(), number + 1), at.map(offset))).collect();
    Play { ends, ..Play::default() }
}

fn effect(plain: [i32; 2], stepped: [Option<i32>; 2]) -> ClockEffect {
    ClockEffect::new(&plain.map(|end| play(&[Some(end)])), &stepped.map(|end| play(&[end])))
}

#[test]
fn an_end_within_the_margin_before_the_deadline_is_when_due() {
    for at in [3955, 3980, 4000] {
        let mut record = record();
        accept(&mut record, "status-1", ms(0));
        notice(&mut record, "status-1", ms(at));
        assert_eq!(only_end(&record), Some(EndOffset::WHEN_DUE), "{at} ms");
    }
}

#[test]
fn an_end_at_another_time_is_told_from_the_deadline() {
    let mut record = record();
    accept(&mut record, "status-1", ms(500));
    notice(&mut record, "status-1", ms(2501));
    let end = only_end(&record).expect("an end");
    assert!((end.least + 2.0).abs() < 1e-6 && (end.most + 1.999).abs() < 1e-6, "{end:?}");
}

#[test]
fn a_keyed_message_is_due_at_the_end_of_its_window() {
    let mut record = record();
    accept(&mut record, "notice-1", ms(0));
    call(&mut record, "notice-1", ms(100), Some(503));
    call(&mut record, "notice-1", ms(300), None);
    notice(&mut record, "notice-1", ms(1290));
    assert_eq!(only_end(&record), Some(EndOffset::WHEN_DUE));
}

#[test]
fn a_window_begins_between_the_attempt_and_its_call() {
    let mut record = record();
    accept(&mut record, "notice-1", ms(0));
    for (at, attempt) in [(100, 0), (280, 1)] {
        let text = format!("follow 1.0 notice-1 attempt={attempt} decided endpoint=0");
        record.log.push(LogLine { at: record.begun + ms(at), courier: 0, text });
    }
    call(&mut record, "notice-1", ms(300), None);
    notice(&mut record, "notice-1", ms(1200));
    let end = only_end(&record).expect("an end");
    assert!((end.least + 0.1).abs() < 1e-6 && (end.most + 0.08).abs() < 1e-6, "{end:?}");
}

#[test]
fn calls_after_the_window_of_a_keyed_message_are_counted() {
    let mut record = record();
    for (at, status) in [(0, Some(503)), (100, None), (1099, None), (1101, None), (1500, Some(503))] {
        call(&mut record, "notice-1", ms(at), status);
    }
    call(&mut record, "status-2", ms(100), None);
    call(&mut record, "status-2", ms(2000), None);
    assert_eq!(late_repeats(&record), 2);
}

#[test]
fn messages_that_were_not_accepted_in_each_play_are_not_compared() {
    let [plain, other] = [play(&[Some(0), Some(0)]), play(&[Some(0)])];
    let effect = ClockEffect::new(&[plain.clone(), plain], &[other.clone(), other]);
    assert_eq!(effect.compared, 1);
    assert_eq!(ClockEffect::new(&Default::default(), &Default::default()).misses(), ["nothing compared"]);
}

#[test]
fn an_end_within_a_tick_and_the_scatter_is_no_difference() {
    let effect = effect([0, 7], [Some(-12), Some(19)]);
    assert_eq!((effect.scatter, effect.earlier, effect.later), (ms(7), 0, 0));
    assert!(effect.misses().is_empty());
}

#[test]
fn plays_without_steps_that_differ_too_much_show_nothing() {
    assert!(effect([0, 2000], [Some(0), Some(0)]).misses().is_empty());
    assert_eq!(effect([0, 2001], [Some(0), Some(0)]).misses(), ["scatter"]);
}

#[test]
fn an_early_end_in_one_play_is_counted() {
    let effect = effect([0, 7], [Some(-13), Some(0)]);
    assert_eq!((effect.earlier, effect.largest_earlier), (1, ms(13)));
    assert_eq!(effect.misses(), ["earlier"]);
}

#[test]
fn a_late_end_counts_if_it_is_late_in_both_plays() {
    assert!(effect([0, 0], [Some(800), Some(5)]).misses().is_empty());
    assert_eq!(effect([0, 0], [Some(800), Some(6)]).misses(), ["later"]);
}

#[test]
fn a_message_that_never_ends_with_the_steps_is_late() {
    let effect = effect([0, 0], [None, None]);
    assert_eq!((effect.later, effect.largest_later), (1, Duration::MAX));
    assert!(effect.row("x", 1).contains(&"-0.0 ms, +never".to_owned()));
}

#[test]
fn late_repeats_and_failures_of_the_plays_with_steps_are_misses() {
    let mut stepped = [play(&[Some(0)]), play(&[Some(0)])];
    stepped[0].late_repeats = 2;
    stepped[1].failures = vec!["order is broken".to_owned()];
    let plain = [play(&[Some(0)]), play(&[Some(0)])];
    assert_eq!(ClockEffect::new(&plain, &stepped).misses(), ["repeats", "order is broken"]);
}
