use super::*;
use crate::ingress::session_memory::MIN_MEASUREMENT_INTERVAL;
use crate::ingress::users::password_line;
use stairshed_clock::{ClockReading, ClockStart, JournalTimes, StableTime, StoredClock};
use stairshed_config::installation;
use stairshed_memory::{ByPurpose, Caps};
use stairshed_mqtt::frame::{Reader, encode};
use stairshed_mqtt::packet::{Connect, Disconnect, Packet, Version};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, yield_now};

/// Cap with room for one session, not for two.
const ONE_SESSION_BYTES: u64 = 1_300;
const USER: &str = "van";
const PASSWORD: &str = "secret";

/// A server without sockets; the test plays the clients and the courier.
struct Harness {
    server: Rc<MqttServer>,
    _events: mpsc::Receiver<DispatcherEvent>,
}

fn limits() -> Limits {
    Limits {
        sessions: 100,
        max_packet_size: 80 * 1024,
        max_payload_bytes: 64 * 1024,
        receive_maximum: 8,
        topic_alias_max: 4,
        max_session_expiry_seconds: 3600,
        max_keep_alive_seconds: 300,
        connect_timeout: Duration::from_secs(10),
        max_outcomes: 10,
        wills: true,
    }
}

fn users() -> Users {
    let path = std::env::temp_dir().join(format!(
        "stairshed-sessions-{}-{:x}",
        std::process::id(),
        rand::random::<u64>()
    ));
    std::fs::write(&path, password_line(USER, PASSWORD).expect("a line")).expect("written");
    let users = Users::read(&path).expect("valid users");
    std::fs::remove_file(&path).expect("removed");
    users
}

fn connect_packet(client: &str, password: &str) -> Connect {
    let (user, password) = (Some(USER.to_owned()), Some(password.to_owned().into()));
    Connect { user, password, ..Connect::new(Version::V5, client) }
}

/// The clock of a courier without stored state.
fn clock() -> StableClock {
    let times = JournalTimes { latest: StableTime::default(), holds_messages: false };
    ClockStart::new(&StoredClock::Missing, times, &ClockReading::now()).clock
}

impl Harness {
    /// Must be called within a [`LocalSet`].
    fn new() -> Harness {
        let mut caps = Caps::new(None, &ByPurpose::new(|_| None)).expect("valid caps");
        caps.of[Purpose::Sessions] = ONE_SESSION_BYTES;
        let memory_budget = MemoryBudget::new(&caps, 1.0);
        let rejecter = ConnectionRejecter::start(&memory_budget);
        let installation = installation::load("test", "name = \"c1\"\n").expect("a valid configuration");
        let clock = clock();
        let active_config = ActiveConfig::new(0, Arc::new(installation), clock);
        let (sender, events) = mpsc::channel(16);
        let bounds = (100, memory_budget, rejecter);
        let server =
            MqttServer::new(limits(), bounds, (active_config, Some(users())), sender, Vec::new(), clock);
        Harness { server, _events: events }
    }

    async fn apply_effects(&self) {
        loop {
            let Some(effect) = self.server.machine.borrow_mut().poll() else { return };
            self.server.clone().apply_effect(effect).await;
        }
    }

    /// Sends a CONNECT on a new connection and returns its output.
    async fn connect(&self, connection: u64, connect: Connect) -> Rc<ConnectionOutput> {
        let memory = self.server.memory_budget.ledger.force_charge(Purpose::Clients, 0);
        let output =
            Rc::new(ConnectionOutput::new(IpAddr::from([127, 0, 0, 1]), PeerWatch::default(), memory));
        self.server.outputs.borrow_mut().insert(connection, output.clone());
        self.server.with_machine(|machine, now| machine.connection_accepted(connection, now));
        self.send(connection, Packet::Connect(Box::new(connect))).await;
        output
    }

    async fn send(&self, connection: u64, packet: Packet) {
        let bytes = encode(Version::V5, packet, None).expect("a valid packet");
        self.server.with_machine(|machine, now| machine.received(connection, &bytes, now));
        self.apply_effects().await;
    }

    /// Waits for the CONNACK and returns its reason code.
    async fn connack_code(&self, output: &ConnectionOutput) -> u8 {
        while output.write_queue.borrow().is_empty() {
            yield_now().await;
            self.apply_effects().await;
        }
        connack_code(output).expect("a CONNACK")
    }

    fn held(&self) -> u64 {
        self.server.memory_budget.ledger.held(Purpose::Sessions)
    }
}

/// Reason code of the CONNACK that was written, if there is one.
fn connack_code(output: &ConnectionOutput) -> Option<u8> {
    let mut reader = Reader::client(Version::V5, 1024);
    output.write_queue.borrow().iter().for_each(|bytes| reader.push(bytes));
    match reader.packet().expect("a valid packet")? {
        Packet::Connack(connack) => Some(connack.code),
        other => panic!("{other:?}"),
    }
}

/// Runs a test on one thread, as the courier runs.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_measurement_during_a_password_check_lets_no_further_session_in() {
    run(async {
        let harness = Harness::new();
        // Without a permit the check of the first password waits.
        let permits = harness.server.password_checks.clone().acquire_many_owned(MAX_PASSWORD_CHECKS as u32);
        let permits = permits.await.expect("permits");
        let first = harness.connect(1, connect_packet("a", PASSWORD)).await;
        harness.server.measure_memory();
        let second = harness.connect(2, connect_packet("b", PASSWORD)).await;
        assert_eq!(connack_code(&second), Some(code::QUOTA_EXCEEDED));
        assert_eq!(connack_code(&first), None, "its password is not checked yet");
        let held = harness.held();
        harness.connect(3, connect_packet("a", PASSWORD)).await;
        assert_eq!(harness.held(), held, "the connections of one client share a reservation");
        harness.server.connection_ended(3);
        assert_eq!(harness.held(), held);
        drop(permits);
        assert_eq!(harness.connack_code(&first).await, code::SUCCESS);
        harness.server.measure_memory();
        assert_eq!(harness.held(), held, "the reservation was as large as the session");
        assert!(held <= ONE_SESSION_BYTES);
    });
}

#[test]
fn a_refused_password_releases_its_reservation_at_once() {
    run(async {
        let harness = Harness::new();
        let refused = harness.connect(1, connect_packet("a", "wrong")).await;
        assert_eq!(harness.connack_code(&refused).await, code::BAD_USER_OR_PASSWORD);
        assert_eq!(harness.held(), 0);
        let admitted = harness.connect(2, connect_packet("b", PASSWORD)).await;
        assert_eq!(harness.connack_code(&admitted).await, code::SUCCESS);
    });
}

#[test]
fn ended_sessions_make_room_without_a_periodic_measurement() {
    run(async {
        let harness = Harness::new();
        let first = harness.connect(1, connect_packet("a", PASSWORD)).await;
        assert_eq!(harness.connack_code(&first).await, code::SUCCESS);
        harness.send(1, Packet::Disconnect(Disconnect::new(code::SUCCESS))).await;
        sleep(MIN_MEASUREMENT_INTERVAL).await;
        let second = harness.connect(2, connect_packet("b", PASSWORD)).await;
        assert_eq!(harness.connack_code(&second).await, code::SUCCESS);
    });
}

#[test]
fn a_session_that_ends_during_a_password_check_is_reserved_again() {
    run(async {
        let harness = Harness::new();
        let first = harness.connect(1, connect_packet("a", PASSWORD)).await;
        assert_eq!(harness.connack_code(&first).await, code::SUCCESS);
        let permits = harness.server.password_checks.clone().acquire_many_owned(MAX_PASSWORD_CHECKS as u32);
        let permits = permits.await.expect("permits");
        // Its client has a session, so nothing is reserved.
        let again = harness.connect(2, connect_packet("a", PASSWORD)).await;
        harness.send(1, Packet::Disconnect(Disconnect::new(code::SUCCESS))).await;
        harness.server.measure_memory();
        assert_eq!(harness.held(), 0);
        let other = harness.connect(3, connect_packet("b", PASSWORD)).await;
        drop(permits);
        assert_eq!(harness.connack_code(&other).await, code::SUCCESS);
        assert_eq!(harness.connack_code(&again).await, code::QUOTA_EXCEEDED);
        assert!(harness.held() <= ONE_SESSION_BYTES);
    });
}
