//! The ledger: one account per purpose, guards for the memory held, and the usage of each client.

use crate::Time;
use crate::caps::Caps;
use crate::level::{CLIENT_SHARE_THRESHOLD, FULL_THRESHOLDS, Level, LevelChange};
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

/// Identity of a client that memory is accounted to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Client {
    /// A client known by its address only; for IPv6 by its /64 network.
    Address(IpAddr),
    /// A client with a name: a verified MQTT user, or a name from a trusted proxy.
    Name(Rc<str>),
}

impl Client {
    /// The client at an address. IPv6 addresses are reduced to their /64 network, since one machine can use
    /// all of them.
    pub fn at(address: IpAddr) -> Client {
        Client::Address(match address.to_canonical() {
            IpAddr::V6(v6) => IpAddr::V6(Ipv6Addr::from(u128::from(v6) >> 64 << 64)),
            v4 => v4,
        })
    }
}

/// Why memory was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The request does not fit under the cap of the purpose.
    Cap,
    /// The purpose is tight, and the request exceeds the share of this client.
    Share,
    /// The process has reached its memory limit, whatever the purposes hold.
    Total,
}

/// Error: memory for new work was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub purpose: Purpose,
    pub why: RefusalCause,
    /// Bytes requested.
    pub bytes: u64,
}

/// Text for the client; it leaves out figures of the courier.
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
    /// The machine-readable reason for the header field: `memory-bodies_held`, `share-clients`,
    /// `memory-total`.
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
    /// Peak of the bytes held.
    peak: Cell<u64>,
    /// Total bytes released since the start.
    released: Cell<u64>,
    /// Total bytes charged beyond the cap by `force_charge`.
    forced: Cell<u64>,
    refused: [Cell<u64>; 3],
    level: Cell<Level>,
    release_rate: RefCell<ReleaseRate>,
}

fn add(cell: &Cell<u64>, bytes: u64) {
    cell.set(cell.get() + bytes);
}

fn sub(cell: &Cell<u64>, bytes: u64) {
    debug_assert!(cell.get() >= bytes, "memory released twice");
    cell.set(cell.get().saturating_sub(bytes));
}

impl Account {
    fn held(&self) -> u64 {
        self.used.get() + self.reserved.get()
    }

    fn update_peak(&self) {
        self.peak.set(self.peak.get().max(self.held()));
    }

    fn fraction_used(&self) -> f64 {
        self.held() as f64 / self.cap.get() as f64
    }
}

/// Bytes held by one client. Removed from the ledger with its last [`ClientAccount`].
struct ClientUsage {
    held: ByPurpose<Cell<u64>>,
    client: Client,
    ledger: Weak<LedgerState>,
}

impl Drop for ClientUsage {
    fn drop(&mut self) {
        let Some(ledger) = self.ledger.upgrade() else { return };
        let mut clients = ledger.clients.borrow_mut();
        // The client may have reconnected meanwhile and have another entry.
        if clients.get(&self.client).is_some_and(|usage| usage.strong_count() == 0) {
            clients.remove(&self.client);
        }
    }
}

struct LedgerState {
    accounts: ByPurpose<Account>,
    total: Cell<Option<u64>>,
    /// Fraction of a cap that one client may hold while the purpose is tight; 1 for no limit.
    client_share: Cell<f64>,
    clients: RefCell<HashMap<Client, Weak<ClientUsage>>>,
    /// Resident memory of the process in bytes, as last reported.
    resident: Cell<u64>,
    level: Cell<Level>,
    last_tick: Cell<Time>,
}

/// Accounts for the memory of all purposes. Clones share one state; not for use by several threads.
#[derive(Clone)]
pub struct Ledger(Rc<LedgerState>);

/// Handle of a client that is connected or holds memory. All handles of one client share its usage.
#[derive(Clone)]
pub struct ClientAccount(Rc<ClientUsage>);

/// Usage of one purpose, for the admin page. Amounts are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PurposeUsage {
    pub purpose: Purpose,
    pub in_use: u64,
    pub reserved: u64,
    /// None for no cap.
    pub cap: Option<u64>,
    /// Peak of the memory held.
    pub most: u64,
    /// Total charged beyond the cap by `force_charge`, for memory that existed already: recovered at a start,
    /// or measured rather than requested.
    pub forced: u64,
    pub level: Level,
    /// Requests refused at the cap since the start.
    pub refused_cap: u64,
    /// Requests refused by a client's share since the start.
    pub refused_share: u64,
    /// Requests refused by the limit of the process since the start.
    pub refused_total: u64,
    /// Release rate, bytes per second.
    pub empties: u64,
}

impl Ledger {
    /// A ledger with these caps. `share` is the fraction of a cap that one client may hold while its purpose
    /// is tight, above 0 and at most 1.
    pub fn new(caps: &Caps, share: f64) -> Ledger {
        let ledger = Ledger(Rc::new(LedgerState {
            accounts: ByPurpose::new(|_| Account::default()),
            total: Cell::new(None),
            client_share: Cell::new(1.0),
            clients: RefCell::default(),
            resident: Cell::new(0),
            level: Cell::default(),
            last_tick: Cell::new(Time::ZERO),
        }));
        ledger.set_caps(caps, share);
        ledger
    }

    /// Replaces the caps. Nothing is dropped: a purpose that holds more than its new cap refuses requests
    /// until it fits.
    pub fn set_caps(&self, caps: &Caps, share: f64) {
        for (purpose, cap) in caps.of.iter() {
            self.0.accounts[purpose].cap.set(*cap);
        }
        self.0.total.set(caps.total);
        self.0.client_share.set(share);
    }

    /// The account of a client; all its connections share one.
    pub fn client_account(&self, client: Client) -> ClientAccount {
        let mut clients = self.0.clients.borrow_mut();
        let known = clients.get(&client).and_then(Weak::upgrade);
        ClientAccount(known.unwrap_or_else(|| {
            let (ledger, held) = (Rc::downgrade(&self.0), ByPurpose::default());
            let usage = Rc::new(ClientUsage { held, client: client.clone(), ledger });
            clients.insert(client, Rc::downgrade(&usage));
            usage
        }))
    }

    /// Number of clients that are connected or hold memory.
    pub fn clients(&self) -> usize {
        self.0.clients.borrow().len()
    }

    /// Checks whether `bytes` more would fit; counts a refusal if not.
    ///
    /// # Errors
    /// The reason for the refusal.
    pub fn check_room(
        &self,
        purpose: Purpose,
        bytes: u64,
        client: Option<&ClientAccount>,
    ) -> Result<(), Refused> {
        let account = &self.0.accounts[purpose];
        let (cap, after) = (account.cap.get(), account.held().saturating_add(bytes));
        let exceeds_share = |client: &ClientAccount| {
            let max_share = cap as f64 * self.0.client_share.get();
            after as f64 > cap as f64 * CLIENT_SHARE_THRESHOLD
                && (client.0.held[purpose].get() + bytes) as f64 > max_share
        };
        let why = match client {
            _ if self.0.level.get() == Level::Full && purpose.is_new_work() => RefusalCause::Total,
            _ if after > cap => RefusalCause::Cap,
            Some(client) if cap < u64::MAX && exceeds_share(client) => RefusalCause::Share,
            _ => return Ok(()),
        };
        add(&account.refused[why as usize], 1);
        Err(Refused { purpose, why, bytes })
    }

    /// Charges memory for new work.
    ///
    /// # Errors
    /// The memory is refused; nothing is charged.
    pub fn try_charge(
        &self,
        purpose: Purpose,
        bytes: u64,
        client: Option<&ClientAccount>,
    ) -> Result<Charge, Refused> {
        self.check_room(purpose, bytes, client)?;
        Ok(self.add_charge(purpose, bytes, client))
    }

    /// Reserves memory that may be needed later.
    ///
    /// # Errors
    /// The memory is refused; nothing is reserved.
    pub fn reserve(&self, purpose: Purpose, bytes: u64) -> Result<Reserve, Refused> {
        self.check_room(purpose, bytes, None)?;
        Ok(self.add_reserve(purpose, bytes))
    }

    /// Charges memory regardless of the cap, because it exists already or cannot be refused: messages
    /// accepted before a restart, measured sizes.
    pub fn force_charge(&self, purpose: Purpose, bytes: u64) -> Charge {
        let account = &self.0.accounts[purpose];
        let charge = self.add_charge(purpose, bytes, None);
        let over = account.held().saturating_sub(account.cap.get()).min(bytes);
        add(&account.forced, over);
        charge
    }

    /// Reserves memory regardless of the cap.
    pub fn force_reserve(&self, purpose: Purpose, bytes: u64) -> Reserve {
        self.add_reserve(purpose, bytes)
    }

    fn add_charge(&self, purpose: Purpose, bytes: u64, client: Option<&ClientAccount>) -> Charge {
        let account = &self.0.accounts[purpose];
        add(&account.used, bytes);
        account.update_peak();
        if let Some(client) = client {
            add(&client.0.held[purpose], bytes);
        }
        Charge { ledger: self.clone(), purpose, bytes, client: client.cloned() }
    }

    fn add_reserve(&self, purpose: Purpose, bytes: u64) -> Reserve {
        let account = &self.0.accounts[purpose];
        add(&account.reserved, bytes);
        account.update_peak();
        Reserve { ledger: self.clone(), purpose, bytes }
    }

    /// Sets the resident memory of the process, as the operating system reports it, in bytes.
    pub fn set_resident(&self, resident: u64) {
        self.0.resident.set(resident);
    }

    /// Updates levels and release rates, and returns the level changes. Calls within 100 ms of the last one
    /// do nothing.
    pub fn tick(&self, now: Time) -> Vec<LevelChange> {
        let mut changes = Vec::new();
        if now < self.0.last_tick.get() + MIN_UPDATE_INTERVAL && self.0.last_tick.get() > Time::ZERO {
            return changes;
        }
        self.0.last_tick.set(now);
        for (purpose, account) in self.0.accounts.iter() {
            account.release_rate.borrow_mut().update(account.released.get(), now);
            let (before, cap) = (account.level.get(), account.cap.get());
            let level = before.next(if cap == u64::MAX { 0.0 } else { account.fraction_used() });
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

    /// Retry delay after a refusal, from the release rate of the purpose and behind the clients that were
    /// told to retry before.
    pub fn retry_after(&self, refused: &Refused, now: Time) -> Duration {
        let account = &self.0.accounts[refused.purpose];
        let cap = account.cap.get();
        // A client over its share is served again once the purpose is no longer tight, or once it holds less.
        let room = match refused.why {
            RefusalCause::Cap | RefusalCause::Total => cap,
            RefusalCause::Share => (cap as f64 * CLIENT_SHARE_THRESHOLD) as u64,
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

    /// Level of one purpose, as of the last tick.
    pub fn level(&self, purpose: Purpose) -> Level {
        self.0.accounts[purpose].level.get()
    }

    /// The highest level of all purposes and of the process.
    pub fn max_level(&self) -> Level {
        let all = self.0.accounts.iter().map(|(_, account)| account.level.get());
        all.fold(self.0.level.get(), Level::max)
    }

    /// Level of the process as a whole, as of the last tick.
    pub fn process_level(&self) -> Level {
        self.0.level.get()
    }

    /// Limit on the memory of the process, in bytes; None for no limit.
    pub fn total(&self) -> Option<u64> {
        self.0.total.get()
    }

    /// Bytes in use or reserved for a purpose.
    pub fn held(&self, purpose: Purpose) -> u64 {
        self.0.accounts[purpose].held()
    }

    /// Cap of a purpose in bytes; `u64::MAX` means no cap.
    pub fn cap(&self, purpose: Purpose) -> u64 {
        self.0.accounts[purpose].cap.get()
    }

    /// Fraction of a cap that one client may hold while the purpose is tight.
    pub fn client_share(&self) -> f64 {
        self.0.client_share.get()
    }

    /// Bytes left under the cap of a purpose.
    pub fn room(&self, purpose: Purpose) -> u64 {
        self.cap(purpose).saturating_sub(self.held(purpose))
    }

    /// Bytes in use for all purposes, without reserves.
    pub fn in_use(&self) -> u64 {
        self.0.accounts.iter().map(|(_, account)| account.used.get()).sum()
    }

    /// Usage of all purposes, in the order of [`Purpose::ALL`].
    pub fn usage(&self) -> Vec<PurposeUsage> {
        let of = self.0.accounts.iter().map(|(purpose, account)| PurposeUsage {
            purpose,
            in_use: account.used.get(),
            reserved: account.reserved.get(),
            cap: Some(account.cap.get()).filter(|cap| *cap < u64::MAX),
            most: account.peak.get(),
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

/// Memory in use. Dropping the charge releases it.
pub struct Charge {
    ledger: Ledger,
    purpose: Purpose,
    bytes: u64,
    client: Option<ClientAccount>,
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

    /// Changes the size regardless of the cap, for memory that is measured.
    pub fn resize(&mut self, bytes: u64) {
        if bytes > self.bytes {
            add(&self.account().used, bytes - self.bytes);
            self.account().update_peak();
            if let Some(client) = &self.client {
                add(&client.0.held[self.purpose], bytes - self.bytes);
            }
        } else {
            self.release(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Adds `bytes` to the charge.
    ///
    /// # Errors
    /// The memory is refused; the charge stays as it was.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Refused> {
        self.ledger.check_room(self.purpose, bytes, self.client.as_ref())?;
        self.resize(self.bytes + bytes);
        Ok(())
    }

    /// Moves the charge to another purpose.
    ///
    /// # Errors
    /// The other purpose refuses the memory; the unchanged charge is returned.
    pub fn transfer_to(self, purpose: Purpose) -> Result<Charge, (Charge, Refused)> {
        match self.ledger.check_room(purpose, self.bytes, self.client.as_ref()) {
            Ok(()) => Ok(self.ledger.add_charge(purpose, self.bytes, self.client.as_ref())),
            Err(refused) => Err((self, refused)),
        }
    }

    fn release(&self, bytes: u64) {
        sub(&self.account().used, bytes);
        add(&self.account().released, bytes);
        if let Some(client) = &self.client {
            sub(&client.0.held[self.purpose], bytes);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} B for {}", self.bytes, self.purpose)
    }
}

/// Reserved memory. Dropping it releases what was not drawn.
pub struct Reserve {
    ledger: Ledger,
    purpose: Purpose,
    bytes: u64,
}

impl Reserve {
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds `bytes` to the reserve.
    ///
    /// # Errors
    /// The memory is refused; the reserve stays as it was.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Refused> {
        let mut added = self.ledger.reserve(self.purpose, bytes)?;
        self.bytes += std::mem::take(&mut added.bytes);
        Ok(())
    }

    /// Turns reserved memory into a charge. An amount beyond the reserve is charged regardless of the cap, so
    /// that an accepted message does not fail for lack of memory.
    pub fn draw(&mut self, bytes: u64) -> Charge {
        let of = bytes.min(self.bytes);
        self.bytes -= of;
        sub(&self.ledger.0.accounts[self.purpose].reserved, of);
        match bytes - of {
            0 => self.ledger.add_charge(self.purpose, bytes, None),
            _ => self.ledger.force_charge(self.purpose, bytes),
        }
    }
}

impl Drop for Reserve {
    fn drop(&mut self) {
        let account = &self.ledger.0.accounts[self.purpose];
        sub(&account.reserved, self.bytes);
        add(&account.released, self.bytes);
    }
}

impl fmt::Debug for Reserve {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} B reserved for {}", self.bytes, self.purpose)
    }
}

#[cfg(test)]
#[path = "ledger_test.rs"]
mod tests;
