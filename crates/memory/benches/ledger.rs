//! Cost of a charge compared with a plain counter that is incremented and decremented, in one run, and the
//! sizes of the guards. Run with `cargo bench -p stairshed-memory`

use stairshed_memory::{ByPurpose, Caps, Charge, Client, ClientAccount, Ledger, Purpose};
use std::cell::Cell;
use std::hint::black_box;
use std::time::{Duration, Instant};

const CALLS_PER_RUN: usize = 2_000_000;

/// Prints the nanoseconds per call, best of five runs.
fn time(label: &str, mut call: impl FnMut(usize)) {
    let run = |call: &mut dyn FnMut(usize)| {
        let started = Instant::now();
        (0..CALLS_PER_RUN).for_each(call);
        started.elapsed().as_nanos() as f64 / CALLS_PER_RUN as f64
    };
    let best = (0..5).map(|_| run(&mut call)).fold(f64::MAX, f64::min);
    println!("{label:<64} {best:>7.1} ns");
}

fn main() {
    let ledger = Ledger::new(&Caps::new(Some(192_000_000), &ByPurpose::default()).expect("sound"), 0.5);
    let account = ledger.client_account(Client::at([127, 0, 0, 1].into()));
    let counter = Cell::new(0u64);
    time("a plain counter, incremented and decremented", |n| {
        counter.set(counter.get() + n as u64);
        black_box(&counter);
        counter.set(counter.get() - n as u64);
    });
    let charge = |p: Purpose, n: usize, account: Option<&ClientAccount>| {
        ledger.try_charge(p, (n % 1000) as u64, account).expect("room")
    };
    time("a charge, taken and released", |n| drop(black_box(charge(Purpose::BodiesRead, n, None))));
    time("a charge for a client, taken and released", |n| {
        drop(black_box(charge(Purpose::BodiesRead, n, Some(&account))))
    });
    time("a message: body read, held, entries, two reserves; all released", |n| {
        let read = charge(Purpose::BodiesRead, n, Some(&account));
        let held = read.transfer_to(Purpose::BodiesHeld).expect("room");
        let entries = charge(Purpose::Messages, n, Some(&account));
        let notice = ledger.reserve(Purpose::Notices, 100).expect("room");
        let remembered = ledger.reserve(Purpose::Remembered, 100).expect("room");
        black_box((held, entries, notice, remembered));
    });
    let mut now = Duration::ZERO;
    time("a tick of all purposes", |_| {
        now += Duration::from_millis(100);
        black_box(ledger.tick(now));
    });
    println!(
        "size of a charge: {} bytes, of a client account: {}",
        size_of::<Charge>(),
        size_of::<ClientAccount>()
    );
}
