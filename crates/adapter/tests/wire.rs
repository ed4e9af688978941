//! Round trips through the adapter, and its errors for malformed input.

use serde_json::{Value, json};
use stairshed_adapter::Adapter;

fn conf() -> Value {
    json!({
        "costs": {"handshake": 0.04, "later-key": 1}, "customers": [], "dcs": ["a", "b"],
        "family-info": {"bundle-max": [1], "fee-by-zone": [0.0, 0.03], "loses-worth": "line",
            "separate-routes": [true], "slots": 4},
        "lanes": [{"aim-ns": 2_500_000_000u64, "credit": 1.0, "deadline-ns": 28_000_000_000u64,
            "effect": "by_key", "key-scope": "zone", "key-ttl-ns": 12_000_000_000u64,
            "late-share": 0.3, "name": "n", "streamed": false}],
        "limits": {"cancel": true, "connect-timeout-ns": 1_000_000_000u64,
            "keepalive-ns": 10_000_000_000u64, "max-open": 100, "probing": true, "send-cap": 6},
        "membership-mode": "subscribe",
        "rules": {"cold-from": 0.18, "cold-ns": 10_000_000_000u64, "drain-grace-ns": 1_000_000_000u64,
            "fall-multiple": 2.0, "fall-ns": 3_000_000_000u64, "grace-to-answer-ns": 20_000_000u64},
        "siblings": 2, "skus": ["k"], "tick-ns": 5_000_000, "weight-kind": "nominal"
    })
}

fn run(lines: &[Value]) -> Result<Vec<Vec<Value>>, String> {
    let input: String = lines.iter().map(|l| format!("{l}\n")).collect();
    run_input(&input)
}

/// The replies: one list of actions per batch.
fn run_input(input: &str) -> Result<Vec<Vec<Value>>, String> {
    let mut output = Vec::new();
    Adapter::default().run(input.as_bytes(), &mut output)?;
    let (mut replies, mut reply) = (Vec::new(), Vec::new());
    for line in String::from_utf8(output).expect("UTF-8").lines() {
        let action: Value = serde_json::from_str(line).expect("JSON");
        match action["what"].as_str() {
            Some("DONE") => replies.push(std::mem::take(&mut reply)),
            _ => reply.push(action),
        }
    }
    assert!(reply.is_empty(), "a reply without its end");
    Ok(replies)
}

fn start_lines(id: u64, conf: Value) -> Vec<Value> {
    vec![
        json!({"what": "SYNC", "wall-ns": 9_000_000_000u64}),
        json!({"what": "NEW_INSTANCE", "courier-id": id, "salt": 5, "conf": conf}),
        json!({"what": "TABLE", "buffer": 0, "elements": [
            {"endpoint": "10.0.0.1:1", "zone": 0, "sku": 0, "destination": 57, "state": 1, "rating": 9},
            {"endpoint": "10.0.0.2:1", "zone": 1, "sku": 0, "destination": 58, "state": 1, "rating": 9}]}),
        json!({"what": "DIRECTORY_UPDATE", "courier-id": id, "kind": 2, "revision": 1, "buffer": 0}),
    ]
}

fn order(id: u64, job: u64, dest: u64) -> Value {
    json!({"what": "ORDER", "courier-id": id, "job": job, "marks": 0, "kind": 0, "to-exchange": dest,
        "time-budget-ns": 28_000_000_000u64, "customer": 0})
}

fn only<'a>(reply: &'a [Value], what: &str) -> Vec<&'a Value> {
    reply.iter().filter(|a| a["what"] == what).collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let replies = run(&[json!({"what": "SYNC", "wall-ns": 1}), json!({"what": "GO"})]).expect("legal");
    assert_eq!(replies, [Vec::<Value>::new()]);
}

#[test]
fn a_message_is_sent_to_its_destination_and_its_outcome_is_applied() {
    let mut lines = start_lines(3, conf());
    lines.push(order(3, 77, 58));
    lines.push(json!({"what": "GO"}));
    lines.push(json!({"what": "SYNC", "wall-ns": 9_100_000_000u64}));
    lines.push(json!({"what": "DONE", "courier-id": 3, "job": 77, "endpoint": "10.0.0.2:1", "how": 10,
        "send-no": 0, "took-ns": 90_000_000, "last": true, "pressure": {"x0": 0.4, "x1": 9.0}, "new": 1}));
    lines.push(json!({"what": "DONE", "courier-id": 3, "job": 999, "endpoint": "10.0.0.2:1", "how": 40,
        "send-no": 0, "took-ns": 90_000_000}));
    lines.push(json!({"what": "GO"}));
    let replies = run(&lines).expect("legal");
    let sends = only(&replies[0], "SUBMIT_TO");
    assert_eq!(sends.len(), 1);
    assert_eq!((&sends[0]["job"], &sends[0]["endpoint"]), (&json!(77), &json!("10.0.0.2:1")));
    assert_eq!(only(&replies[0], "SUBSCRIBE").len(), 1);
    assert!(only(&replies[1], "SUBMIT_TO").is_empty() && only(&replies[1], "REPORT_FAILURE").is_empty());
}

#[test]
fn table_numbers_are_resolved_in_order_within_a_batch() {
    let mut lines = start_lines(3, conf());
    lines.push(json!({"what": "TABLE", "buffer": 0, "elements": [
        {"endpoint": "10.0.0.9:1", "zone": 0, "sku": 0, "destination": 60, "state": 1, "rating": 9}]}));
    lines.push(json!({"what": "DIRECTORY_UPDATE", "courier-id": 3, "kind": 0, "revision": 2, "buffer": 0}));
    lines.push(order(3, 1, 57));
    lines.push(order(3, 2, 60));
    lines.push(json!({"what": "GO"}));
    let replies = run(&lines).expect("legal");
    let to: Vec<_> = only(&replies[0], "SUBMIT_TO").iter().map(|s| s["endpoint"].clone()).collect();
    assert_eq!(to, [json!("10.0.0.1:1"), json!("10.0.0.9:1")]);
}

#[test]
fn a_restart_in_one_batch_starts_without_state() {
    let mut lines = start_lines(3, conf());
    lines.push(order(3, 1, 57));
    lines.push(json!({"what": "EXIT", "courier-id": 3}));
    lines.extend(start_lines(3, conf()).into_iter().skip(1));
    lines.push(json!({"what": "GO"}));
    let replies = run(&lines).expect("legal");
    assert!(only(&replies[0], "SUBMIT_TO").is_empty());
    assert_eq!(only(&replies[0], "SUBSCRIBE").len(), 1);
}

#[test]
fn invalid_settings_are_reported_as_a_bug() {
    for (path, value) in
        [("/family-info/slots", json!(0)), ("/lanes/0/aim-ns", json!(-1)), ("/lanes", json!([]))]
    {
        let mut bad = conf();
        *bad.pointer_mut(path).expect("a key of the settings") = value;
        let mut lines = start_lines(3, bad);
        lines.push(json!({"what": "GO"}));
        let replies = run(&lines).expect("legal");
        assert_eq!(only(&replies[0], "BUG").len(), 1, "{path}");
    }
}

#[test]
fn malformed_input_stops_the_adapter_with_the_line_number() {
    let go = json!({"what": "GO"}).to_string();
    let mut started: Vec<String> = start_lines(3, conf()).iter().map(Value::to_string).collect();
    started.push(go);
    for (bad, fault) in [
        ("{nonsense".to_owned(), ""),
        (json!({"what": "SOMETHING"}).to_string(), "SOMETHING"),
        (json!({"what": "SYNC"}).to_string(), "wall-ns"),
        (json!({"what": "SYNC", "wall-ns": "x"}).to_string(), "invalid type"),
        (json!({"what": "ELAPSED", "courier-id": 8, "name": "1"}).to_string(), "unknown instance 8"),
        (order(3, 5, 57).to_string().replace("\"kind\":0", "\"kind\":7"), "class 7 is not listed"),
    ] {
        let text = format!("{}\n{bad}\n", started.join("\n"));
        let error = run_input(&text).expect_err(&bad);
        assert!(error.starts_with(&format!("line {}: ", started.len() + 1)), "{error}");
        assert!(error.contains(fault), "{error}");
    }
}
