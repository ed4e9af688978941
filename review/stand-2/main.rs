//! The cases of the second review: `review-2 NAME` runs one.

#![allow(dead_code)]

mod busy;
mod common;
mod endpoint;
mod moved;
mod receiver;
mod renumbered;
mod stricter;
mod window;
mod zone;

fn main() {
    common::limit_time();
    let name = std::env::args().nth(1).unwrap_or_default();
    let code = match name.as_str() {
        "busy" => busy::run(),
        "moved" => moved::run(),
        "receiver" => receiver::run(),
        "renumbered" => renumbered::run(),
        "stricter" => stricter::run(),
        "window" => window::run(),
        "zone" => zone::run(),
        other => common::no_run(&format!("no case {other:?}")),
    };
    common::end_processes();
    std::process::exit(code);
}
