use super::*;
use serde_json::json;

#[test]
fn each_purpose_has_a_row_with_its_figures() {
    let page = json!({"level": "tight", "resident": 31_000_000, "total": 32_000_000, "allocated": 20_000_000,
        "free": 1_500, "accounted": 20_500_000, "unaccounted": -500_000, "clients": 3,
        "turned_away": {"share-clients": {"told": 12, "silent": 3, "untold": 0}}, "purposes": [
        {"purpose": "bodies_held", "in_use": 6_000_000, "reserved": 0, "cap": 7_200_000, "most": 7_100_000,
         "empties": 1200, "level": "tight", "refused_cap": 2, "refused_share": 3, "refused_total": 0},
        {"purpose": "notices", "in_use": 0, "reserved": 0, "cap": null, "most": 0, "empties": 0,
         "level": "ample", "refused_cap": 0, "refused_share": 0, "refused_total": 0}]});
    let text = table(&page);
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("tight: resident 31 MB of 32 MB"), "{text}");
    assert!(lines[0].contains("unaccounted -500 kB; 3 clients"), "{text}");
    let cells: Vec<&str> = lines[2].split_whitespace().collect();
    assert_eq!(cells[..3], ["bodies_held", "6.0", "MB"]);
    assert!(lines[2].ends_with("5          3") && lines[3].contains(" - "), "{text}");
    assert_eq!(lines[4], "connections turned away, share-clients: 12 told, 3 silent, 0 untold");
    assert_eq!(lines.len(), 5);
}
