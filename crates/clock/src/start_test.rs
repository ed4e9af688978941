use super::*;
use proptest::prelude::*;

/// Wall clock at the beginning of each test.
const BEGIN: Duration = Duration::from_secs(1_790_000_000);
/// How long the model remembers an id.
const REMEMBERED: Duration = Duration::from_secs(600);
/// The wall clock's offset is recorded anew when it has moved by more than this, in microseconds.
const RECORDED_MOVE: i128 = 100_000;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

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
    fn new(uptime: Duration) -> Self {
        let stored = StoredClock::Missing;
        let booted_at = seconds(1_000_000);
        let reading =
            ClockReading { boot_id: BootId::new("0"), boot_time: uptime, wall: TimeOfDay::from_unix(BEGIN) };
        let journal = JournalTimes { latest: StableTime::EPOCH, holds_messages: false };
        let start = ClockStart::new(&stored, journal, &reading);
        Machine {
            real: booted_at + uptime,
            booted_at,
            boots: 0,
            wall_offset: (BEGIN - booted_at - uptime).as_secs() as i64,
            stored,
            start,
            written: Vec::new(),
            ids: Vec::new(),
        }
    }

    fn reading(&self) -> ClockReading {
        let wall = self.real.as_micros() as i128 + i128::from(self.wall_offset) * 1_000_000;
        ClockReading {
            boot_id: BootId::new(&self.boots.to_string()),
            boot_time: self.real - self.booted_at,
            wall: TimeOfDay::from_unix(Duration::from_micros(wall.max(0) as u64)),
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
        let record = self.start.clock.record(self.reading());
        let offset = match &self.stored {
            StoredClock::Readable(stored) => Some(stored.wall_offset_micros()),
            _ => None,
        };
        if offset.is_none_or(|offset| (offset - record.wall_offset_micros()).abs() > RECORDED_MOVE) {
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
        if !matches!(self.start.restart, ClockRestart::First | ClockRestart::SameBoot) {
            self.store_clock();
        }
    }

    fn reboot(&mut self, down: Duration) {
        self.real += down;
        self.boots += 1;
        self.booted_at = self.real;
        self.real += seconds(3);
        self.restart();
    }

    fn check(&self) {
        let now = self.now();
        assert!(now >= self.latest(), "the clock shows a time before a stored one");
        for (at, real) in &self.written {
            let elapsed = self.real - *real;
            if let Some(proven) = self.start.clock.proven_duration(*at, now) {
                assert_eq!(proven, elapsed, "a proven time is the real one");
            }
        }
        for (until, real) in &self.ids {
            assert!(*until > now || self.real - *real >= REMEMBERED, "an id is forgotten too early");
        }
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

fn event(with_steps: bool) -> impl Strategy<Value = Event> {
    let step = if with_steps { -7200..7200i64 } else { 0..1 };
    prop_oneof![
        3 => (0..200_000_000u64).prop_map(Event::Pass),
        2 => step.prop_map(Event::Step),
        4 => Just(Event::Write),
        3 => Just(Event::Restart),
        1 => (0..4000u64).prop_map(Event::Reboot),
    ]
}

fn apply(machine: &mut Machine, event: &Event) {
    match event {
        Event::Pass(micros) => machine.real += Duration::from_micros(*micros),
        Event::Step(by) => machine.wall_offset += by,
        Event::Write => machine.write(),
        Event::Restart => machine.restart(),
        Event::Reboot(down) => machine.reboot(seconds(*down)),
        Event::LoseRecord => machine.stored = StoredClock::Unreadable,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn under_steps_restarts_and_reboots_the_clock_errs_only_to_the_safe_side(
        uptime in 0..1_000_000u64,
        events in proptest::collection::vec(
            prop_oneof![20 => event(true), 1 => Just(Event::LoseRecord)], 1..60),
    ) {
        let mut machine = Machine::new(seconds(uptime));
        for event in &events {
            apply(&mut machine, event);
            machine.check();
        }
    }

    #[test]
    fn without_steps_the_clock_shows_the_time_elapsed_also_across_reboots(
        events in proptest::collection::vec(event(false), 1..60),
    ) {
        let mut machine = Machine::new(seconds(100));
        machine.write();
        for event in &events {
            apply(&mut machine, event);
            let (at, real) = machine.written[0];
            prop_assert_eq!(machine.now().saturating_duration_since(at), machine.real - real);
        }
    }

    #[test]
    fn within_a_boot_steps_change_nothing(
        steps in proptest::collection::vec((-7200..7200i64, 0..100_000_000u64), 1..40),
    ) {
        let mut machine = Machine::new(seconds(100));
        machine.write();
        for (step, micros) in steps {
            for event in [Event::Pass(micros), Event::Step(step), Event::Restart, Event::Write] {
                apply(&mut machine, &event);
            }
            prop_assert_eq!(machine.start.restart, ClockRestart::SameBoot);
            // The first was stored in the microsecond in which the clock was started.
            let (at, real) = machine.written[1];
            let proven = machine.start.clock.proven_duration(at, machine.now());
            prop_assert_eq!(proven, (at > machine.start.clock.proven_since()).then(|| machine.real - real));
            prop_assert_eq!(machine.now().saturating_duration_since(at), machine.real - real);
        }
    }
}

/// A machine with a stored time, from which 1000 s have passed.
fn running() -> Machine {
    let mut machine = Machine::new(seconds(5000));
    machine.real += seconds(1);
    machine.write();
    machine.real += seconds(1000);
    machine.write();
    machine
}

#[test]
fn a_first_start_takes_the_wall_clock() {
    let machine = Machine::new(seconds(10));
    assert_eq!((machine.start.restart, machine.now()), (ClockRestart::First, StableTime::from_epoch(BEGIN)));
}

#[test]
fn after_a_reboot_the_wall_clock_tells_the_time_elapsed_but_proves_none() {
    let mut machine = running();
    let before = machine.latest();
    machine.reboot(seconds(60));
    assert_eq!(machine.start.restart, ClockRestart::WallClock);
    assert_eq!(machine.now(), before + seconds(63));
    assert_eq!(machine.start.unproven, seconds(63));
    assert_eq!(machine.start.clock.proven_duration(before, machine.now()), None);
    machine.restart();
    assert_eq!(machine.start.restart, ClockRestart::SameBoot);
    assert_eq!(machine.start.clock.proven_duration(before, machine.now()), None, "nor in the next process");
}

#[test]
fn a_wall_clock_that_shows_an_earlier_time_than_the_journal_tells_nothing() {
    for step in [-100, -900, -7200] {
        let mut machine = running();
        let before = machine.latest();
        machine.wall_offset += step;
        machine.reboot(seconds(60));
        assert_eq!(machine.start.restart, ClockRestart::Unknown, "{step}");
        assert_eq!(machine.now(), before, "nothing gains time");
        assert_eq!(machine.start.unproven, Duration::ZERO);
    }
}

#[test]
fn time_since_this_boot_has_passed_whatever_the_wall_clock_shows() {
    let mut machine = running();
    machine.store_clock();
    let before = machine.latest();
    machine.wall_offset -= 3600;
    machine.reboot(seconds(60));
    assert_eq!(machine.now(), before + seconds(3));
}

#[test]
fn without_a_readable_record_the_times_of_messages_prove_nothing() {
    for stored in [StoredClock::Missing, StoredClock::Unreadable] {
        let mut machine = running();
        let before = machine.latest();
        machine.stored = stored;
        machine.wall_offset += 3600;
        machine.restart();
        assert_eq!(machine.start.restart, ClockRestart::Unknown);
        assert_eq!((machine.now(), machine.start.unproven), (before + seconds(3600), seconds(3600)));
        assert_eq!(machine.start.clock.proven_duration(before, machine.now()), None);
    }
}

#[test]
fn times_of_a_program_that_does_not_use_the_record_are_not_exceeded() {
    let mut machine = running();
    let later = machine.now() + seconds(3600);
    machine.written.push((later, machine.real));
    machine.restart();
    assert_eq!((machine.start.restart, machine.now()), (ClockRestart::Unknown, later));
}

#[test]
fn an_unknown_boot_is_not_the_same_boot() {
    let mut machine = running();
    let text = machine.start.clock.record(ClockReading { boot_id: None, ..machine.reading() }).to_string();
    machine.stored = StoredClock::parse(Some(text.as_bytes()));
    machine.restart();
    assert_eq!(machine.start.restart, ClockRestart::WallClock);
    assert_eq!(StoredClock::parse(Some(b"\xff")), StoredClock::Unreadable);
}
