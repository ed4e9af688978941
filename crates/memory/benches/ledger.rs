//! What a charge costs, beside a plain counter that is raised and lowered, in one run; and what the books weigh.
//! `cargo bench -p stairshed-memory`

use stairshed_memory::{ByPurpose, Caps, Charge, Client, ClientAccount, Ledger, Purpose};
use std::cell::Cell;
use std::hint::black_box;
use std::time::{Duration, Instant};

const ROUNDS: usize = 2_000_000;

/// Nanoseconds each, the best of five runs.
fn time(what: &str, mut one: impl FnMut(usize)) {
    let run = |one: &mut dyn FnMut(usize)| {
        let began = Instant::now();
        (0..ROUNDS).for_each(one);
        began.elapsed().as_nanos() as f64 / ROUNDS as f64
    };
    let best = (0..5).map(|_| run(&mut one)).fold(f64::MAX, f64::min);
    println!("{what:<64} {best:>7.1} ns");
}

fn main() {
    let ledger = Ledger::new(&Caps::new(Some(192_000_000), &ByPurpose::default()).expect("sound"), 0.5);
    let guest = ledger.client_account(Client::at([127, 0, 0, 1].into()));
    let plain = Cell::new(0u64);
    time("a plain counter, raised and lowered", |n| {
        plain.set(plain.get() + n as u64);
        black_box(&plain);
        plain.set(plain.get() - n as u64);
    });
    let take = |p: Purpose, n: usize, guest: Option<&ClientAccount>| {
        ledger.try_charge(p, (n % 1000) as u64, guest).expect("room")
    };
    time("a charge, taken and given back", |n| drop(black_box(take(Purpose::BodiesRead, n, None))));
    time("the same for a client", |n| drop(black_box(take(Purpose::BodiesRead, n, Some(&guest)))));
    time("a message: read, held, its rows, two reserves; all given back", |n| {
        let read = take(Purpose::BodiesRead, n, Some(&guest));
        let held = read.transfer_to(Purpose::BodiesHeld).expect("room");
        let rows = take(Purpose::Messages, n, Some(&guest));
        let notice = ledger.reserve(Purpose::Notices, 100).expect("room");
        let kept = ledger.reserve(Purpose::Remembered, 100).expect("room");
        black_box((held, rows, notice, kept));
    });
    let mut now = Duration::ZERO;
    time("a tick over all purposes", |_| {
        now += Duration::from_millis(100);
        black_box(ledger.tick(now));
    });
    println!("a charge has {} bytes, a client's guest {}", size_of::<Charge>(), size_of::<ClientAccount>());
}
