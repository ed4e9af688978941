//! The scenario file.

use crate::span::{SignedSeconds, Span, SpanRange};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Classes of messages: the effects `once`, `keyed` by zone and `repeatable`.
pub const CLASSES: [&str; 3] = stairshed_rig::delivery_rules::CLASSES;
/// Calls that fail while a folder is read-only, and their error.
const READ_ONLY: (&[&str], &str) = (&["open", "write", "rename", "unlink", "truncate"], "EROFS");
/// Calls that fail while a disk is full.
const FULL: (&[&str], &str) = (&["open", "write", "rename"], "ENOSPC");
/// Calls that fail while a device is broken.
const BROKEN: (&[&str], &str) = (&["open", "write", "sync", "rename", "unlink", "truncate"], "EIO");

/// Why a scenario cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    #[error("{path}: {source}")]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    #[error("fault {number}: {why}")]
    Fault { number: usize, why: &'static str },
    #[error("{0}")]
    Value(&'static str),
}

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, in a sentence.
    pub description: String,
    #[serde(default = "one")]
    pub couriers: usize,
    /// For how long clients submit messages.
    pub duration: Span,
    #[serde(default)]
    pub start: StartMode,
    #[serde(default)]
    pub durability: Durability,
    #[serde(default)]
    pub endpoints: Endpoints,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

const fn one() -> usize {
    1
}

/// How couriers are started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartMode {
    /// By an operator's file.
    #[default]
    File,
    /// By the platform's environment. Such couriers keep no order and do not name themselves to endpoints.
    Platform,
}

/// The journal's durability.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Durability {
    #[default]
    Process,
    Machine,
}

impl Durability {
    /// Its name in the courier's file.
    pub fn name(self) -> &'static str {
        match self {
            Durability::Process => "process",
            Durability::Machine => "machine",
        }
    }
}

/// The endpoints: in each pool one for each zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Endpoints {
    pub pools: usize,
    pub zones: Vec<String>,
    /// Calls per second that a pool can take, for the check of overload. Couriers are told it.
    pub limit: Option<u32>,
    /// Calls that a courier may have out at once.
    pub calls: usize,
    /// Time to an answer.
    pub latency: SpanRange,
    /// How long receivers of keyed messages remember a key.
    pub key_window: Span,
    pub answers: Answers,
    /// Probability that an answer 200 is the last one on its connection, so that the next call connects anew.
    pub closing: f64,
}

impl Default for Endpoints {
    fn default() -> Self {
        Endpoints {
            pools: 2,
            zones: vec!["a".to_owned(), "b".to_owned()],
            limit: None,
            calls: 16,
            latency: SpanRange { least: Duration::from_millis(2), most: Duration::from_millis(40) },
            key_window: Span(Duration::from_secs(12)),
            answers: Answers::default(),
            closing: 0.0,
        }
    }
}

/// Probabilities of the endpoints' answers other than 200.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Answers {
    /// 503: the call was not run.
    pub refused: f64,
    /// 429 with a wait: the call was not run, and none may come to the pool within the wait.
    pub busy: f64,
    /// The wait of a 429.
    pub wait: Option<SpanRange>,
    /// 410: the message is over.
    pub gone: f64,
    /// The connection is closed without an answer.
    pub broken: f64,
    /// No answer.
    pub hung: f64,
}

/// The clients. Each submits messages one after the other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Clients of each class at each courier.
    pub per_class: usize,
    pub classes: Vec<String>,
    /// Classes whose messages of one client are delivered in order.
    pub ordered: Vec<String>,
    /// Messages per second of one client, at most.
    pub rate: f64,
    /// Length of bodies at least, in bytes; they begin with the message's id.
    pub body: usize,
    pub deadline: Span,
    /// How long a client waits for an answer.
    pub patience: Span,
    /// How long after its deadline a message may end: what restarts and notices take.
    pub lateness: Span,
    /// Delivery attempts that a message may have; without it the courier's default. For an operator's file.
    pub attempts: Option<u32>,
    /// How long the classes remember an id; without it the courier's default. For an operator's file.
    pub remember: Option<Span>,
    /// Probability that a client submits one of its earlier messages again, in place of a new one, within `remember`.
    pub resubmit: f64,
    /// Connections that each client opens ahead and uses in turn, so that some rest for long.
    pub spare: usize,
    /// Probability that a request is sent in two pieces, with a pause of up to 600 ms between them.
    pub split: f64,
    /// Silent connections that are kept open at each courier, and opened again when it closes them.
    pub crowd: usize,
    /// MQTT clients of each class at each courier. For an operator's file.
    pub mqtt: usize,
    /// Probability that an MQTT client leaves its connection after a message, without a DISCONNECT.
    pub reconnect: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            per_class: 2,
            classes: CLASSES.map(str::to_owned).to_vec(),
            ordered: vec!["notice".to_owned()],
            rate: 20.0,
            body: 0,
            deadline: Span(Duration::from_secs(4)),
            patience: Span(Duration::from_millis(400)),
            lateness: Span(Duration::from_millis(1850)),
            attempts: None,
            remember: None,
            resubmit: 0.0,
            spare: 0,
            split: 0.0,
            crowd: 0,
            mqtt: 0,
            reconnect: 0.0,
        }
    }
}

/// A fault and when it happens. Exactly one of the kinds is given.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimedFault {
    /// When it begins, from the start of the run.
    pub at: Option<SpanRange>,
    /// For how long it lasts; without it to the end of the run, for what lasts.
    pub span: Option<SpanRange>,
    /// Couriers that it concerns, from 0; without it all.
    pub couriers: Option<Vec<usize>>,
    /// Step of the wall clock.
    pub clock: Option<SignedSeconds>,
    /// Rules of the library `stairshed-preload`, one for each line.
    pub calls: Option<Vec<String>>,
    pub link: Option<LinkFault>,
    pub signal: Option<SignalFault>,
    pub freeze: Option<FreezeFault>,
    pub folder: Option<FolderFault>,
    pub drain: Option<DrainFault>,
}

/// The kind of a fault.
#[derive(Clone, Debug)]
pub enum FaultKind {
    Clock(f64),
    Calls(Vec<String>),
    Link(LinkFault),
    Signal(SignalFault),
    Freeze(FreezeFault),
    Drain(DrainFault),
}

/// A fault of the connections of a link.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    pub between: Link,
    pub action: LinkAction,
    /// For `delay`: how long each piece is held up.
    #[serde(default)]
    pub delay: Option<Span>,
    /// For `cut`, `reset` and `half-close`: how many further bytes pass at most. The seed draws how many.
    #[serde(default)]
    pub after_bytes: usize,
    /// For `courier-endpoint`: the zone that it concerns; without it all.
    #[serde(default)]
    pub zone: Option<String>,
}

/// A link between two parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    ClientCourier,
    CourierEndpoint,
    CourierDiscovery,
}

/// What happens to the connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkAction {
    /// Each piece is held up.
    Delay,
    /// Nothing passes until the fault is over.
    Hold,
    /// Connections are closed, new ones too.
    Cut,
    /// Connections are reset, new ones too.
    Reset,
    /// The side that connects is told that the other one has ended sending; what it sends still passes.
    HalfClose,
}

/// Signals to couriers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignalFault {
    pub kind: SignalKind,
    /// Number of signals.
    #[serde(default = "one")]
    pub count: usize,
    /// Time between two of them.
    #[serde(default)]
    pub every: Option<SpanRange>,
    /// For `term-kill`: time from SIGTERM to SIGKILL.
    #[serde(default)]
    pub grace: Option<SpanRange>,
    /// Time from the end of a process to the next start.
    #[serde(default)]
    pub down: Option<SpanRange>,
    /// For `term-kill`: how many more times SIGTERM is sent until SIGKILL, evenly spaced.
    #[serde(default)]
    pub again: usize,
}

/// The kind of a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalKind {
    /// SIGHUP.
    Hup,
    /// SIGTERM, SIGKILL after the grace, and a new start.
    TermKill,
    /// SIGKILL and a new start.
    Kill,
}

/// SIGSTOP and, after a time, SIGCONT.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreezeFault {
    /// Length of each freeze.
    pub length: SpanRange,
    #[serde(default = "one")]
    pub count: usize,
    /// Time between the ends and the beginnings.
    #[serde(default)]
    pub every: Option<SpanRange>,
}

/// A fault of the folders that couriers keep their state in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderFault {
    ReadOnly,
    Full,
    Broken,
}

impl FolderFault {
    fn rules(self) -> Vec<String> {
        let (calls, error) = match self {
            FolderFault::ReadOnly => READ_ONLY,
            FolderFault::Full => FULL,
            FolderFault::Broken => BROKEN,
        };
        calls.iter().map(|call| format!("{call} {error} 1")).collect()
    }
}

/// Discovery lists the endpoints of a zone as draining; at the end of the span they are ready again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainFault {
    pub zone: String,
}

impl TimedFault {
    /// The kind that is given.
    ///
    /// # Errors
    /// None or several are given.
    pub fn kind(&self) -> Result<FaultKind, &'static str> {
        let kinds = [
            self.clock.map(|seconds| FaultKind::Clock(seconds.0)),
            self.calls.clone().map(FaultKind::Calls),
            self.link.clone().map(FaultKind::Link),
            self.signal.clone().map(FaultKind::Signal),
            self.freeze.clone().map(FaultKind::Freeze),
            self.folder.map(|folder| FaultKind::Calls(folder.rules())),
            self.drain.clone().map(FaultKind::Drain),
        ];
        let mut given = kinds.into_iter().flatten();
        match (given.next(), given.next()) {
            (Some(kind), None) => Ok(kind),
            (None, _) => Err("give one of clock, calls, link, signal, freeze, folder, drain"),
            _ => Err("more than one kind is given"),
        }
    }

    fn check(&self, scenario: &Scenario) -> Result<(), &'static str> {
        if self.at.is_none() {
            return Err("`at` is missing");
        }
        let courier_exists = |courier: &usize| *courier < scenario.couriers;
        if !self.couriers.iter().flatten().all(courier_exists) {
            return Err("there is no such courier");
        }
        let zone_exists = |zone: &String| scenario.endpoints.zones.contains(zone);
        match self.kind()? {
            FaultKind::Link(link) if link.action == LinkAction::Delay && link.delay.is_none() => {
                Err("`delay` is missing")
            }
            FaultKind::Link(LinkFault { zone: Some(zone), .. }) if !zone_exists(&zone) => {
                Err("there is no such zone")
            }
            FaultKind::Drain(drain) if !zone_exists(&drain.zone) => Err("there is no such zone"),
            FaultKind::Calls(rules) if rules.iter().any(|rule| rule.split_whitespace().count() < 2) => {
                Err("a rule has a call, a fault and which calls it applies to")
            }
            _ => Ok(()),
        }
    }
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or is not a scenario.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| ScenarioError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&text)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    /// It is not a scenario.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        for (index, fault) in scenario.faults.iter().enumerate() {
            fault.check(&scenario).map_err(|why| ScenarioError::Fault { number: index + 1, why })?;
        }
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let Scenario { endpoints, clients, .. } = self;
        let answers = &endpoints.answers;
        let shares = [answers.refused, answers.busy, answers.gone, answers.broken, answers.hung];
        let known = |class: &String| CLASSES.contains(&class.as_str());
        let requirements = [
            (self.couriers > 0, "couriers: at least one"),
            (endpoints.pools > 0 && !endpoints.zones.is_empty(), "endpoints: at least one pool and one zone"),
            (shares.iter().all(|p| *p >= 0.0), "endpoints.answers: probabilities are not negative"),
            (shares.iter().sum::<f64>() <= 1.0, "endpoints.answers: the probabilities are more than 1"),
            ((0.0..=1.0).contains(&endpoints.closing), "endpoints.closing: from 0 to 1"),
            (clients.rate > 0.0, "clients.rate: more than 0"),
            ((0.0..=1.0).contains(&clients.reconnect), "clients.reconnect: from 0 to 1"),
            ((0.0..=1.0).contains(&clients.split), "clients.split: from 0 to 1"),
            (clients.mqtt == 0 || self.start == StartMode::File, "clients.mqtt: needs an operator's file"),
            (clients.mqtt == 0 || clients.remember.is_some(), "clients.mqtt: needs clients.remember"),
            ((0.0..=1.0).contains(&clients.resubmit), "clients.resubmit: from 0 to 1"),
            (
                clients.resubmit == 0.0 || clients.remember.is_some(),
                "clients.resubmit: needs clients.remember",
            ),
            (clients.classes.iter().chain(&clients.ordered).all(known), "clients: no such class"),
        ];
        let broken = requirements.iter().find(|(holds, _)| !holds);
        broken.map_or(Ok(()), |(_, why)| Err(ScenarioError::Value(why)))
    }

    /// Whether it has a fault of this link.
    pub fn has_link(&self, link: Link) -> bool {
        self.faults.iter().any(|fault| fault.link.as_ref().is_some_and(|own| own.between == link))
    }

    /// The generator from which everything is drawn.
    pub fn generator(seed: u64) -> SmallRng {
        SmallRng::seed_from_u64(seed)
    }
}

#[cfg(test)]
#[path = "scenario_test.rs"]
mod tests;
