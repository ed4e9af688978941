//! The configuration of an installation, from the operator's file or from numbered versions sent by a control
//! service. This crate parses text only; it uses no files, sockets or clocks.
//!
//! The modules, each after those that it builds on:
//!
//! - [`problem`]: errors with file, line, column, key and the nearest valid name.
//! - [`tree`]: a TOML or JSON document with the position of each value.
//! - [`decode`]: decodes a tree into types and reports all errors at once.
//! - [`units`], [`answers`], [`file`](mod@file): the types of the file, with defaults and a JSON schema.
//! - [`route`]: finds the route of a request, or the reason why there is none.
//! - [`topic`]: MQTT topic names and filters; maps a topic to a pool, a class and a path.
//! - [`installation`]: the validated configuration, in the courier's own terms.
//! - [`change`], [`classes`]: what a new configuration changes, and the classes that held messages keep.
//! - [`lines`]: splits byte streams into lines.
//! - [`version`]: numbered versions: which one is being applied, acknowledged or refused.
//! - [`report`]: the effective configuration with the source of each value, and differences.

pub mod answers;
pub mod change;
pub mod classes;
pub mod decode;
pub mod file;
pub mod installation;
pub mod lines;
pub mod problem;
pub mod report;
pub mod route;
pub mod topic;
pub mod tree;
pub mod units;
pub mod version;

pub use file::File;
pub use installation::{Installation, load};
pub use problem::{Problem, Problems};
