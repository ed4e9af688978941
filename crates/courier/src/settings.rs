//! The operator's file (TOML): what the platform does not tell. `deploy/stairshed.example.toml` shows every
//! key with its default; a file may leave out any.

use bytesize::ByteSize;
use serde::Deserialize;
use stairshed_journal::{Durability, OnDamage, Options};
use std::fs;
use std::path::{Path, PathBuf};

/// Why the operator's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{}: {why}", file.display())]
    Unread { file: PathBuf, why: std::io::Error },
    /// The text names line, column and key.
    #[error("{}: {why}", file.display())]
    Bad { file: PathBuf, why: String },
}

/// All settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    pub journal: Journal,
}

/// `[journal]`
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Journal {
    /// When a record counts as kept: `process` or `machine`.
    pub durability: Durability,
    /// What all files may take; without it the platform's `disk_mb`.
    pub room: Option<ByteSize>,
    /// A segment; without it a share of the room.
    pub segment: Option<ByteSize>,
    /// Sets room aside on the disk for what accepted messages may still need.
    pub set_aside: bool,
    /// Bytes of an endpoint's and its zone's name for which room is kept in each attempt.
    pub names: u64,
    /// Share of the room that live messages may take with all that they may still need, above 0, 0.9 at most.
    pub live_share: f64,
    /// What a start does with a journal of which a part cannot be read: `salvage` or `stop`.
    pub on_damage: OnDamage,
}

impl Default for Journal {
    fn default() -> Self {
        let usual = Options::new(0);
        Journal {
            durability: usual.durability,
            room: None,
            segment: None,
            set_aside: usual.set_aside,
            names: usual.names,
            live_share: usual.live_share,
            on_damage: usual.on_damage,
        }
    }
}

impl Journal {
    /// The journal's options, with `room` bytes where the file tells none.
    pub fn options(&self, room: u64, attempts: u64) -> Options {
        let room = self.room.map_or(room, |room| room.as_u64());
        Options {
            segment: self.segment.map(|segment| segment.as_u64()),
            durability: self.durability,
            set_aside: self.set_aside,
            attempts,
            names: self.names,
            live_share: self.live_share,
            on_damage: self.on_damage,
            ..Options::new(room)
        }
    }
}

impl Settings {
    /// Reads the file, or gives the defaults where none is named.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn read(file: Option<&Path>) -> Result<Self, Error> {
        let Some(file) = file else { return Ok(Settings::default()) };
        let text = fs::read_to_string(file).map_err(|why| Error::Unread { file: file.to_owned(), why })?;
        Self::parse(&text).map_err(|why| Error::Bad { file: file.to_owned(), why })
    }

    fn parse(text: &str) -> Result<Self, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
        let share = settings.journal.live_share;
        if !(share > 0.0 && share <= 0.9) {
            return Err(format!("journal.live_share: {share} is not above 0 and 0.9 at most"));
        }
        if settings.journal.names > 1024 {
            return Err("journal.names: 1024 at most".to_owned());
        }
        Ok(settings)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_example_shows_every_key_with_its_default() {
        let example = include_str!("../../../deploy/stairshed.example.toml");
        let lines = example.lines().map(|l| l.strip_prefix("#= ").unwrap_or(l));
        let all = lines.collect::<Vec<_>>().join("\n");
        let read = Settings::parse(&all).expect("the example is sound");
        let usual = Journal::default();
        let j = &read.journal;
        assert_eq!((j.durability, j.set_aside, j.names), (usual.durability, usual.set_aside, usual.names));
        assert_eq!((j.live_share, j.on_damage), (usual.live_share, usual.on_damage));
        assert!(j.room.is_some() && j.segment.is_some(), "those without a default are shown, too");
    }

    #[test]
    fn errors_name_the_line_and_the_key() {
        for (text, named) in [
            ("[journal]\nroom = \"3 apples\"", "line 2"),
            ("[journal]\nrooms = \"3MB\"", "rooms"),
            ("[journal]\nlive_share = 1.0", "journal.live_share"),
            ("[journal]\ndurability = \"always\"", "always"),
            ("[jornal]", "jornal"),
        ] {
            let why = Settings::parse(text).expect_err(text);
            assert!(why.contains(named), "{text}: {why}");
        }
    }
}
