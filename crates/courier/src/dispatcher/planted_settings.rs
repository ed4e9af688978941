//! Planted faults that change what the scheduler is told: its settings and the deadlines of messages.

use super::Dispatcher;
use super::held_message::HeldMessage;
use stairshed_clock::{StableTime, TimeOfDay};
use stairshed_decide::interface::*;
use stairshed_journal::Verdict;
use stairshed_planted_faults::{PlantedFault, is_planted};
use std::time::Duration;

/// Longer than any run of a scenario.
const ENDLESS: Duration = Duration::from_secs(3600);

/// The settings as the scheduler gets them: without a planted fault as they are.
pub fn scheduler_settings(mut settings: Settings) -> Settings {
    if is_planted(PlantedFault::SlowStartSkipped) {
        settings.slow_start_min_share = 1.0;
    }
    for class in &mut settings.classes {
        if is_planted(PlantedFault::OrderIgnored) {
            class.ordered = false;
        }
        if is_planted(PlantedFault::DeadlineByWallClock) {
            class.deadline = ENDLESS;
        }
        if let Effect::Keyed { scope, window } = &mut class.effect {
            if is_planted(PlantedFault::KeyedInOtherZone) {
                *scope = KeyScope::All;
            }
            if is_planted(PlantedFault::KeyedPastWindow) {
                *window = ENDLESS;
            }
        }
    }
    settings
}

/// The time left as the scheduler gets it: without a planted fault as it is.
pub(super) fn scheduler_time_left(time_left: Duration) -> Duration {
    if is_planted(PlantedFault::DeadlineByWallClock) { ENDLESS } else { time_left }
}

impl Dispatcher {
    /// Planted fault: ends messages whose deadline has passed by the wall clock.
    pub(super) fn end_overdue_by_wall_clock(&mut self) {
        let now = StableTime::from_epoch(TimeOfDay::now().as_unix());
        let is_overdue = |message: &HeldMessage| message.accepted.deadline <= now;
        let waiting = self.attempts.held.iter().filter(|(_, m)| m.in_flight.is_none() && is_overdue(m));
        for message in waiting.map(|(message, _)| *message).collect::<Vec<_>>() {
            let may_have_run =
                self.journal.get(message).is_some_and(|live| live.attempts.iter().any(|a| a.may_have_run));
            let bounced = Verdict::Bounced { wait: None };
            self.events.push(Event::Withdrawn { message: MessageId(message) });
            self.record_verdict(message, if may_have_run { Verdict::Dead } else { bounced });
        }
    }
}
