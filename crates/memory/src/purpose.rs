//! The purposes that memory is accounted by.

use serde::Serialize;
use std::fmt;
use std::ops::{Index, IndexMut};

/// What memory is held for. Each purpose has its own account and cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Message bodies that are being read or wait for the decision to accept them.
    BodiesRead,
    /// Bodies of accepted messages, until the messages end.
    BodiesHeld,
    /// Everything else of accepted messages: headers, ids, and their entries in journal, decision module and
    /// dispatcher.
    Messages,
    /// Client connections.
    Clients,
    /// Connections to endpoints.
    Endpoints,
    /// MQTT sessions, and outcomes that their clients have not read yet.
    Sessions,
    /// Ids of ended messages, kept to recognise duplicates.
    Remembered,
    /// The journal's buffers and tables.
    Journal,
    /// The decision module's records of endpoints and destinations, and their occupancy charts.
    Module,
    /// The configuration and its names.
    Configuration,
    /// Notices of outcomes that have not been delivered yet.
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

    /// Name in the settings file and on the admin pages.
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

    /// Text in messages to clients: "no memory for ...".
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

    /// Whether the memory serves new work. The other purposes serve accepted messages or the answers that
    /// reject new ones, so they are still granted when the process has reached its limit.
    pub const fn is_new_work(self) -> bool {
        use Purpose::*;
        matches!(self, BodiesRead | BodiesHeld | Messages | Sessions | Configuration)
    }

    /// The purpose of this name, if there is one.
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
