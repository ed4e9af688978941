//! What memory is held for.

use serde::Serialize;
use std::fmt;
use std::ops::{Index, IndexMut};

/// What memory is held for. Each has an account of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Bodies that are being read or judged.
    BodiesRead,
    /// Bodies of accepted messages, until they have ended.
    BodiesHeld,
    /// All else of accepted messages: heads, ids, their rows in journal, decision module and owner.
    Messages,
    /// Connections of clients.
    Clients,
    /// Connections to endpoints.
    Endpoints,
    /// MQTT sessions, and outcomes that their clients have not read.
    Sessions,
    /// Ids of messages that have ended.
    Remembered,
    /// The journal's buffers and its own tables.
    Journal,
    /// The decision module's records of endpoints and destinations, and their charts.
    Module,
    /// Names and configuration.
    Configuration,
    /// Notices of outcomes that wait for their receiver.
    Notices,
}

impl Purpose {
    pub const ALL: [Purpose; 11] = [
        Purpose::BodiesRead,
        Purpose::BodiesHeld,
        Purpose::Messages,
        Purpose::Clients,
        Purpose::Endpoints,
        Purpose::Sessions,
        Purpose::Remembered,
        Purpose::Journal,
        Purpose::Module,
        Purpose::Configuration,
        Purpose::Notices,
    ];

    /// As the operator's file and the pages have it.
    pub const fn name(self) -> &'static str {
        match self {
            Purpose::BodiesRead => "bodies_read",
            Purpose::BodiesHeld => "bodies_held",
            Purpose::Messages => "messages",
            Purpose::Clients => "clients",
            Purpose::Endpoints => "endpoints",
            Purpose::Sessions => "sessions",
            Purpose::Remembered => "remembered",
            Purpose::Journal => "journal",
            Purpose::Module => "module",
            Purpose::Configuration => "configuration",
            Purpose::Notices => "notices",
        }
    }

    /// As a client is told: "no memory for ...".
    pub const fn words(self) -> &'static str {
        match self {
            Purpose::BodiesRead => "bodies that are being read",
            Purpose::BodiesHeld => "bodies of messages",
            Purpose::Messages => "messages",
            Purpose::Clients => "connections of clients",
            Purpose::Endpoints => "connections to endpoints",
            Purpose::Sessions => "sessions",
            Purpose::Remembered => "messages that have ended",
            Purpose::Journal => "the journal",
            Purpose::Module => "endpoints",
            Purpose::Configuration => "the configuration",
            Purpose::Notices => "notices",
        }
    }

    /// Whether it is taken for something new. The rest serves what was accepted, or answers that nothing new is: it goes
    /// on when the process holds as much as it may.
    pub const fn is_new_work(self) -> bool {
        use Purpose::*;
        matches!(self, BodiesRead | BodiesHeld | Messages | Sessions | Configuration)
    }

    pub fn named(name: &str) -> Option<Purpose> {
        Purpose::ALL.into_iter().find(|p| p.name() == name)
    }
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One value for each purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByPurpose<T>([T; Purpose::ALL.len()]);

impl<T> ByPurpose<T> {
    pub fn new(of: impl FnMut(Purpose) -> T) -> Self {
        ByPurpose(Purpose::ALL.map(of))
    }

    pub fn iter(&self) -> impl Iterator<Item = (Purpose, &T)> {
        Purpose::ALL.into_iter().zip(&self.0)
    }
}

impl<T> Index<Purpose> for ByPurpose<T> {
    type Output = T;

    fn index(&self, purpose: Purpose) -> &T {
        &self.0[purpose as usize]
    }
}

impl<T> IndexMut<Purpose> for ByPurpose<T> {
    fn index_mut(&mut self, purpose: Purpose) -> &mut T {
        &mut self.0[purpose as usize]
    }
}
