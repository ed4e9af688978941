//! Profiles of answers: what the status of a response says about the message that was sent.
//!
//! A profile maps each status to a [`Meaning`], which [`AnswerProfile::classify`] turns into an [`Answer`]
//! with the told wait and `Connection: close`. An exact status comes before its class; what is in no list may
//! have run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// 410 Gone.
const GONE: u16 = 410;
/// 429 Too Many Requests.
const TOO_MANY_REQUESTS: u16 = 429;
/// 503 Service Unavailable.
const SERVICE_UNAVAILABLE: u16 = 503;
/// The class of server errors.
const SERVER_ERROR_CLASS: u8 = 5;
/// Least status of a final response. Informational responses precede the final one and are skipped.
pub const MIN_STATUS: u16 = 200;
/// Greatest status.
pub const MAX_STATUS: u16 = 999;

/// A status, or a class of statuses such as `2xx`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatusPattern {
    Class(u8),
    Exact(u16),
}

impl StatusPattern {
    /// The pattern of one status; None unless it is the status of a final response.
    pub fn exact(status: u16) -> Option<Self> {
        (MIN_STATUS..=MAX_STATUS).contains(&status).then_some(StatusPattern::Exact(status))
    }

    /// Parses a class such as `2xx`; None if it is no class of final responses.
    pub fn parse_class(text: &str) -> Option<Self> {
        let [digit @ b'2'..=b'9', b'x', b'x'] = text.as_bytes() else { return None };
        Some(StatusPattern::Class(digit - b'0'))
    }
}

impl fmt::Display for StatusPattern {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StatusPattern::Class(digit) => write!(f, "{digit}xx"),
            StatusPattern::Exact(status) => write!(f, "{status}"),
        }
    }
}

/// What a status says, before the header fields of its response are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Meaning {
    /// The message is delivered.
    Delivered,
    /// The message is rejected for good.
    Rejected,
    /// The message may have run.
    MayHaveRun,
    /// The endpoint refused the message, which never ran.
    Refused,
    /// The platform's 503: the limit of the destination, unless a header field says otherwise.
    PlatformRefused,
    /// The platform's 504: the message never ran, and the endpoint is not at fault.
    Unprocessed,
    /// The platform's 410: the message has ended without running.
    Withdrawn,
}

/// What a response says about its message, and for whom a refusal holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message is delivered.
    Delivered,
    /// This endpoint refused the message, which never ran, perhaps with a told wait.
    NeverRanHere { wait: Option<Duration> },
    /// This endpoint refused the connection, and with it the message, which never ran.
    ConnectionRefused,
    /// The whole destination refused the message, which never ran, perhaps with a told wait.
    NeverRanAnywhere { wait: Option<Duration> },
    /// The message never ran, which says nothing about the endpoint.
    Unprocessed,
    /// The message has ended without running.
    Withdrawn,
    /// The message may have run.
    MayHaveRun,
    /// The message is rejected for good.
    Rejected,
}

/// For whom a told wait holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitScope {
    /// All endpoints of the destination.
    #[default]
    Pool,
    /// The endpoint that told it.
    Endpoint,
}

impl WaitScope {
    /// The refusal of a message with this wait.
    pub fn refusal(self, wait: Option<Duration>) -> Answer {
        match self {
            WaitScope::Pool => Answer::NeverRanAnywhere { wait },
            WaitScope::Endpoint => Answer::NeverRanHere { wait },
        }
    }
}

/// The header fields of a response that change what its status says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseFields {
    /// The told wait.
    pub wait: Option<Duration>,
    /// Whether `Connection: close` is there.
    pub closes_connection: bool,
    /// Whether the platform's `Slots-Taken: 1` is there.
    pub slots_taken: bool,
}

/// One of the lists of statuses that make up a profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerList {
    Delivered,
    Rejected,
    MayHaveRun,
    Refused,
}

impl AnswerList {
    const ALL: [AnswerList; 4] =
        [AnswerList::Delivered, AnswerList::Rejected, AnswerList::MayHaveRun, AnswerList::Refused];

    /// The name of its key in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            AnswerList::Delivered => "delivered",
            AnswerList::Rejected => "rejected",
            AnswerList::MayHaveRun => "may_have_run",
            AnswerList::Refused => "refused",
        }
    }

    fn meaning(self) -> Meaning {
        match self {
            AnswerList::Delivered => Meaning::Delivered,
            AnswerList::Rejected => Meaning::Rejected,
            AnswerList::MayHaveRun => Meaning::MayHaveRun,
            AnswerList::Refused => Meaning::Refused,
        }
    }

    /// What the list has where it is not configured, by RFC 9110.
    pub fn default_patterns(self) -> Vec<StatusPattern> {
        use StatusPattern::{Class, Exact};
        match self {
            AnswerList::Delivered => vec![Class(2)],
            AnswerList::Rejected => vec![Class(3), Class(4)],
            AnswerList::MayHaveRun => vec![Exact(408), Class(SERVER_ERROR_CLASS)],
            AnswerList::Refused => DEFAULT_REFUSED.map(Exact).to_vec(),
        }
    }
}

/// Statuses that prove that nothing ran, by default: Misdirected Request, Too Early, Too Many Requests and
/// Service Unavailable.
const DEFAULT_REFUSED: [u16; 4] = [421, 425, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE];
/// Statuses that may have run unless a list names them, even if their class is rejected: Request Timeout, and
/// those of [`DEFAULT_REFUSED`] that are not trusted.
const NOT_REJECTED: [u16; 5] = [408, 421, 425, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE];

/// The configured lists of a profile. A list that is None has its default, except for statuses that a
/// configured list names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerLists {
    pub delivered: Option<Vec<StatusPattern>>,
    pub rejected: Option<Vec<StatusPattern>>,
    pub may_have_run: Option<Vec<StatusPattern>>,
    pub refused: Option<Vec<StatusPattern>>,
    pub wait_scope: WaitScope,
}

impl AnswerLists {
    fn configured(&self, list: AnswerList) -> Option<&Vec<StatusPattern>> {
        match list {
            AnswerList::Delivered => self.delivered.as_ref(),
            AnswerList::Rejected => self.rejected.as_ref(),
            AnswerList::MayHaveRun => self.may_have_run.as_ref(),
            AnswerList::Refused => self.refused.as_ref(),
        }
    }
}

/// Why lists make no profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// An entry of `list` is in an earlier list, too.
    #[error("{pattern} stands in answers.{}, too", other.name())]
    InTwoLists { list: AnswerList, pattern: StatusPattern, other: AnswerList },
    /// An entry of [`AnswerList::Refused`] is a class, which contains statuses of messages that have run.
    #[error("{pattern} is a class: statuses that prove that nothing ran are named one by one")]
    RefusedClass { pattern: StatusPattern },
    /// No status counts as delivered.
    #[error("no status counts as delivered")]
    NothingDelivered,
}

/// What each status of a destination's endpoints means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerProfile {
    meanings: BTreeMap<StatusPattern, Meaning>,
    wait_scope: WaitScope,
    /// Whether `Retry-After` is heeded.
    heeds_retry_after: bool,
}

impl Default for AnswerProfile {
    /// The profile by RFC 9110.
    fn default() -> Self {
        AnswerProfile::with_lists(&AnswerLists::default())
    }
}

impl AnswerProfile {
    /// The profile of the platform's PROTOCOL document.
    pub fn platform() -> Self {
        use StatusPattern::Exact;
        let meanings = [
            (Exact(200), Meaning::Delivered),
            (Exact(GONE), Meaning::Withdrawn),
            (Exact(TOO_MANY_REQUESTS), Meaning::Refused),
            (Exact(SERVICE_UNAVAILABLE), Meaning::PlatformRefused),
            (Exact(504), Meaning::Unprocessed),
        ];
        AnswerProfile { meanings: meanings.into(), wait_scope: WaitScope::Pool, heeds_retry_after: false }
    }

    /// Builds a profile from configured lists.
    ///
    /// # Errors
    /// All contradictions among the lists.
    pub fn new(lists: &AnswerLists) -> Result<Self, Vec<ProfileError>> {
        let mut errors = contradictions(lists);
        let profile = AnswerProfile::with_lists(lists);
        if !profile.meanings.values().any(|meaning| *meaning == Meaning::Delivered) {
            errors.push(ProfileError::NothingDelivered);
        }
        if errors.is_empty() { Ok(profile) } else { Err(errors) }
    }

    fn with_lists(lists: &AnswerLists) -> Self {
        let exact = NOT_REJECTED.map(|status| (StatusPattern::Exact(status), Meaning::MayHaveRun));
        let mut meanings = BTreeMap::from(exact);
        for list in AnswerList::ALL.into_iter().filter(|list| lists.configured(*list).is_none()) {
            meanings.extend(list.default_patterns().into_iter().map(|pattern| (pattern, list.meaning())));
        }
        // What is configured comes before all defaults.
        for list in AnswerList::ALL {
            let patterns = lists.configured(list).into_iter().flatten();
            meanings.extend(patterns.map(|pattern| (*pattern, list.meaning())));
        }
        AnswerProfile { meanings, wait_scope: lists.wait_scope, heeds_retry_after: true }
    }

    /// What a status means.
    pub fn meaning(&self, status: u16) -> Meaning {
        let exact = self.meanings.get(&StatusPattern::Exact(status));
        let class = || self.meanings.get(&StatusPattern::Class(class_of(status)));
        exact.or_else(class).copied().unwrap_or(Meaning::MayHaveRun)
    }

    /// All statuses and classes with a meaning, sorted, classes first. Any other status may have run.
    pub fn meanings(&self) -> impl Iterator<Item = (StatusPattern, Meaning)> {
        self.meanings.iter().map(|(pattern, meaning)| (*pattern, *meaning))
    }

    /// For whom a told wait holds.
    pub fn wait_scope(&self) -> WaitScope {
        self.wait_scope
    }

    /// Whether a response with this status proves delivery, even if the rest of it cannot be read.
    pub fn is_delivered(&self, status: u16) -> bool {
        self.meaning(status) == Meaning::Delivered
    }

    /// Whether a response with this status ends its message, even if the rest of it cannot be read: 410,
    /// unless the profile gives it another meaning.
    pub fn is_gone(&self, status: u16) -> bool {
        status == GONE && matches!(self.meaning(status), Meaning::Withdrawn | Meaning::Rejected)
    }

    /// Whether `Retry-After` in a response with this status tells a wait, whatever else the response proves:
    /// in 429, in server errors, and in refusals.
    pub fn heeds_retry_after(&self, status: u16) -> bool {
        let is_error = status == TOO_MANY_REQUESTS || class_of(status) == SERVER_ERROR_CLASS;
        self.heeds_retry_after && (is_error || self.meaning(status) == Meaning::Refused)
    }

    /// What a response says about its message.
    pub fn classify(&self, status: u16, fields: ResponseFields) -> Answer {
        match self.meaning(status) {
            Meaning::Delivered => Answer::Delivered,
            Meaning::Rejected => Answer::Rejected,
            Meaning::MayHaveRun => Answer::MayHaveRun,
            Meaning::Refused => self.refusal(status, fields),
            Meaning::PlatformRefused if fields.slots_taken => Answer::Unprocessed,
            Meaning::PlatformRefused if fields.closes_connection => Answer::ConnectionRefused,
            Meaning::PlatformRefused => Answer::NeverRanAnywhere { wait: None },
            Meaning::Unprocessed => Answer::Unprocessed,
            Meaning::Withdrawn => Answer::Withdrawn,
        }
    }

    /// A refusal with a told wait, and 429, which tells of a limit, hold for the profile's scope; any other
    /// one for the endpoint. A 503 that closes its connection refuses the connection.
    fn refusal(&self, status: u16, fields: ResponseFields) -> Answer {
        if fields.wait.is_some() || status == TOO_MANY_REQUESTS {
            return self.wait_scope.refusal(fields.wait);
        }
        if status == SERVICE_UNAVAILABLE && fields.closes_connection {
            return Answer::ConnectionRefused;
        }
        Answer::NeverRanHere { wait: None }
    }
}

/// The entries of configured lists that contradict each other.
fn contradictions(lists: &AnswerLists) -> Vec<ProfileError> {
    let mut errors = Vec::new();
    let mut list_of: BTreeMap<StatusPattern, AnswerList> = BTreeMap::new();
    for list in AnswerList::ALL {
        for pattern in lists.configured(list).into_iter().flatten().copied() {
            let other = *list_of.entry(pattern).or_insert(list);
            if other != list {
                errors.push(ProfileError::InTwoLists { list, pattern, other });
            }
            if list == AnswerList::Refused && matches!(pattern, StatusPattern::Class(_)) {
                errors.push(ProfileError::RefusedClass { pattern });
            }
        }
    }
    errors
}

/// The first digit of a status.
fn class_of(status: u16) -> u8 {
    u8::try_from(status / 100).unwrap_or(u8::MAX)
}

#[cfg(test)]
#[path = "answers_test.rs"]
mod tests;
