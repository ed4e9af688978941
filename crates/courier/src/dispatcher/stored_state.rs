//! State of other parts of the courier that outlasts the process: kept in the journal under a key each.

use super::Dispatcher;
use super::held_message::Waiting;
use crate::events::StateUpdate;
use stairshed_journal::{Note, Refusal};

impl Dispatcher {
    /// Keys of the notes with this prefix, without it, and their values.
    pub(super) fn notes_under(&self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        let of = self
            .journal
            .notes()
            .filter_map(|(_, note)| Some((note.key.strip_prefix(prefix)?.to_owned(), note.value.clone())));
        of.collect()
    }

    pub(super) fn resume_notes(&mut self) {
        self.notes = self.journal.notes().map(|(number, note)| (note.key.clone(), number)).collect();
    }

    /// Puts a note in its place, whatever else the journal holds.
    pub(super) fn note(&mut self, key: &str, value: bytes::Bytes) {
        let number = *self.notes.entry(key.to_owned()).or_insert(self.taking.next);
        self.taking.next = self.taking.next.max(number + 1);
        self.journal.note(number, Note { key: key.to_owned(), value });
    }

    pub(super) fn erase(&mut self, key: &str) {
        if let Some(number) = self.notes.remove(key) {
            self.journal.end(number);
        }
    }

    /// Puts a front's state on record, or takes it off; the front hears of it once it is kept.
    pub(super) fn store(&mut self, store: StateUpdate) {
        let StateUpdate { token, key, value } = store;
        let fits = match &value {
            _ if self.records.disk_failed.is_some() => Err(Refusal::DiskFails),
            Some(value) => self.journal.fits_note((key.len() + value.len()) as u64),
            None => Ok(()),
        };
        let Some(front) = self.front.clone() else { return };
        if let Err(why) = fits {
            return front.on_stored(token, Err(why));
        }
        match value {
            Some(value) => self.note(&key, value),
            None => self.erase(&key),
        }
        match self.settle() {
            true => self.when_kept(self.journal.last_seq(), Waiting::Stored { token }),
            false => front.on_stored(token, Err(Refusal::DiskFails)),
        }
    }
}
