//! `stairshed machine`: failed system calls of a running courier.

use serde_json::Value;
use stairshed_courier::admin_client;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Prints the failed system calls of a courier by operation and error number.
///
/// # Errors
/// The courier does not answer, or its answer is not JSON.
pub fn machine(admin: SocketAddr, json: bool, out: &mut impl Write) -> io::Result<()> {
    let text = admin_client::get(admin, "/-/machine")?;
    if json {
        return out.write_all(text.as_bytes());
    }
    let page: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
    out.write_all(table(&page).as_bytes())
}

/// Renders the page as text, one line per operation and error number.
fn table(page: &Value) -> String {
    let mut text =
        format!("{:<18} {:<14} {:>10} {:>12}  policy\n", "operation", "error", "count", "last, s ago");
    for error in page["errors"].as_array().into_iter().flatten() {
        let word = |key: &str| error[key].as_str().unwrap_or("?").to_owned();
        let (count, ago) = (error["count"].as_u64().unwrap_or_default(), &error["seconds_ago"]);
        let (operation, errno, policy) = (word("operation"), word("errno"), word("policy"));
        text += &format!(
            "{operation:<18} {errno:<14} {count:>10} {:>12.1}  {policy}\n",
            ago.as_f64().unwrap_or_default()
        );
    }
    text
}

#[cfg(test)]
#[path = "machine_tool_test.rs"]
mod tests;
