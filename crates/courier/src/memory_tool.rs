//! `stairshed memory`: memory use of a running courier, by purpose.

use serde_json::Value;
use stairshed_courier::admin_client;
use stairshed_memory::caps::Bytes;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Prints a courier's memory use: once, or every `watch` interval until interrupted.
///
/// # Errors
/// The courier does not answer, or its answer is not JSON.
pub fn memory(
    admin: SocketAddr,
    watch: Option<Duration>,
    json: bool,
    out: &mut impl Write,
) -> io::Result<()> {
    loop {
        let text = admin_client::get(admin, "/-/memory")?;
        if json {
            out.write_all(text.as_bytes())?;
        } else {
            let page: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
            out.write_all(table(&page).as_bytes())?;
        }
        let Some(interval) = watch else { return Ok(()) };
        out.flush()?;
        thread::sleep(interval);
    }
}

/// A number of bytes with its unit; `-` if there is none.
fn format_bytes(value: &Value) -> String {
    match (value.as_u64(), value.as_i64()) {
        (Some(n), _) => Bytes(n).to_string(),
        (None, Some(n)) => format!("-{}", Bytes(n.unsigned_abs())),
        (None, None) => "-".to_owned(),
    }
}

/// Renders the page as text: a line for the process, one per purpose, and one per reason for which
/// connections were rejected.
fn table(page: &Value) -> String {
    let mut text = format!(
        "{}: resident {} of {}, allocated {}, free in the allocator {}, accounted {}, unaccounted {}; {} clients\n",
        page["level"].as_str().unwrap_or("?"),
        format_bytes(&page["resident"]),
        format_bytes(&page["total"]),
        format_bytes(&page["allocated"]),
        format_bytes(&page["free"]),
        format_bytes(&page["accounted"]),
        format_bytes(&page["unaccounted"]),
        page["clients"],
    );
    let head = ["purpose", "in use", "reserved", "cap", "most", "empties/s", "level", "refused", "by share"];
    let mut rows = vec![head.map(str::to_owned)];
    for value in page["purposes"].as_array().into_iter().flatten() {
        let count = |key: &str| value[key].as_u64().unwrap_or_default();
        rows.push([
            value["purpose"].as_str().unwrap_or("?").to_owned(),
            format_bytes(&value["in_use"]),
            format_bytes(&value["reserved"]),
            format_bytes(&value["cap"]),
            format_bytes(&value["most"]),
            format_bytes(&value["empties"]),
            value["level"].as_str().unwrap_or("?").to_owned(),
            (count("refused_cap") + count("refused_share") + count("refused_total")).to_string(),
            count("refused_share").to_string(),
        ]);
    }
    for row in rows {
        let [purpose, columns @ ..] = row;
        let cells: String = columns.iter().map(|cell| format!(" {cell:>10}")).collect();
        text += &format!("{purpose:<15}{cells}\n");
    }
    for (reason, value) in page["turned_away"].as_object().into_iter().flatten() {
        let (told, silent, untold) = (&value["told"], &value["silent"], &value["untold"]);
        text +=
            &format!("connections turned away, {reason}: {told} told, {silent} silent, {untold} untold\n");
    }
    text
}

#[cfg(test)]
#[path = "memory_tool_test.rs"]
mod tests;
