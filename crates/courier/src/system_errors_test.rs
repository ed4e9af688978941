use super::backoff::{Backoff, Bounds, retry};
use super::policy::{Operation, Policy, RULES, Rule, START_PAUSES, policy, shows_unreachable_peer};
use super::record::{ErrorRecord, LOG_INTERVAL};
use super::{Errno, journal_operation, report_startup_error};
use stairshed_journal::{Error as JournalError, FileCall};
use std::collections::BTreeSet;
use std::io;
use std::time::{Duration, Instant};

const PAGE: &str = include_str!("../../../docs/operating-faults.md");

const LIMIT: Duration = Duration::from_millis(300);

fn errno(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

fn row(rule: &Rule) -> String {
    let operations: Vec<_> = rule.operations.iter().map(|o| o.name()).collect();
    let errnos: Vec<_> = rule.errnos.iter().map(|number| Errno(*number).to_string()).collect();
    let errnos = if errnos.is_empty() { "any other".to_owned() } else { errnos.join(", ") };
    format!("| {} | {errnos} | {} |", operations.join(", "), rule.policy)
}

#[test]
fn the_page_has_the_rows_of_the_table() {
    let section = PAGE.split("## The table\n").nth(1).expect("the page has the section");
    let section = section.split("\n## ").next().expect("the section has text");
    let shown: Vec<&str> = section.lines().filter(|line| line.starts_with("| ")).skip(2).collect();
    let rows: Vec<String> = RULES.iter().map(row).collect();
    assert_eq!(shown, rows, "the page must have these rows:\n{}", rows.join("\n"));
}

#[test]
fn each_operation_has_a_last_row_for_all_other_errors() {
    let all: BTreeSet<Operation> = RULES.iter().flat_map(|rule| rule.operations).copied().collect();
    for operation in all {
        let last = RULES.iter().rfind(|rule| rule.operations.contains(&operation));
        assert!(last.is_some_and(|rule| rule.errnos.is_empty()), "{operation:?}");
    }
    let named = RULES.iter().flat_map(|rule| rule.errnos);
    assert!(named.map(|number| Errno(*number).to_string()).all(|name| name.starts_with('E')));
}

#[test]
fn the_policies_follow_the_causes() {
    let is = |operation, number, expected: fn(Policy) -> bool| {
        let found = policy(operation, Errno(number));
        assert!(expected(found), "{operation:?} {}: {found}", Errno(number));
    };
    for number in [libc::ECONNABORTED, libc::EINTR, libc::EPROTO] {
        is(Operation::Accept, number, |p| p == Policy::RetryNow);
    }
    for number in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        is(Operation::Accept, number, |p| matches!(p, Policy::Shed(_)));
        is(Operation::ConnectEndpoint, number, |p| matches!(p, Policy::Shed(_)));
        is(Operation::Listen, number, |p| matches!(p, Policy::BackOff(_)));
    }
    is(Operation::ConnectEndpoint, libc::EADDRNOTAVAIL, |p| matches!(p, Policy::BackOff(_)));
    is(Operation::ConnectEndpoint, libc::ECONNREFUSED, |p| p == Policy::FailAttempt);
    for number in [libc::EROFS, libc::EIO, libc::ENOSPC] {
        is(Operation::StateFolder, number, |p| matches!(p, Policy::BackOff(_)));
        is(Operation::JournalWrite, number, |p| matches!(p, Policy::RefuseNewWork(_)));
    }
    is(Operation::StateFolder, libc::EACCES, |p| p == Policy::EndProgram);
    for number in [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::EPIPE, libc::ECONNRESET] {
        is(Operation::SocketWrite, number, |p| p == Policy::CloseConnection);
    }
    for number in [libc::ENOBUFS, libc::ENOMEM] {
        is(Operation::SocketRead, number, |p| matches!(p, Policy::BackOff(_)));
        is(Operation::SocketWrite, number, |p| matches!(p, Policy::BackOff(_)));
    }
    assert!(shows_unreachable_peer(Errno(libc::EHOSTUNREACH)));
    assert!(!shows_unreachable_peer(Errno(libc::EMFILE)), "a failure of this machine");
}

#[test]
fn repeated_errors_are_counted_and_make_one_line_per_interval() {
    let (mut record, start) = (ErrorRecord::new(), Instant::now());
    let mut add = |number, after| record.add(Operation::Accept, &errno(number), start + after);
    let first = add(libc::EMFILE, Duration::ZERO).expect("the first is logged at once");
    assert!(first.starts_with("system: accept: EMFILE: "), "{first}");
    for n in 1..=9 {
        assert_eq!(add(libc::EMFILE, Duration::from_secs(n)), None);
    }
    assert!(add(libc::ENFILE, Duration::from_secs(9)).is_some(), "another error has its own line");
    assert_eq!(record.take_lines(start + Duration::from_secs(59)), Vec::<String>::new());
    assert_eq!(record.take_lines(start + LOG_INTERVAL), ["system: accept: EMFILE: 9 more in 60 s"]);
    assert_eq!(record.take_lines(start + LOG_INTERVAL * 2), Vec::<String>::new());
    let page = record.page(start + LOG_INTERVAL);
    assert_eq!(page["errors"][1]["errno"], "EMFILE");
    assert_eq!((&page["errors"][1]["count"], &page["errors"][1]["seconds_ago"]), (&10.into(), &51.0.into()));
}

#[test]
fn pauses_double_within_their_bounds_and_start_again_after_a_success() {
    let bounds = Bounds { least: Duration::from_millis(5), most: Duration::from_millis(30) };
    let mut backoff = Backoff::default();
    for full in [5, 10, 20, 30, 30] {
        let (pause, full) = (backoff.next_pause(bounds), Duration::from_millis(full));
        assert!(pause >= full / 2 && pause <= full, "{pause:?} of {full:?}");
    }
    backoff.reset();
    assert!(backoff.next_pause(bounds) <= bounds.least);
}

/// Tries again for [`LIMIT`], by the policies of a state folder; returns the number of attempts and the result.
async fn attempts(errors: impl Fn(usize) -> Option<i32>) -> (usize, Result<(), String>) {
    let mut count = 0;
    let attempt = async || {
        count += 1;
        let io =
            |number| JournalError::Io { file: "f".to_owned(), call: FileCall::Open, source: errno(number) };
        errors(count).map_or(Ok(()), |number| Err(io(number)))
    };
    let result = retry("test", LIMIT, report_startup_error, attempt).await;
    (count, result.map_err(|e| e.to_string()))
}

#[tokio::test]
async fn startup_tries_again_for_a_limited_time_and_not_after_a_permanent_error() {
    let (count, result) = attempts(|n| (n < 4).then_some(libc::EROFS)).await;
    assert_eq!((count, result), (4, Ok(())));
    let (count, result) = attempts(|_| Some(libc::EACCES)).await;
    assert_eq!(count, 1);
    assert!(result.is_err_and(|e| e.contains("Permission denied")));
    let started = Instant::now();
    let (count, result) = attempts(|_| Some(libc::EIO)).await;
    assert!(result.is_err() && started.elapsed() >= LIMIT);
    assert!(count > 3 && count < 12, "{count} attempts");
    assert!(START_PAUSES.least * 10 < Duration::from_millis(600), "a restart must not wait long");
}

#[test]
fn calls_on_the_journal_have_operations_of_their_own() {
    assert_eq!(journal_operation(FileCall::Create), Operation::JournalOpen);
    assert_eq!(journal_operation(FileCall::Shrink), Operation::JournalTruncate);
    assert_eq!(journal_operation(FileCall::Remove), Operation::JournalRemove);
}
