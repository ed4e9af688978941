//! State of other parts of the courier that must survive a restart, stored in the journal by key.

use super::Dispatcher;
use super::held_message::DeferredAction;
use crate::events::StateUpdate;
use stairshed_journal::{Note, Refusal};
use tokio::time::Instant;

impl Dispatcher {
    /// The stored state whose keys have this prefix: keys without the prefix, and values.
    pub(super) fn states_with_prefix(&self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        let of = self
            .journal
            .notes()
            .filter_map(|(_, note)| Some((note.key.strip_prefix(prefix)?.to_owned(), note.value.clone())));
        of.collect()
    }

    /// Loads the record numbers of all stored state.
    pub(super) fn load_state_numbers(&mut self) {
        self.state_numbers = self.journal.notes().map(|(number, note)| (note.key.clone(), number)).collect();
    }

    /// Stores a value under a key, replacing the previous one, without checking the journal's free space.
    pub(super) fn put_state(&mut self, key: &str, value: bytes::Bytes) {
        let number = *self.state_numbers.entry(key.to_owned()).or_insert(self.acceptance.next);
        self.acceptance.next = self.acceptance.next.max(number + 1);
        self.journal.store_note(number, Note { key: key.to_owned(), value });
    }

    /// Deletes the value under a key, if there is one.
    pub(super) fn delete_state(&mut self, key: &str) {
        if let Some(number) = self.state_numbers.remove(key) {
            self.journal.record_end(number);
        }
    }

    /// Stores or deletes state of the ingress, and tells it once that is durable.
    pub(super) fn store_state(&mut self, update: StateUpdate) {
        let StateUpdate { token, key, value } = update;
        let fits = match &value {
            _ if self.records.disk_failed.is_some() => Err(Refusal::DiskUnreliable),
            Some(value) => self.journal.can_store_note((key.len() + value.len()) as u64),
            None => Ok(()),
        };
        let Some(ingress) = self.ingress.clone() else { return };
        if let Err(why) = fits {
            return ingress.on_stored(token, Err(why));
        }
        match value {
            Some(value) => {
                // The value may contain times.
                self.ensure_clock_record();
                self.update_clock_record(Instant::now());
                self.put_state(&key, value);
            }
            None => self.delete_state(&key),
        }
        match self.flush_journal() {
            true => self.run_when_durable(self.journal.last_seq(), DeferredAction::ConfirmState { token }),
            false => ingress.on_stored(token, Err(Refusal::DiskUnreliable)),
        }
    }
}
