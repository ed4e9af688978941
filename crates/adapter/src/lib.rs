//! Translates the simulator's line protocol to and from [`stairshed_decide::interface`]. It decides nothing.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use stairshed_decide::settings::SettingsDocument;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// An input line.
#[derive(Deserialize)]
#[serde(tag = "what", rename_all_fields = "kebab-case")]
enum InputLine {
    #[serde(rename = "SYNC")]
    Sync { wall_ns: u64 },
    #[serde(rename = "GO")]
    Go {},
    #[serde(rename = "TABLE")]
    Table { buffer: u64, elements: Vec<ListedEndpoint> },
    #[serde(rename = "NEW_INSTANCE")]
    NewInstance { courier_id: u64, salt: u64, conf: Box<SettingsDocument> },
    #[serde(rename = "EXIT")]
    Exit { courier_id: u64 },
    #[serde(rename = "DIRECTORY_UPDATE")]
    DirectoryUpdate { courier_id: u64, kind: u64, buffer: Option<u64> },
    #[serde(rename = "ORDER")]
    Order {
        courier_id: u64,
        job: u64,
        #[serde(default)]
        marks: u64,
        item: Option<String>,
        time_budget_ns: i64,
        kind: usize,
        estimate_ns: Option<u64>,
        #[serde(default)]
        customer: usize,
        to_exchange: u64,
    },
    #[serde(rename = "FLOWING")]
    Flowing { courier_id: u64, job: u64 },
    #[serde(rename = "DONE")]
    Done {
        courier_id: u64,
        job: u64,
        endpoint: String,
        how: u64,
        #[serde(default)]
        detail: u64,
        #[serde(default)]
        took_ns: u64,
        #[serde(default)]
        last: bool,
        pressure: Option<LoadReport>,
    },
    #[serde(rename = "WITHDRAWN")]
    Withdrawn { courier_id: u64, job: u64 },
    #[serde(rename = "ELAPSED")]
    Elapsed { courier_id: u64, name: String },
    #[serde(rename = "ECHO")]
    Echo {
        courier_id: u64,
        endpoint: String,
        how: u64,
        #[serde(default)]
        detail: u64,
        #[serde(default)]
        took_ns: u64,
        pressure: Option<LoadReport>,
    },
    #[serde(rename = "WHISPER")]
    Whisper { courier_id: u64, sender: u64, contents: String },
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "kebab-case")]
struct ListedEndpoint {
    endpoint: String,
    #[serde(default)]
    zone: usize,
    #[serde(default)]
    sku: usize,
    destination: u64,
    state: u64,
    #[serde(default)]
    rating: f64,
}

#[derive(Deserialize)]
struct LoadReport {
    x0: Option<f64>,
    x1: Option<f64>,
}

/// An output line.
#[derive(Serialize, Debug, PartialEq)]
#[serde(tag = "what", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "kebab-case")]
enum OutputLine<'a> {
    SubmitTo {
        courier_id: u64,
        job: u64,
        try_for_ns: u64,
        endpoint: &'a str,
    },
    TurnAway {
        courier_id: u64,
        job: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        backoff_ns: Option<u64>,
    },
    ReportFailure {
        courier_id: u64,
        job: u64,
    },
    Revoke {
        courier_id: u64,
        job: u64,
        send_no: u32,
    },
    Poll {
        courier_id: u64,
        endpoint: &'a str,
    },
    Close {
        courier_id: u64,
        endpoint: &'a str,
    },
    Subscribe {
        courier_id: u64,
        active: bool,
    },
    Fetch {
        courier_id: u64,
    },
    Notify {
        courier_id: u64,
        whom: i64,
        contents: String,
    },
    WakeAt {
        courier_id: u64,
        name: String,
        from_now_ns: u64,
    },
    NoteDown {
        courier_id: u64,
        message: String,
    },
    Bug {
        courier_id: u64,
        message: String,
    },
    Done,
}

fn as_nanos_u64(d: Duration) -> u64 {
    u64::try_from(d.as_nanos()).unwrap_or(u64::MAX)
}

fn outcome(how: u64, detail: u64) -> Result<Outcome, String> {
    Ok(match how {
        10 => Outcome::Delivered,
        20 => Outcome::Error,
        30 => Outcome::Full { wait: (detail > 0).then(|| Duration::from_millis(detail)) },
        40 => Outcome::TimedOut,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::Moot,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report(pressure: Option<LoadReport>) -> Option<LimitReport> {
    let p = pressure?;
    Some(LimitReport { remaining_share: p.x0?, limit: p.x1? })
}

/// A courier: its scheduler, and the ids of the endpoint addresses that it has seen. `scheduler` is None
/// after a failure, which `fault` holds until it is reported.
struct Instance {
    scheduler: Option<Scheduler>,
    classes: usize,
    names: Vec<String>,
    endpoint_ids: HashMap<String, EndpointId>,
    events: Vec<Event>,
    fault: Option<String>,
}

impl Instance {
    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.endpoint_ids.insert(name.to_owned(), id);
        id
    }

    fn entry(&mut self, e: &ListedEndpoint) -> Result<EndpointEntry, String> {
        Ok(EndpointEntry {
            endpoint: self.endpoint_id(&e.endpoint),
            destination: DestinationId(e.destination),
            zone: e.zone,
            kind: e.sku,
            state: match e.state {
                0 => EndpointState::Gone,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(format!("unknown endpoint state {other}")),
            },
            weight: e.rating,
            requires_lease: true,
        })
    }
}

/// All couriers of this process.
#[derive(Default)]
pub struct Adapter {
    now: Time,
    tables: BTreeMap<u64, Vec<ListedEndpoint>>,
    instances: BTreeMap<u64, Instance>,
    /// Couriers with input in this batch, in order of their first line.
    pending: Vec<u64>,
}

impl Adapter {
    /// Reads lines until the input ends, and answers each batch.
    ///
    /// # Errors
    /// Names the line and what is wrong with it.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), String> {
        for (index, line) in input.lines().enumerate() {
            let at = |fault: String| format!("line {}: {fault}", index + 1);
            let line = line.map_err(|e| at(e.to_string()))?;
            if line.trim().is_empty() {
                continue;
            }
            let parsed: InputLine = serde_json::from_str(&line).map_err(|e| at(e.to_string()))?;
            if let InputLine::Go {} = parsed {
                self.answer(&mut output).map_err(|e| at(format!("cannot write the reply: {e}")))?;
            } else {
                self.apply(parsed).map_err(at)?;
            }
        }
        Ok(())
    }

    fn push(&mut self, id: u64, event: Event) -> Result<(), String> {
        self.instance(id)?.events.push(event);
        Ok(())
    }

    fn instance(&mut self, id: u64) -> Result<&mut Instance, String> {
        let instance = self.instances.get_mut(&id).ok_or_else(|| format!("unknown instance {id}"))?;
        if !self.pending.contains(&id) {
            self.pending.push(id);
        }
        Ok(instance)
    }

    fn apply(&mut self, line: InputLine) -> Result<(), String> {
        match line {
            InputLine::Sync { wall_ns } => self.now = Duration::from_nanos(wall_ns),
            InputLine::Go {} => {}
            InputLine::Table { buffer, elements } => {
                self.tables.insert(buffer, elements);
            }
            InputLine::NewInstance { courier_id, salt, conf } => {
                let made = conf.settings().and_then(|s| Scheduler::new(s, salt).map_err(|e| e.to_string()));
                let (scheduler, fault) = match made {
                    Ok(scheduler) => (Some(scheduler), None),
                    Err(fault) => (None, Some(fault)),
                };
                let classes = conf.class_names().count();
                let (names, endpoint_ids, events) = (Vec::new(), HashMap::new(), Vec::new());
                self.instances
                    .insert(courier_id, Instance { scheduler, classes, names, endpoint_ids, events, fault });
                self.instance(courier_id)?;
            }
            InputLine::Exit { courier_id } => {
                self.instance(courier_id)?;
                self.instances.remove(&courier_id);
                self.pending.retain(|id| *id != courier_id);
            }
            InputLine::DirectoryUpdate { courier_id, kind, buffer } => {
                let event = match kind {
                    0..=2 => {
                        let number = buffer.unwrap_or(0);
                        let table = self.tables.remove(&number).ok_or(format!("unknown table {number}"))?;
                        let instance = self.instance(courier_id);
                        let entries =
                            instance.and_then(|i| table.iter().map(|e| i.entry(e)).collect::<Result<_, _>>());
                        self.tables.insert(number, table);
                        Event::EndpointList { complete: kind > 0, entries: entries? }
                    }
                    3 => Event::EndpointListFailed,
                    other => return Err(format!("unknown kind of list update {other}")),
                };
                self.push(courier_id, event)?;
            }
            InputLine::Order {
                courier_id,
                job,
                marks,
                item,
                time_budget_ns,
                kind,
                estimate_ns,
                customer,
                to_exchange,
            } => {
                if kind >= self.instance(courier_id)?.classes {
                    return Err(format!("class {kind} is not listed"));
                }
                let event = Event::Accepted(Accepted {
                    message: MessageId(job),
                    class: kind,
                    tenant: customer,
                    destination: DestinationId(to_exchange),
                    key: item,
                    time_left: Duration::from_nanos(time_budget_ns.max(0) as u64),
                    estimated_work: estimate_ns.filter(|_| marks & 1 != 0).map(Duration::from_nanos),
                    history: Past::default(),
                });
                self.push(courier_id, event)?;
            }
            InputLine::Flowing { courier_id, job } => {
                self.push(courier_id, Event::ResponseStarted { message: MessageId(job) })?;
            }
            InputLine::Done { courier_id, job, endpoint, how, detail, took_ns, last, pressure } => {
                let endpoint = self.instance(courier_id)?.endpoint_id(&endpoint);
                let event = Event::AttemptEnded(AttemptEnded {
                    message: MessageId(job),
                    endpoint,
                    outcome: outcome(how, detail)?,
                    elapsed: Duration::from_nanos(took_ns),
                    is_final: last,
                    report: report(pressure),
                });
                self.push(courier_id, event)?;
            }
            InputLine::Withdrawn { courier_id, job } => {
                self.push(courier_id, Event::Withdrawn { message: MessageId(job) })?;
            }
            InputLine::Elapsed { courier_id, name } => {
                // The scheduler's timers are named by numbers; others are ignored.
                let woken = name.parse().map(|token| Event::TimerFired { token });
                if let Ok(event) = woken {
                    self.push(courier_id, event)?;
                } else {
                    self.instance(courier_id)?;
                }
            }
            InputLine::Echo { courier_id, endpoint, how, detail, took_ns, pressure } => {
                let endpoint = self.instance(courier_id)?.endpoint_id(&endpoint);
                let event = Event::ProbeEnded {
                    endpoint,
                    outcome: outcome(how, detail)?,
                    elapsed: Duration::from_nanos(took_ns),
                    report: report(pressure),
                };
                self.push(courier_id, event)?;
            }
            InputLine::Whisper { courier_id, sender, contents } => {
                let note = STANDARD.decode(contents).map_err(|e| format!("contents: {e}"))?;
                self.push(courier_id, Event::NoteReceived { from: sender, note })?;
            }
        }
        Ok(())
    }

    fn answer(&mut self, output: &mut impl Write) -> io::Result<()> {
        let mut actions = Vec::new();
        for id in std::mem::take(&mut self.pending) {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let events = std::mem::take(&mut instance.events);
            actions.clear();
            if let Some(scheduler) = &mut instance.scheduler {
                let now = self.now;
                let run = catch_unwind(AssertUnwindSafe(|| scheduler.handle(now, &events, &mut actions)));
                if let Err(panic) = run {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or(panic.downcast_ref::<&str>().copied());
                    instance.fault = Some(text.unwrap_or("panic in the module").to_owned());
                    instance.scheduler = None;
                }
            }
            for action in &actions {
                if let Some(output_line) = output_line(id, action, &instance.names) {
                    write_line(output, &output_line)?;
                }
            }
            if let Some(message) = instance.fault.take() {
                write_line(output, &OutputLine::Bug { courier_id: id, message })?;
            }
        }
        write_line(output, &OutputLine::Done)?;
        output.flush()
    }
}

/// The output line for an action; None if the protocol has none.
fn output_line<'a>(courier_id: u64, action: &Action, names: &'a [String]) -> Option<OutputLine<'a>> {
    let name = |e: EndpointId| names[e.0 as usize].as_str();
    Some(match action {
        // The simulator never forgets an endpoint.
        Action::ForgetEndpoint { .. } => return None,
        Action::Send { message, endpoint, timeout } => OutputLine::SubmitTo {
            courier_id,
            job: message.0,
            try_for_ns: as_nanos_u64(*timeout),
            endpoint: name(*endpoint),
        },
        Action::Refuse { message, wait } => {
            OutputLine::TurnAway { courier_id, job: message.0, backoff_ns: wait.map(as_nanos_u64) }
        }
        Action::Fail { message } => OutputLine::ReportFailure { courier_id, job: message.0 },
        Action::Cancel { message, attempt } => {
            OutputLine::Revoke { courier_id, job: message.0, send_no: *attempt }
        }
        Action::Probe { endpoint } => OutputLine::Poll { courier_id, endpoint: name(*endpoint) },
        Action::CloseIdleConnections { endpoint } => {
            OutputLine::Close { courier_id, endpoint: name(*endpoint) }
        }
        Action::Subscribe { active } => OutputLine::Subscribe { courier_id, active: *active },
        Action::FetchEndpointList => OutputLine::Fetch { courier_id },
        Action::SendNote { to, note } => OutputLine::Notify {
            courier_id,
            whom: to.map_or(-1, |peer| peer as i64),
            contents: STANDARD.encode(note),
        },
        Action::SetTimer { token, after } => {
            OutputLine::WakeAt { courier_id, name: token.to_string(), from_now_ns: as_nanos_u64(*after) }
        }
        Action::Log { text } => OutputLine::NoteDown { courier_id, message: text.clone() },
    })
}

fn write_line(output: &mut impl Write, output_line: &OutputLine) -> io::Result<()> {
    serde_json::to_writer(&mut *output, output_line)?;
    output.write_all(b"\n")
}
