//! Tables as the documentation has them.

/// Returns the head of a table with these columns.
pub fn table_head(columns: &[&str]) -> String {
    let rule = vec!["---"; columns.len()];
    format!("{}\n{}", table_row(columns), table_row(&rule))
}

/// Returns a row.
pub fn table_row<T: AsRef<str>>(cells: &[T]) -> String {
    let cells: Vec<_> = cells.iter().map(AsRef::as_ref).collect();
    format!("| {} |", cells.join(" | "))
}
