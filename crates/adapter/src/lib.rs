//! Translates the line protocol of the bench to and from [`stairshed_decide::interface`]. It decides nothing.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use stairshed_decide::interface::*;
use stairshed_decide::scheduler::Scheduler;
use stairshed_decide::settings::SettingsDocument;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// One line received.
#[derive(Deserialize)]
#[serde(tag = "what", rename_all_fields = "kebab-case")]
enum News {
    #[serde(rename = "SYNC")]
    Sync { wall_ns: u64 },
    #[serde(rename = "GO")]
    Go {},
    #[serde(rename = "TABLE")]
    Table { buffer: u64, elements: Vec<Element> },
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
        pressure: Option<Pressure>,
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
        pressure: Option<Pressure>,
    },
    #[serde(rename = "WHISPER")]
    Whisper { courier_id: u64, sender: u64, contents: String },
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "kebab-case")]
struct Element {
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
struct Pressure {
    x0: Option<f64>,
    x1: Option<f64>,
}

/// One line sent.
#[derive(Serialize, Debug, PartialEq)]
#[serde(tag = "what", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "kebab-case")]
enum Deed<'a> {
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

fn nanos(d: Duration) -> u64 {
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

fn report(pressure: Option<Pressure>) -> Option<LimitReport> {
    let p = pressure?;
    Some(LimitReport { remaining_share: p.x0?, limit: p.x1? })
}

/// One courier: its module and the numbers given to the endpoint addresses it has heard of.
struct Instance {
    scheduler: Option<Scheduler>,
    classes: usize,
    names: Vec<String>,
    numbers: HashMap<String, EndpointId>,
    news: Vec<Event>,
    fault: Option<String>,
}

impl Instance {
    fn number(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let id = EndpointId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), id);
        id
    }

    fn entry(&mut self, e: &Element) -> Result<EndpointEntry, String> {
        Ok(EndpointEntry {
            endpoint: self.number(&e.endpoint),
            destination: DestinationId(e.destination),
            zone: e.zone,
            kind: e.sku,
            state: match e.state {
                0 => EndpointState::Gone,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(format!("unknown state {other}")),
            },
            weight: e.rating,
            requires_lease: true,
        })
    }
}

/// The adapter: all instances of this process.
#[derive(Default)]
pub struct Host {
    now: Time,
    tables: BTreeMap<u64, Vec<Element>>,
    instances: BTreeMap<u64, Instance>,
    /// Instances with news in this batch, in order of their first event.
    turn: Vec<u64>,
}

impl Host {
    /// Reads events until the input ends, answering each batch. An error names what was wrong.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), String> {
        for (index, line) in input.lines().enumerate() {
            let at = |fault: String| format!("line {}: {fault}", index + 1);
            let line = line.map_err(|e| at(e.to_string()))?;
            if line.trim().is_empty() {
                continue;
            }
            let news: News = serde_json::from_str(&line).map_err(|e| at(e.to_string()))?;
            if let News::Go {} = news {
                self.answer(&mut output).map_err(|e| at(format!("cannot write the reply: {e}")))?;
            } else {
                self.take(news).map_err(at)?;
            }
        }
        Ok(())
    }

    fn push(&mut self, id: u64, event: Event) -> Result<(), String> {
        self.known(id)?.news.push(event);
        Ok(())
    }

    fn known(&mut self, id: u64) -> Result<&mut Instance, String> {
        let instance = self.instances.get_mut(&id).ok_or_else(|| format!("unknown instance {id}"))?;
        if !self.turn.contains(&id) {
            self.turn.push(id);
        }
        Ok(instance)
    }

    fn take(&mut self, news: News) -> Result<(), String> {
        match news {
            News::Sync { wall_ns } => self.now = Duration::from_nanos(wall_ns),
            News::Go {} => {}
            News::Table { buffer, elements } => {
                self.tables.insert(buffer, elements);
            }
            News::NewInstance { courier_id, salt, conf } => {
                let made = conf.settings().and_then(|s| Scheduler::new(s, salt).map_err(|e| e.to_string()));
                let (scheduler, fault) = match made {
                    Ok(scheduler) => (Some(scheduler), None),
                    Err(fault) => (None, Some(fault)),
                };
                let classes = conf.class_names().count();
                let (names, numbers, news) = (Vec::new(), HashMap::new(), Vec::new());
                self.instances
                    .insert(courier_id, Instance { scheduler, classes, names, numbers, news, fault });
                self.known(courier_id)?;
            }
            News::Exit { courier_id } => {
                self.known(courier_id)?;
                self.instances.remove(&courier_id);
                self.turn.retain(|id| *id != courier_id);
            }
            News::DirectoryUpdate { courier_id, kind, buffer } => {
                let event = match kind {
                    0..=2 => {
                        let number = buffer.unwrap_or(0);
                        let table = self.tables.remove(&number).ok_or(format!("no table {number}"))?;
                        let instance = self.known(courier_id);
                        let entries =
                            instance.and_then(|i| table.iter().map(|e| i.entry(e)).collect::<Result<_, _>>());
                        self.tables.insert(number, table);
                        Event::EndpointList { complete: kind > 0, entries: entries? }
                    }
                    3 => Event::EndpointListFailed,
                    other => return Err(format!("unknown kind of list {other}")),
                };
                self.push(courier_id, event)?;
            }
            News::Order {
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
                if kind >= self.known(courier_id)?.classes {
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
            News::Flowing { courier_id, job } => {
                self.push(courier_id, Event::ResponseStarted { message: MessageId(job) })?;
            }
            News::Done { courier_id, job, endpoint, how, detail, took_ns, last, pressure } => {
                let endpoint = self.known(courier_id)?.number(&endpoint);
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
            News::Withdrawn { courier_id, job } => {
                self.push(courier_id, Event::Withdrawn { message: MessageId(job) })?;
            }
            News::Elapsed { courier_id, name } => {
                // A name that is no number was not set by the module; it has no use for it.
                let woken = name.parse().map(|token| Event::TimerFired { token });
                if let Ok(event) = woken {
                    self.push(courier_id, event)?;
                } else {
                    self.known(courier_id)?;
                }
            }
            News::Echo { courier_id, endpoint, how, detail, took_ns, pressure } => {
                let endpoint = self.known(courier_id)?.number(&endpoint);
                let event = Event::ProbeEnded {
                    endpoint,
                    outcome: outcome(how, detail)?,
                    elapsed: Duration::from_nanos(took_ns),
                    report: report(pressure),
                };
                self.push(courier_id, event)?;
            }
            News::Whisper { courier_id, sender, contents } => {
                let note = STANDARD.decode(contents).map_err(|e| format!("contents: {e}"))?;
                self.push(courier_id, Event::NoteReceived { from: sender, note })?;
            }
        }
        Ok(())
    }

    fn answer(&mut self, output: &mut impl Write) -> io::Result<()> {
        let mut actions = Vec::new();
        for id in std::mem::take(&mut self.turn) {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let news = std::mem::take(&mut instance.news);
            actions.clear();
            if let Some(scheduler) = &mut instance.scheduler {
                let now = self.now;
                let run = catch_unwind(AssertUnwindSafe(|| scheduler.handle(now, &news, &mut actions)));
                if let Err(panic) = run {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or(panic.downcast_ref::<&str>().copied());
                    instance.fault = Some(text.unwrap_or("panic in the module").to_owned());
                    instance.scheduler = None;
                }
            }
            for action in &actions {
                if let Some(deed) = deed(id, action, &instance.names) {
                    write_line(output, &deed)?;
                }
            }
            if let Some(message) = instance.fault.take() {
                write_line(output, &Deed::Bug { courier_id: id, message })?;
            }
        }
        write_line(output, &Deed::Done)?;
        output.flush()
    }
}

/// What the wire says of an action; nothing where it has no word for it.
fn deed<'a>(courier_id: u64, action: &Action, names: &'a [String]) -> Option<Deed<'a>> {
    let name = |e: EndpointId| names[e.0 as usize].as_str();
    Some(match action {
        // An endpoint that was once listed stays known to the bench.
        Action::ForgetEndpoint { .. } => return None,
        Action::Send { message, endpoint, timeout } => Deed::SubmitTo {
            courier_id,
            job: message.0,
            try_for_ns: nanos(*timeout),
            endpoint: name(*endpoint),
        },
        Action::Refuse { message, wait } => {
            Deed::TurnAway { courier_id, job: message.0, backoff_ns: wait.map(nanos) }
        }
        Action::Fail { message } => Deed::ReportFailure { courier_id, job: message.0 },
        Action::Cancel { message, attempt } => Deed::Revoke { courier_id, job: message.0, send_no: *attempt },
        Action::Probe { endpoint } => Deed::Poll { courier_id, endpoint: name(*endpoint) },
        Action::CloseIdleConnections { endpoint } => Deed::Close { courier_id, endpoint: name(*endpoint) },
        Action::Subscribe { active } => Deed::Subscribe { courier_id, active: *active },
        Action::FetchEndpointList => Deed::Fetch { courier_id },
        Action::SendNote { to, note } => Deed::Notify {
            courier_id,
            whom: to.map_or(-1, |peer| peer as i64),
            contents: STANDARD.encode(note),
        },
        Action::SetTimer { token, after } => {
            Deed::WakeAt { courier_id, name: token.to_string(), from_now_ns: nanos(*after) }
        }
        Action::Log { text } => Deed::NoteDown { courier_id, message: text.clone() },
    })
}

fn write_line(output: &mut impl Write, deed: &Deed) -> io::Result<()> {
    serde_json::to_writer(&mut *output, deed)?;
    output.write_all(b"\n")
}
