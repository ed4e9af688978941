use super::table;
use serde_json::json;

#[test]
fn the_table_has_one_line_for_each_operation_and_error() {
    let page = json!({"errors": [
        {"operation": "accept", "errno": "EMFILE", "count": 12, "seconds_ago": 1.25, "policy": "waits"},
        {"operation": "journal write", "errno": "ENOSPC", "count": 1, "seconds_ago": 60.0, "policy": "refuses"},
    ]});
    let text = table(&page);
    let lines: Vec<Vec<&str>> = text.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert_eq!(lines[1], ["accept", "EMFILE", "12", "1.2", "waits"]);
    assert_eq!(lines[2], ["journal", "write", "ENOSPC", "1", "60.0", "refuses"]);
}
