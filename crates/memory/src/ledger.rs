//! The books: one account a purpose, guards over what each holds, and what each client has of it.

use crate::Time;
use crate::caps::Caps;
use crate::level::{FULL_THRESHOLDS, Level, LevelChange, TIGHT_THRESHOLDS};
use crate::purpose::{ByPurpose, Purpose};
use crate::reason::Reason;
use crate::release_rate::{MIN_UPDATE_INTERVAL, ReleaseRate};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, Ipv6Addr};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Who holds something, as far as clients are told apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Client {
    Address(IpAddr),
    /// A client with a name of its own: an MQTT user with its client id.
    Name(Rc<str>),
}

impl Client {
    /// A client at an address. Of IPv6 the network counts: one machine has all addresses of a /64.
    pub fn at(address: IpAddr) -> Client {
        Client::Address(match address.to_canonical() {
            IpAddr::V6(v6) => IpAddr::V6(Ipv6Addr::from(u128::from(v6) >> 64 << 64)),
            v4 => v4,
        })
    }
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The purpose is at its cap.
    Cap,
    /// The purpose is tight, and this client has more of it than its share.
    Share,
    /// The process holds as much as it may, whatever the purposes say.
    Total,
}

/// No room for something new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub purpose: Purpose,
    pub why: RefusalCause,
    /// Bytes that were asked for.
    pub bytes: u64,
}

/// For the client, whose business the courier's figures are not.
impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let words = self.purpose.words();
        match self.why {
            RefusalCause::Cap => write!(f, "no memory for {words}"),
            RefusalCause::Share => write!(f, "this client has its share of the memory for {words}"),
            RefusalCause::Total => write!(f, "no memory for anything new"),
        }
    }
}

impl Refused {
    /// The reason as one word, for a header: `memory-bodies_held`, `share-clients`, `memory-total`.
    pub fn reason(&self) -> Reason {
        match self.why {
            RefusalCause::Cap => Reason::Memory(self.purpose),
            RefusalCause::Share => Reason::Share(self.purpose),
            RefusalCause::Total => Reason::Total,
        }
    }
}

#[derive(Default)]
struct Account {
    used: Cell<u64>,
    reserved: Cell<u64>,
    cap: Cell<u64>,
    /// The most that was held at once.
    most: Cell<u64>,
    /// Bytes given back since the beginning.
    emptied: Cell<u64>,
    /// What was put on the books beyond the cap, since it was there already.
    forced: Cell<u64>,
    refused: [Cell<u64>; 3],
    level: Cell<Level>,
    release_rate: RefCell<ReleaseRate>,
}

fn add(cell: &Cell<u64>, bytes: u64) {
    cell.set(cell.get() + bytes);
}

fn sub(cell: &Cell<u64>, bytes: u64) {
    debug_assert!(cell.get() >= bytes, "given back twice");
    cell.set(cell.get().saturating_sub(bytes));
}

impl Account {
    fn held(&self) -> u64 {
        self.used.get() + self.reserved.get()
    }

    fn rise(&self) {
        self.most.set(self.most.get().max(self.held()));
    }

    fn share(&self) -> f64 {
        self.held() as f64 / self.cap.get() as f64
    }
}

/// What one client holds. Off the books with its last guest.
struct Row {
    held: ByPurpose<Cell<u64>>,
    client: Client,
    books: Weak<Books>,
}

impl Drop for Row {
    fn drop(&mut self) {
        let Some(books) = self.books.upgrade() else { return };
        let mut clients = books.clients.borrow_mut();
        // The client may have come back since: its row is another.
        if clients.get(&self.client).is_some_and(|row| row.strong_count() == 0) {
            clients.remove(&self.client);
        }
    }
}

struct Books {
    accounts: ByPurpose<Account>,
    total: Cell<Option<u64>>,
    /// Share of a cap that one client may have while the purpose is tight; 1 for all of it.
    share: Cell<f64>,
    clients: RefCell<HashMap<Client, Weak<Row>>>,
    /// What the process holds, as last told, and its level.
    resident: Cell<u64>,
    level: Cell<Level>,
    ticked: Cell<Time>,
}

/// The ledger. Copies of it are the same one; for one thread.
#[derive(Clone)]
pub struct Ledger(Rc<Books>);

/// A client while it is connected, or while something of its is held.
#[derive(Clone)]
pub struct ClientAccount(Rc<Row>);

/// How an account stands.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PurposeUsage {
    pub purpose: Purpose,
    pub in_use: u64,
    pub reserved: u64,
    /// None where there is none.
    pub cap: Option<u64>,
    pub most: u64,
    /// Held beyond the cap because it was there already: taken over at a start, or measured and not asked for.
    pub forced: u64,
    pub level: Level,
    /// Refusals since the start: at the cap, by a client's share, for the process as a whole.
    pub refused_cap: u64,
    pub refused_share: u64,
    pub refused_total: u64,
    /// Bytes a second that it gives back.
    pub empties: u64,
}

impl Ledger {
    /// `share` is what one client may have of a cap while its purpose is tight, above 0 and 1 at most.
    pub fn new(caps: &Caps, share: f64) -> Ledger {
        let ledger = Ledger(Rc::new(Books {
            accounts: ByPurpose::new(|_| Account::default()),
            total: Cell::new(None),
            share: Cell::new(1.0),
            clients: RefCell::default(),
            resident: Cell::new(0),
            level: Cell::default(),
            ticked: Cell::new(Time::ZERO),
        }));
        ledger.set_caps(caps, share);
        ledger
    }

    /// Other caps from now on. Nothing is dropped: what holds more than it may refuses what is new until it fits.
    pub fn set_caps(&self, caps: &Caps, share: f64) {
        for (purpose, cap) in caps.of.iter() {
            self.0.accounts[purpose].cap.set(*cap);
        }
        self.0.total.set(caps.total);
        self.0.share.set(share);
    }

    /// The client's guest, the same row for all connections of one client.
    pub fn client_account(&self, client: Client) -> ClientAccount {
        let mut clients = self.0.clients.borrow_mut();
        let known = clients.get(&client).and_then(Weak::upgrade);
        ClientAccount(known.unwrap_or_else(|| {
            let (books, held) = (Rc::downgrade(&self.0), ByPurpose::default());
            let row = Rc::new(Row { held, client: client.clone(), books });
            clients.insert(client, Rc::downgrade(&row));
            row
        }))
    }

    /// Clients that hold something or are connected.
    pub fn clients(&self) -> usize {
        self.0.clients.borrow().len()
    }

    /// Whether `bytes` more would fit; counted as a refusal if not.
    ///
    /// # Errors
    /// Why not.
    pub fn check_room(
        &self,
        purpose: Purpose,
        bytes: u64,
        guest: Option<&ClientAccount>,
    ) -> Result<(), Refused> {
        let account = &self.0.accounts[purpose];
        let (cap, after) = (account.cap.get(), account.held().saturating_add(bytes));
        let crowds = |guest: &ClientAccount| {
            let most = cap as f64 * self.0.share.get();
            after as f64 > cap as f64 * TIGHT_THRESHOLDS.1
                && (guest.0.held[purpose].get() + bytes) as f64 > most
        };
        let why = match guest {
            _ if self.0.level.get() == Level::Full && purpose.is_new_work() => RefusalCause::Total,
            _ if after > cap => RefusalCause::Cap,
            Some(guest) if cap < u64::MAX && crowds(guest) => RefusalCause::Share,
            _ => return Ok(()),
        };
        add(&account.refused[why as usize], 1);
        Err(Refused { purpose, why, bytes })
    }

    /// Takes memory for something new.
    ///
    /// # Errors
    /// There is no room; nothing is taken then.
    pub fn try_charge(
        &self,
        purpose: Purpose,
        bytes: u64,
        guest: Option<&ClientAccount>,
    ) -> Result<Charge, Refused> {
        self.check_room(purpose, bytes, guest)?;
        Ok(self.charge(purpose, bytes, guest))
    }

    /// Sets memory aside for what may still be needed.
    ///
    /// # Errors
    /// There is no room; nothing is set aside then.
    pub fn reserve(&self, purpose: Purpose, bytes: u64) -> Result<Reserve, Refused> {
        self.check_room(purpose, bytes, None)?;
        Ok(self.set_aside(purpose, bytes))
    }

    /// Puts on the books what is there already, or cannot be refused: what an earlier life has accepted, what is
    /// measured.
    pub fn force_charge(&self, purpose: Purpose, bytes: u64) -> Charge {
        let account = &self.0.accounts[purpose];
        let charge = self.charge(purpose, bytes, None);
        let over = account.held().saturating_sub(account.cap.get()).min(bytes);
        add(&account.forced, over);
        charge
    }

    /// The same as a reserve.
    pub fn force_reserve(&self, purpose: Purpose, bytes: u64) -> Reserve {
        self.set_aside(purpose, bytes)
    }

    fn charge(&self, purpose: Purpose, bytes: u64, guest: Option<&ClientAccount>) -> Charge {
        let account = &self.0.accounts[purpose];
        add(&account.used, bytes);
        account.rise();
        if let Some(guest) = guest {
            add(&guest.0.held[purpose], bytes);
        }
        Charge { ledger: self.clone(), purpose, bytes, guest: guest.cloned() }
    }

    fn set_aside(&self, purpose: Purpose, bytes: u64) -> Reserve {
        let account = &self.0.accounts[purpose];
        add(&account.reserved, bytes);
        account.rise();
        Reserve { ledger: self.clone(), purpose, bytes }
    }

    /// What the process holds all in all, as the system tells it, bytes.
    pub fn set_resident(&self, resident: u64) {
        self.0.resident.set(resident);
    }

    /// Looks at all purposes. Cheap, and more often than each 100 ms of no use.
    pub fn tick(&self, now: Time) -> Vec<LevelChange> {
        let mut changes = Vec::new();
        if now < self.0.ticked.get() + MIN_UPDATE_INTERVAL && self.0.ticked.get() > Time::ZERO {
            return changes;
        }
        self.0.ticked.set(now);
        for (purpose, account) in self.0.accounts.iter() {
            account.release_rate.borrow_mut().update(account.emptied.get(), now);
            let (before, cap) = (account.level.get(), account.cap.get());
            let level = before.next(if cap == u64::MAX { 0.0 } else { account.share() });
            if account.level.replace(level) != level {
                changes.push(LevelChange {
                    purpose: Some(purpose),
                    before,
                    now: level,
                    held: account.held(),
                    cap,
                });
            }
        }
        if let Some(total) = self.0.total.get() {
            let (before, resident) = (self.0.level.get(), self.0.resident.get());
            let level = before.next(resident as f64 / total as f64);
            if self.0.level.replace(level) != level {
                changes.push(LevelChange { purpose: None, before, now: level, held: resident, cap: total });
            }
        } else {
            self.0.level.set(Level::Ample);
        }
        changes
    }

    /// When somebody who was refused may come back: from how fast the purpose empties, and behind those who were
    /// told before.
    pub fn retry_after(&self, refused: &Refused, now: Time) -> Duration {
        let account = &self.0.accounts[refused.purpose];
        let cap = account.cap.get();
        // A client over its share finds room when the purpose is not tight any more, or it has less itself.
        let room = match refused.why {
            RefusalCause::Cap | RefusalCause::Total => cap,
            RefusalCause::Share => (cap as f64 * TIGHT_THRESHOLDS.1) as u64,
        };
        let mut over = account.held().saturating_add(refused.bytes).saturating_sub(room);
        if let (RefusalCause::Total, Some(total)) = (refused.why, self.0.total.get()) {
            over = self
                .0
                .resident
                .get()
                .saturating_sub((total as f64 * FULL_THRESHOLDS.1) as u64)
                .max(refused.bytes);
        }
        account.release_rate.borrow_mut().retry_after(over, refused.bytes, now)
    }

    /// The level of one purpose, as of the last tick.
    pub fn level(&self, purpose: Purpose) -> Level {
        self.0.accounts[purpose].level.get()
    }

    /// The highest level of all, and of the process.
    pub fn max_level(&self) -> Level {
        let all = self.0.accounts.iter().map(|(_, account)| account.level.get());
        all.fold(self.0.level.get(), Level::max)
    }

    /// The level of the process as a whole.
    pub fn process_level(&self) -> Level {
        self.0.level.get()
    }

    /// What the process may hold; None for no bound.
    pub fn total(&self) -> Option<u64> {
        self.0.total.get()
    }

    /// What is in use or reserved for a purpose, bytes.
    pub fn held(&self, purpose: Purpose) -> u64 {
        self.0.accounts[purpose].held()
    }

    pub fn cap(&self, purpose: Purpose) -> u64 {
        self.0.accounts[purpose].cap.get()
    }

    /// Room that is left for a purpose, bytes.
    pub fn room(&self, purpose: Purpose) -> u64 {
        self.cap(purpose).saturating_sub(self.held(purpose))
    }

    /// Bytes in use for all purposes.
    pub fn in_use(&self) -> u64 {
        self.0.accounts.iter().map(|(_, account)| account.used.get()).sum()
    }

    pub fn usage(&self) -> Vec<PurposeUsage> {
        let of = self.0.accounts.iter().map(|(purpose, account)| PurposeUsage {
            purpose,
            in_use: account.used.get(),
            reserved: account.reserved.get(),
            cap: Some(account.cap.get()).filter(|cap| *cap < u64::MAX),
            most: account.most.get(),
            forced: account.forced.get(),
            level: account.level.get(),
            refused_cap: account.refused[0].get(),
            refused_share: account.refused[1].get(),
            refused_total: account.refused[2].get(),
            empties: account.release_rate.borrow().rate() as u64,
        });
        of.collect()
    }
}

/// Memory in use. It goes back when dropped.
pub struct Charge {
    ledger: Ledger,
    purpose: Purpose,
    bytes: u64,
    guest: Option<ClientAccount>,
}

impl Charge {
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    fn account(&self) -> &Account {
        &self.ledger.0.accounts[self.purpose]
    }

    /// Holds this much from now on, whatever the cap says: for what is measured.
    pub fn resize(&mut self, bytes: u64) {
        if bytes > self.bytes {
            add(&self.account().used, bytes - self.bytes);
            self.account().rise();
            if let Some(guest) = &self.guest {
                add(&guest.0.held[self.purpose], bytes - self.bytes);
            }
        } else {
            self.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Holds more.
    ///
    /// # Errors
    /// There is no room; it holds what it did.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Refused> {
        self.ledger.check_room(self.purpose, bytes, self.guest.as_ref())?;
        self.resize(self.bytes + bytes);
        Ok(())
    }

    /// The same memory for another purpose from now on.
    ///
    /// # Errors
    /// There is no room for that; the charge stays as it was.
    pub fn transfer_to(self, purpose: Purpose) -> Result<Charge, (Charge, Refused)> {
        match self.ledger.check_room(purpose, self.bytes, self.guest.as_ref()) {
            Ok(()) => Ok(self.ledger.charge(purpose, self.bytes, self.guest.as_ref())),
            Err(refused) => Err((self, refused)),
        }
    }

    fn give_back(&self, bytes: u64) {
        sub(&self.account().used, bytes);
        add(&self.account().emptied, bytes);
        if let Some(guest) = &self.guest {
            sub(&guest.0.held[self.purpose], bytes);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} B for {}", self.bytes, self.purpose)
    }
}

/// Memory set aside. What is not drawn goes back when dropped.
pub struct Reserve {
    ledger: Ledger,
    purpose: Purpose,
    bytes: u64,
}

impl Reserve {
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes memory into use. More than was set aside is put on the books all the same: what was accepted is not
    /// failed for want of memory.
    pub fn draw(&mut self, bytes: u64) -> Charge {
        let of = bytes.min(self.bytes);
        self.bytes -= of;
        sub(&self.ledger.0.accounts[self.purpose].reserved, of);
        match bytes - of {
            0 => self.ledger.charge(self.purpose, bytes, None),
            _ => self.ledger.force_charge(self.purpose, bytes),
        }
    }
}

impl Drop for Reserve {
    fn drop(&mut self) {
        let account = &self.ledger.0.accounts[self.purpose];
        sub(&account.reserved, self.bytes);
        add(&account.emptied, self.bytes);
    }
}

impl fmt::Debug for Reserve {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} B set aside for {}", self.bytes, self.purpose)
    }
}

#[cfg(test)]
#[path = "ledger_test.rs"]
mod tests;
