//! `stairshed memory`: what a running courier holds, by purpose.

use serde_json::Value;
use stairshed_courier::admin_client;
use stairshed_memory::caps::Bytes;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Prints a courier's memory, again and again if `watch` says so.
///
/// # Errors
/// The courier does not answer, or with something else.
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
        let Some(span) = watch else { return Ok(()) };
        out.flush()?;
        thread::sleep(span);
    }
}

fn bytes(of: &Value) -> String {
    match (of.as_u64(), of.as_i64()) {
        (Some(n), _) => Bytes(n).to_string(),
        (None, Some(n)) => format!("-{}", Bytes(n.unsigned_abs())),
        (None, None) => "-".to_owned(),
    }
}

/// The page as a table: a line for the process, one for each purpose, and one for each reason for which connections
/// were turned away.
fn table(page: &Value) -> String {
    let mut text = format!(
        "{}: resident {} of {}, allocated {}, free in the allocator {}, accounted {}, unaccounted {}; {} clients\n",
        page["level"].as_str().unwrap_or("?"),
        bytes(&page["resident"]),
        bytes(&page["total"]),
        bytes(&page["allocated"]),
        bytes(&page["free"]),
        bytes(&page["accounted"]),
        bytes(&page["unaccounted"]),
        page["clients"],
    );
    let head =
        ["purpose", "in use", "reserved", "cap", "most", "empties/s", "level", "refused", "of it by share"];
    let mut rows = vec![head.map(str::to_owned)];
    for of in page["purposes"].as_array().into_iter().flatten() {
        let count = |key: &str| of[key].as_u64().unwrap_or_default();
        rows.push([
            of["purpose"].as_str().unwrap_or("?").to_owned(),
            bytes(&of["in_use"]),
            bytes(&of["reserved"]),
            bytes(&of["cap"]),
            bytes(&of["most"]),
            bytes(&of["empties"]),
            of["level"].as_str().unwrap_or("?").to_owned(),
            (count("refused_cap") + count("refused_share") + count("refused_total")).to_string(),
            count("refused_share").to_string(),
        ]);
    }
    for row in rows {
        let [purpose, rest @ ..] = row;
        let cells: String = rest.iter().map(|cell| format!(" {cell:>10}")).collect();
        text += &format!("{purpose:<15}{cells}\n");
    }
    for (reason, of) in page["turned_away"].as_object().into_iter().flatten() {
        let (told, silent, untold) = (&of["told"], &of["silent"], &of["untold"]);
        text +=
            &format!("connections turned away, {reason}: {told} told, {silent} silent, {untold} untold\n");
    }
    text
}

#[cfg(test)]
#[path = "memory_tool_test.rs"]
mod tests;
