//! The scheduler's source is printed for the on-call folder, so its length and width are limited.

#[test]
fn the_module_stays_within_1200_lines_of_110_columns() {
    let text = include_str!("../src/scheduler.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "src/scheduler.rs has {lines} lines that are not blank");
    let wide: Vec<_> = text.lines().filter(|line| line.chars().count() > 110).collect();
    assert!(wide.is_empty(), "over 110 columns: {wide:?}");
}
