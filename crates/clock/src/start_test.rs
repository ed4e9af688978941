use super::ClockRestart::{First, SameBoot, Unknown, WallClock};
use super::*;
use proptest::prelude::*;

/// Wall clock at the beginning of each test.
const BEGIN: Duration = Duration::from_secs(1_790_000_000);
/// How long the model remembers an id.
const REMEMBERED: Duration = Duration::from_secs(600);
/// Time from the boot to the start of the courier.
const BOOT_DURATION: Duration = Duration::from_secs(3);

/// A machine whose real time is known, and a courier on it.
struct Machine {
    real: Duration,
    booted_at: Duration,
    boots: u64,
    /// Offset of the wall clock from real time, in seconds.
    wall_offset: i64,
    stored: StoredClock,
    start: ClockStart,
    /// Stored times, with the real times at which they were stored.
    written: Vec<(StableTime, Duration)>,
    /// Times until which ids are remembered, with the real times at which that began.
    ids: Vec<(StableTime, Duration)>,
}

impl Machine {
    fn new() -> Self {
        let wall = TimeOfDay::from_unix(BEGIN);
        let reading = ClockReading { boot_id: BootId::new("0"), boot_time: Duration::ZERO, wall };
        let journal = JournalTimes { latest: StableTime::EPOCH, holds_messages: false };
        Machine {
            real: BEGIN,
            booted_at: BEGIN,
            boots: 0,
            wall_offset: 0,
            stored: StoredClock::Missing,
            start: ClockStart::new(&StoredClock::Missing, journal, &reading),
            written: Vec::new(),
            ids: Vec::new(),
        }
    }

    fn reading(&self) -> ClockReading {
        let step = Duration::from_secs(self.wall_offset.unsigned_abs());
        let wall = if self.wall_offset < 0 { self.real - step } else { self.real + step };
        ClockReading {
            boot_id: BootId::new(&self.boots.to_string()),
            boot_time: self.real - self.booted_at,
            wall: TimeOfDay::from_unix(wall),
        }
    }

    fn now(&self) -> StableTime {
        self.start.clock.at(self.real - self.booted_at)
    }

    fn latest(&self) -> StableTime {
        self.written.iter().map(|(at, _)| *at).max().unwrap_or_default()
    }

    /// Stores a time, after the clock's record if that is due.
    fn write(&mut self) {
        let offset = self.start.clock.record(self.reading()).wall_offset_micros();
        if !matches!(&self.stored, StoredClock::Readable(r) if r.wall_offset_micros() == offset) {
            self.store_clock();
        }
        self.written.push((self.now(), self.real));
        self.ids.push((self.now() + REMEMBERED, self.real));
    }

    fn store_clock(&mut self) {
        let text = self.start.clock.record(self.reading()).to_string();
        self.stored = StoredClock::parse(Some(text.as_bytes()));
    }

    /// Ends the process and starts the next one.
    fn restart(&mut self) {
        let journal = JournalTimes { latest: self.latest(), holds_messages: !self.written.is_empty() };
        self.start = ClockStart::new(&self.stored, journal, &self.reading());
        for (until, _) in &mut self.ids {
            *until = *until + self.start.unproven;
        }
        if !matches!(self.start.restart, First | SameBoot) {
            self.store_clock();
        }
    }

    fn reboot(&mut self, down: u64) {
        self.booted_at = self.real + Duration::from_secs(down);
        self.boots += 1;
        self.real = self.booted_at + BOOT_DURATION;
        self.restart();
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Pass(micros) => self.real += Duration::from_micros(*micros),
            Event::Step(by) => self.wall_offset += by,
            Event::Write => self.write(),
            Event::Restart => {
                let continues = matches!(self.stored, StoredClock::Readable(_));
                self.restart();
                assert!(!continues || self.start.restart == SameBoot, "within a boot steps change nothing");
            }
            Event::Reboot(down) => self.reboot(*down),
            Event::LoseRecord => self.stored = StoredClock::Unreadable,
        }
    }

    fn check(&self) {
        let now = self.now();
        assert!(now >= self.latest(), "the clock shows a time before a stored one");
        for (at, real) in &self.written {
            let proven = self.start.clock.proven_duration(*at, now);
            assert!(proven.is_none_or(|proven| proven == self.real - *real), "a proven time is the real one");
        }
        let forgotten = self.ids.iter().filter(|(until, _)| *until <= now);
        let early = forgotten.filter(|(_, real)| self.real - *real < REMEMBERED);
        assert_eq!(early.count(), 0, "ids forgotten too early");
    }
}

#[derive(Clone, Debug)]
enum Event {
    Pass(u64),
    Step(i64),
    Write,
    Restart,
    Reboot(u64),
    LoseRecord,
}

fn event_without_step() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..200_000_000u64).prop_map(Event::Pass),
        4 => Just(Event::Write),
        3 => Just(Event::Restart),
        1 => (0..4000u64).prop_map(Event::Reboot),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        16 => event_without_step(),
        3 => (-7200..7200i64).prop_map(Event::Step),
        1 => Just(Event::LoseRecord),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn under_steps_restarts_and_reboots_the_clock_errs_only_to_the_safe_side(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut machine = Machine::new();
        for event in &events {
            machine.apply(event);
            machine.check();
        }
    }

    #[test]
    fn without_steps_the_clock_shows_the_time_elapsed_also_across_reboots(
        events in proptest::collection::vec(event_without_step(), 1..60),
    ) {
        let mut machine = Machine::new();
        machine.write();
        for event in &events {
            machine.apply(event);
            let (at, real) = machine.written[0];
            prop_assert_eq!(machine.now().saturating_duration_since(at), machine.real - real);
        }
    }
}

/// Stores a time 1000 s after the clock's record and applies the change. Returns how the clock was started, the seconds
/// that it then shows since that time and those of the start that are not proven, and whether the former are proven.
fn after(change: impl FnOnce(&mut Machine)) -> (ClockRestart, u64, u64, bool) {
    let mut machine = Machine::new();
    machine.real += Duration::from_secs(1);
    machine.write();
    machine.real += Duration::from_secs(1000);
    machine.write();
    let stored = machine.latest();
    change(&mut machine);
    let (start, now) = (machine.start, machine.now());
    let proven = start.clock.proven_duration(stored, now).is_some();
    (start.restart, now.saturating_duration_since(stored).as_secs(), start.unproven.as_secs(), proven)
}

#[test]
fn each_start_believes_what_is_known() {
    let first = Machine::new();
    assert_eq!((first.start.restart, first.now()), (First, StableTime::from_epoch(BEGIN)));
    assert_eq!(after(Machine::restart), (SameBoot, 0, 0, true));
    assert_eq!(after(|m| m.reboot(60)), (WallClock, 63, 63, false));
    let then_restart = |m: &mut Machine| (m.reboot(60), m.restart()).1;
    assert_eq!(after(then_restart), (SameBoot, 63, 0, false), "nor does a later process prove it");
    let then_reboot = |m: &mut Machine| (m.reboot(60), m.reboot(0)).1;
    assert_eq!(after(then_reboot), (WallClock, 66, 0, false), "the second boot has lasted for 3 s");
}

#[test]
fn without_proof_a_start_gives_no_time() {
    for step in [-100, -900, -7200] {
        let step_and_reboot = |m: &mut Machine| {
            m.wall_offset = step;
            m.reboot(60);
        };
        assert_eq!(after(step_and_reboot), (Unknown, 0, 0, false), "{step}");
    }
    let step_after_record = |m: &mut Machine| {
        m.store_clock();
        m.wall_offset = -3600;
        m.reboot(60);
    };
    assert_eq!(after(step_after_record), (Unknown, 3, 0, false), "this boot has lasted for 3 s");
    for stored in [StoredClock::Missing, StoredClock::parse(Some(b"\xff"))] {
        let lose_record = |m: &mut Machine| {
            (m.stored, m.wall_offset) = (stored, 3600);
            m.restart();
        };
        assert_eq!(after(lose_record), (Unknown, 3600, 3600, false));
    }
    let other_program = |m: &mut Machine| {
        m.written.push((m.now() + REMEMBERED, m.real));
        m.restart();
    };
    assert_eq!(after(other_program), (Unknown, 600, 0, false), "its times are not exceeded");
    let unknown_boot = |m: &mut Machine| {
        let reading = ClockReading { boot_id: None, ..m.reading() };
        m.stored = StoredClock::Readable(m.start.clock.record(reading));
        m.restart();
    };
    assert_eq!(after(unknown_boot), (WallClock, 0, 0, false));
}
