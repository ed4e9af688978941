//! The courier and its journal's disk: full, failing, damaged, shared, and of an older program.

use stairshed_rig::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

fn state(folder: &TestFolder) -> PathBuf {
    folder.0.join("state")
}

/// `stairshed journal WHAT` on the courier's folder.
fn tool(folder: &TestFolder, what: &str) -> Output {
    Command::new(program()).arg("journal").arg(what).arg(state(folder)).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Flips a bit in the first place where `name` stands.
fn spoil(segment: &Path, name: &[u8]) {
    let mut bytes = std::fs::read(segment).expect("the segment");
    let at = bytes.windows(name.len()).position(|w| w == name).expect("the name");
    bytes[at] ^= 0x20;
    std::fs::write(segment, bytes).expect("written");
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let files = std::fs::read_dir(folder).expect("the folder").flatten().map(|e| e.path());
    let mut all: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "seg")).collect();
    all.sort();
    all
}

/// An endpoint that hangs until it is opened, then answers; discovery that lists it.
fn gate() -> (Arc<AtomicBool>, Endpoint, Discovery) {
    let open = Arc::new(AtomicBool::new(false));
    let own = open.clone();
    // Turned away, so that nothing may have run.
    const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let endpoint =
        Endpoint::new(move |_| EndpointAction::Respond(if own.load(Ordering::SeqCst) { OK } else { BUSY }));
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (open, endpoint, discovery)
}

fn courier(folder: &TestFolder, discovery: &Discovery, settings: &str) -> Courier {
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut command = command(folder, discovery, &config(discovery, known));
    with_settings(&mut command, folder, settings);
    Courier::spawn(&mut command)
}

/// Every message that was taken on has ended: answered 200 by the endpoint once it was open, or told.
fn all_end(taken: &[String], endpoint: &Endpoint, discovery: &Discovery, opened: usize) {
    wait_until("the end of all that was taken on", || {
        let delivered: Vec<String> = endpoint.calls()[opened..].iter().map(|c| c.id.clone()).collect();
        taken.iter().all(|id| delivered.contains(id) || !discovery.results(id).is_empty())
    });
    let delivered: Vec<String> = endpoint.calls()[opened..].iter().map(|c| c.id.clone()).collect();
    for id in taken {
        let times = delivered.iter().filter(|d| *d == id).count();
        assert!(times <= 1, "{id} was delivered {times} times");
    }
}

#[test]
fn a_full_journal_refuses_new_messages_with_its_reason_and_ends_the_old_ones() {
    let (open, endpoint, discovery) = gate();
    let folder = TestFolder::new();
    let courier = courier(&folder, &discovery, "[journal]\nroom = \"250KB\"\n");
    let body = "x".repeat(3000);
    let (mut taken, mut refused) = (Vec::new(), None);
    for n in 0..100 {
        let id = format!("m{n}");
        let page = exchange(courier.address, message_with(&id, "payment", 7, 25_000, &body).as_bytes());
        let page = page.expect("an answer");
        match page.status() {
            202 => taken.push(id),
            _ => refused = Some(page),
        }
    }
    let refused = refused.expect("it fills");
    assert_eq!(refused.status(), 503);
    assert!(text(&refused.body).contains("journal is full"), "{refused:?}");
    assert!(refused.header("retry-after").is_some_and(|v| v.parse::<f64>().is_ok_and(|s| s > 0.0)));
    assert!(taken.len() > 10);
    // Full as it is, all ends; then there is room again.
    let opened = endpoint.calls().len();
    open.store(true, Ordering::SeqCst);
    all_end(&taken, &endpoint, &discovery, opened);
    wait_until("it serves again", || courier.submit("again", "payment", 7, 20_000).status() == 202);
    let used: u64 = segments(&state(&folder))
        .iter()
        .map(|p| p.metadata().map_or(0, |m| m.len().next_multiple_of(512)))
        .sum();
    assert!(used <= 250_000, "{used} bytes on disk");
}

#[test]
fn a_write_that_the_kernel_cuts_short_costs_nothing_that_was_taken_on() {
    let (open, endpoint, discovery) = gate();
    let folder = TestFolder::new();
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let under = command(&folder, &discovery, &config(&discovery, known));
    let courier = Courier::spawn(&mut ignoring_file_size_signal(&under));
    let mut taken = Vec::new();
    for n in 0..10 {
        courier.submit_accepted(&format!("m{n}"), "payment", 7, 28_000);
        taken.push(format!("m{n}"));
    }
    // In the middle of the next record but one, or of what is written beside it.
    let size = segments(&state(&folder)).last().expect("a segment").metadata().expect("its size").len();
    courier.set_file_size_limit(Some(size + 300));
    let mut refused = None;
    wait_until("it is refused", || {
        let id = format!("n{}", taken.len());
        let page = courier.submit(&id, "payment", 7, 28_000);
        match page.status() {
            202 => taken.push(id),
            _ => refused = Some(page),
        }
        refused.is_some()
    });
    let refused = refused.expect("a page");
    assert_eq!(refused.status(), 503);
    assert!(text(&refused.body).contains("disk"), "{refused:?}");
    assert!(refused.header("retry-after").is_some());
    courier.wait_for_log("cannot write");
    wait_until("not ready", || courier.get("/-/ready").is_some_and(|page| page.status() == 503));
    courier.set_file_size_limit(None);
    courier.wait_for_log("works again");
    let opened = endpoint.calls().len();
    open.store(true, Ordering::SeqCst);
    all_end(&taken, &endpoint, &discovery, opened);
    wait_until("it serves again", || courier.submit("again", "payment", 7, 20_000).status() == 202);
    let all = endpoint.ids();
    assert!(taken.iter().all(|id| all.contains(id)), "all that was taken on was sent");
    courier.kill();
    assert!(tool(&folder, "verify").status.success());
}

#[test]
fn a_payment_that_a_spoilt_record_may_hide_is_never_sent_again() {
    let endpoint = Endpoint::new(|n| if n < 2 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    let folder = TestFolder::new();
    let courier = courier(&folder, &discovery, "");
    courier.submit_accepted("pay", "payment", 7, 25_000);
    courier.submit_accepted("state", "status", 7, 25_000);
    wait_until("both calls", || endpoint.calls().len() == 2);
    // One more record behind those of the attempts, so that they are not at the end.
    courier.submit_accepted("later", "status", 7, 25_000);
    wait_until("the third call", || endpoint.calls().len() == 3);
    courier.kill();
    let before = text(&tool(&folder, "dump").stdout);
    let attempts = before.lines().filter(|l| l.contains("\"kind\":\"attempt\"")).count();
    assert!(attempts >= 2, "{before}");
    // The host's name in the payment's attempt.
    let path = segments(&state(&folder)).pop().expect("a segment");
    spoil(&path, b"s-1");
    let verify = tool(&folder, "verify");
    assert_eq!(verify.status.code(), Some(1));
    let said = text(&verify.stdout);
    let name = path.file_name().and_then(|n| n.to_str()).expect("a name");
    assert!(said.contains("DAMAGED") && said.contains(name) && said.contains("byte"), "{said}");
    let courier = self::courier(&folder, &discovery, "");
    assert!(
        courier.startup_log.iter().any(|l| l.contains("DAMAGED") && l.contains(name)),
        "{:?}",
        courier.startup_log
    );
    wait_until("its end", || discovery.results("pay") == ["dead"]);
    wait_until("the repeat of what is harmless", || {
        endpoint.ids().iter().filter(|id| *id == "state").count() == 2
    });
    assert_eq!(endpoint.ids().iter().filter(|id| *id == "pay").count(), 1);
    courier.kill();
    assert!(tool(&folder, "verify").status.success(), "mended by the start");
}

#[test]
fn a_key_that_a_spoilt_record_may_hide_is_sent_to_no_endpoint_without_a_zone() {
    let endpoint = Endpoint::new(|n| if n < 2 { EndpointAction::Hang } else { EndpointAction::Respond(OK) });
    let folder = TestFolder::new();
    let file = format!(
        "[classes.fuel]\neffect = \"keyed\"\nkey_scope = \"zone\"\nkey_window = \"60s\"\ndeadline = \"20s\"\n\
         [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
         [routes.r]\npath = \"/fuel\"\npool = \"p\"\nclass = \"fuel\"\n",
        endpoint.address
    );
    let courier = Courier::serve(&folder, &file);
    assert_eq!(courier.post("/fuel", "pay", "Idempotency-Key: k\r\n", "1").status(), 202);
    wait_until("the call", || endpoint.calls().len() == 1);
    // One more record behind that of the attempt, so that it is not at the end.
    assert_eq!(courier.post("/fuel", "later", "Idempotency-Key: l\r\n", "1").status(), 202);
    wait_until("the second call", || endpoint.calls().len() == 2);
    courier.kill();
    let path = segments(&state(&folder).join("journal")).pop().expect("a segment");
    spoil(&path, format!("p/{}", endpoint.address).as_bytes());
    let courier = Courier::serve(&folder, &file);
    assert!(courier.startup_log.iter().any(|l| l.contains("DAMAGED")), "{:?}", courier.startup_log);
    wait_until("its end", || outcomes(&folder).iter().any(|(id, result)| id == "pay" && result == "dead"));
    assert_eq!(endpoint.ids().iter().filter(|id| *id == "pay").count(), 1);
}

#[test]
fn the_tools_tell_what_is_there_and_keep_out_of_a_courier_s_way() {
    let (open, endpoint, discovery) = gate();
    let folder = TestFolder::new();
    let courier = courier(&folder, &discovery, "");
    for n in 0..5 {
        courier.submit_accepted(&format!("m{n}"), "payment", 7, 25_000);
    }
    for what in ["inspect", "verify", "dump", "compact"] {
        let run = tool(&folder, what);
        assert_eq!(run.status.code(), Some(1), "{what}");
        assert!(text(&run.stderr).contains("another process"), "{what}: {}", text(&run.stderr));
    }
    courier.kill();
    let files = |folder: &TestFolder| -> Vec<_> {
        segments(&state(folder)).iter().map(|p| (p.clone(), std::fs::read(p).expect("read"))).collect()
    };
    let before = files(&folder);
    let inspect = text(&tool(&folder, "inspect").stdout);
    assert!(inspect.contains("messages: 5 live") && inspect.contains("m3"), "{inspect}");
    assert!(text(&tool(&folder, "verify").stdout).contains("5 live messages"));
    let dump = text(&tool(&folder, "dump").stdout);
    assert!(dump.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "{dump}");
    assert!(files(&folder) == before, "they only look");
    let compact = tool(&folder, "compact");
    assert!(compact.status.success(), "{}", text(&compact.stderr));
    assert!(files(&folder) != before);
    assert!(text(&tool(&folder, "verify").stdout).contains("5 live messages"));
    let _courier = self::courier(&folder, &discovery, "");
    let opened = endpoint.calls().len();
    open.store(true, Ordering::SeqCst);
    let taken: Vec<String> = (0..5).map(|n| format!("m{n}")).collect();
    all_end(&taken, &endpoint, &discovery, opened);
}

#[test]
fn with_syncs_a_message_is_answered_delivered_and_resumed_like_any_other() {
    let (open, endpoint, discovery) = gate();
    let folder = TestFolder::new();
    let settings = "[journal]\ndurability = \"machine\"\nset_aside = true\nroom = \"8MB\"\n";
    let courier = courier(&folder, &discovery, settings);
    let taken: Vec<String> = (0..20).map(|n| format!("m{n}")).collect();
    taken.iter().for_each(|id| courier.submit_accepted(id, "payment", 7, 25_000));
    courier.kill();
    let courier = self::courier(&folder, &discovery, settings);
    courier.submit_accepted("late", "status", 7, 1500);
    wait_until("a notice", || !discovery.results("late").is_empty());
    let opened = endpoint.calls().len();
    open.store(true, Ordering::SeqCst);
    all_end(&taken, &endpoint, &discovery, opened);
}

#[test]
fn bad_settings_and_a_folder_in_use_end_the_start_with_one_line() {
    let (_open, _endpoint, discovery) = gate();
    let folder = TestFolder::new();
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let config = config(&discovery, known);
    let run = |settings: &str| {
        let mut command = command(&folder, &discovery, &config);
        with_settings(&mut command, &folder, settings);
        let run = command.output().expect("it runs");
        assert_eq!(run.status.code(), Some(1), "{settings}");
        text(&run.stderr)
    };
    assert!(run("[journal]\nrooms = 3\n").contains("rooms"));
    assert!(run("[journal]\nroom = \"1kB\"\n").contains("at least"));
    let _first = Courier::start(&folder, &discovery);
    assert!(run("").contains("another process"));
}

/// Written by the courier before segments (commit 5ee524e), killed with six messages held: three payments and
/// notices that an endpoint had hung on or turned away, and one that had run out of time.
const OLD: &[u8] = include_bytes!("fixtures/old-format.journal");

#[test]
fn a_folder_of_the_old_format_is_taken_over_with_every_message() {
    let (open, endpoint, discovery) = gate();
    open.store(true, Ordering::SeqCst);
    let folder = TestFolder::new();
    std::fs::write(state(&folder).join("journal"), OLD).expect("written");
    let courier = courier(&folder, &discovery, "");
    assert!(
        courier.startup_log.iter().any(|l| l.contains("taken over from the old format")),
        "{:?}",
        courier.startup_log
    );
    assert!(!state(&folder).join("journal").exists());
    // Their time was up long ago, so each ends by a notice; what may have run is never said to be harmless.
    wait_until("every end", || (0..6).all(|n| !discovery.results(&format!("m{n}")).is_empty()));
    courier.kill();
    assert!(endpoint.calls().is_empty(), "nothing is sent whose time is up");
    // Taken over once more by the tool: the courier may have compacted by now what has ended.
    let folder = TestFolder::new();
    std::fs::write(state(&folder).join("journal"), OLD).expect("written");
    assert!(tool(&folder, "compact").status.success());
    let dump = text(&tool(&folder, "dump").stdout);
    for n in 0..6 {
        let line = dump.lines().find(|l| l.contains("snapshot") && l.contains(&format!("\"m{n}\"")));
        let line = line.unwrap_or_else(|| panic!("m{n} is not there: {dump}"));
        if line.contains("\"may_have_run\":true") && line.contains("payment") {
            assert_eq!(discovery.results(&format!("m{n}"))[0], "dead", "{line}");
        }
    }
    assert!(dump.contains("\"may_have_run\":true") && dump.contains("\"may_have_run\":false"), "{dump}");
}

#[test]
fn a_clock_that_has_jumped_back_gives_no_message_more_time_than_its_class_has() {
    let endpoint = Endpoint::new(|_| EndpointAction::Hang);
    // Listed but draining: the message is held as long as it has time.
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "draining")]));
    let folder = TestFolder::new();
    let known = discovery.lines.lock().expect("lines")[0].clone();
    let mut config = config(&discovery, known);
    // As if an hour had been turned back: its time is up an hour from now.
    let courier = Courier::with(&folder, &discovery, &config);
    courier.submit_accepted("hour", "payment", 7, 3_600_000);
    courier.submit_accepted("usual", "payment", 7, 500);
    wait_until("the end of one with less time", || !discovery.results("usual").is_empty());
    assert!(discovery.results("hour").is_empty());
    courier.kill();
    for lane in 0..3 {
        config["settings"]["lanes"][lane]["aim-ns"] = serde_json::json!(500_000_000u64);
        config["settings"]["lanes"][lane]["deadline-ns"] = serde_json::json!(2_000_000_000u64);
    }
    let _courier = Courier::with(&folder, &discovery, &config);
    wait_until("its end", || !discovery.results("hour").is_empty());
}
