//! A log that cannot be written ends nothing and holds nothing up: couriers whose standard error fails.

use stairshed_rig::*;
use std::fs;
use std::io::{BufRead, BufReader, Write, pipe};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Longest time for the answer to a client, far above that of a journal write on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A courier whose log the test does not read, with one endpoint.
struct TestSetup {
    endpoint: Endpoint,
    folder: TestFolder,
    admin: SocketAddr,
    courier: Courier,
}

impl TestSetup {
    /// Starts a courier with this standard error, which the shell may then redirect.
    fn start(log: impl Into<Stdio>, redirection: &str) -> Self {
        let endpoint = Endpoint::new(|_| EndpointAction::RespondDistinct(MS));
        let (folder, address, admin) = (TestFolder::new(), free_address(), free_address());
        let file = format!(
            "name = \"depot\"\n[listen]\nhttp = \"{address}\"\nadmin = \"{admin}\"\n\
             [classes.payment]\neffect = \"once\"\ndeadline = \"20s\"\n\
             [pools.p]\nendpoints = [{{ address = \"{}\" }}]\n\
             [routes.pay]\nprefix = \"/pay\"\npool = \"p\"\nclass = \"payment\"\n",
            endpoint.address
        );
        let command = serve_command(&folder, &file);
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(format!("exec \"$0\" \"$@\" {redirection}")).arg(command.get_program());
        shell.args(command.get_args()).args(["--follow", "1/1"]).stderr(log);
        let courier = Courier::spawn_without_log(shell, address);
        TestSetup { endpoint, folder, admin, courier }
    }

    fn pay(&self, id: &str) {
        assert_eq!(self.courier.post("/pay", id, "", "42 EUR").status(), 202, "{id}");
    }

    /// Asserts that the courier delivers payments, takes a new configuration, and ends as it is told to.
    fn assert_serves_and_stops(mut self) {
        let delivered = self.endpoint.ids().len();
        self.pay("a");
        let file = fs::read_to_string(self.folder.0.join("stairshed.toml")).expect("the file");
        for route in ["x", "y"] {
            let more =
                format!("[routes.{route}]\nprefix = \"/{route}\"\npool = \"p\"\nclass = \"payment\"\n");
            self.courier.replace_config_file(&self.folder, &format!("{file}{more}"));
            wait_until("the new route", || {
                self.courier.post(&format!("/{route}"), route, "", "42 EUR").status() == 202
            });
        }
        self.pay("b");
        wait_until("all deliveries", || self.endpoint.ids().len() == delivered + 4);
        assert_eq!(outcomes(&self.folder), []);
        self.courier.signal("-TERM");
        assert_eq!(self.courier.exit(), 0);
    }

    fn dropped_lines(&self, errno: &str) -> u64 {
        let page = exchange(self.admin, b"GET /-/machine HTTP/1.1\r\nHost: x\r\n\r\n").expect("a page");
        let page: serde_json::Value = serde_json::from_slice(&page.body).expect("JSON");
        let errors = page["errors"].as_array().expect("a list").iter();
        let counts = errors.filter(|e| e["operation"] == "log" && e["errno"] == errno);
        counts.map(|e| e["count"].as_u64().expect("a number")).sum()
    }
}

#[test]
fn the_courier_goes_on_when_the_reader_of_its_log_is_gone() {
    let (reader, writer) = pipe().expect("a pipe");
    let setup = TestSetup::start(writer, "");
    drop(reader);
    setup.pay("first");
    wait_until("its delivery", || setup.endpoint.ids() == ["first"]);
    assert!(setup.dropped_lines("EPIPE") > 0);
    setup.assert_serves_and_stops();
}

#[test]
fn the_courier_goes_on_when_the_disk_of_its_log_is_full() {
    let setup = TestSetup::start(Stdio::null(), "2>/dev/full");
    assert!(setup.dropped_lines("ENOSPC") > 0);
    setup.assert_serves_and_stops();
}

#[test]
fn the_courier_goes_on_when_its_log_is_closed() {
    let setup = TestSetup::start(Stdio::null(), "2>&-");
    setup.assert_serves_and_stops();
}

#[test]
fn messages_are_answered_in_time_while_the_log_is_not_read() {
    let (reader, writer) = pipe().expect("a pipe");
    let mut setup = TestSetup::start(writer, "");
    let mut client = TcpStream::connect(setup.courier.address).expect("a connection");
    client.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a limit");
    for n in 0..2000 {
        client.write_all(request("/pay", &format!("m{n}"), "", "x").as_bytes()).expect("written");
        let started = Instant::now();
        let answer = HttpMessage::read(&mut BufReader::new(&client)).unwrap_or_default();
        assert_eq!(answer.status(), 202, "m{n} after {:?}", started.elapsed());
    }
    wait_until("all deliveries", || setup.endpoint.ids().len() == 2000);
    assert!(setup.dropped_lines("EAGAIN") > 0);
    // The log goes on once it is read, and its lines are whole.
    let mut lines = BufReader::new(reader).lines().map(|line| line.expect("text"));
    assert!(lines.by_ref().take(100).all(|line| !line.is_empty()));
    setup.pay("last");
    wait_until("its delivery", || setup.endpoint.ids().len() == 2001);
    setup.courier.signal("-TERM");
    assert_eq!(setup.courier.exit(), 0);
    let rest: Vec<String> = lines.collect();
    let starts = ["follow ", "stopping", "stopped", "configuration: ", "system: "];
    let torn = rest.iter().find(|line| !starts.iter().any(|start| line.starts_with(start)));
    assert_eq!(torn, None);
    assert!(rest.iter().any(|line| line.contains(" last taken ")));
}

// Guards against a panic, which is what `println!` does without a reader.
#[test]
fn a_tool_without_a_reader_of_its_output_ends_without_a_word() {
    for arguments in [vec!["completions", "bash"], vec!["config", "schema"]] {
        let (reader, writer) = pipe().expect("a pipe");
        drop(reader);
        let mut tool = Command::new(program());
        let output = tool.args(&arguments).stdout(writer).stderr(Stdio::piped()).output().expect("it runs");
        assert_eq!(String::from_utf8_lossy(&output.stderr), "", "{arguments:?}");
    }
}
