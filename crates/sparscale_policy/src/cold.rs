//! Decides which targets count as cold, and until when.
//!
//! Load pattern: targets restart under load, or a whole hall returns after an evacuation or an outage. They are the
//! emptiest of all, so every entry would choose them at once, and a cold target fails at a rate that it handles when
//! warm. The roster states that a target is cold only after its next heartbeat, so a new start and a returned hall
//! count as cold before that.

use std::collections::HashMap;
use std::time::Duration;

use sparscale_catalog::{Directory, Instance, StartId, TargetStatus, cold};
use sparscale_clock::Timestamp;

use crate::rate_limit::Rate;

/// Time for which a target that the roster still lists as cold counts as cold after the latest look at the roster: a
/// heartbeat that states the end may be this late.
const LISTED_COLD_TIME: Duration = Duration::from_millis(1_500);

/// Largest assumed difference between the clock of a target and that of this process.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// The limit of a cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Start of the target.
    pub start: StartId,
    /// Requests a second that it handles from all entries together.
    pub rate: Rate,
    /// When it counts as warm; not later than the look at the roster if the roster lists it as warm again.
    pub until: Timestamp,
}

/// The targets that a process knew at its latest look at the roster.
#[derive(Debug, Default)]
pub struct Register {
    known: HashMap<StartId, Known>,
    /// Whether the system starts for the first time, with targets that are warm.
    is_first_start: bool,
}

/// What the latest look at the roster showed of a target.
#[derive(Debug, Clone, Copy)]
struct Known {
    status: TargetStatus,
    is_listed: bool,
    /// When the target was last seen to turn cold.
    turned_cold_at: Option<Timestamp>,
}

impl Register {
    /// The register of a process that has not looked at a roster yet.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Returns the limits of the targets that are cold at `now`; `cold_start` states how the targets of a service
    /// start, or none if they are never cold.
    ///
    /// A start in the first roster that a process reads does not count as new, because it may be of any age, unless the
    /// roster states a time of the start that is recent at `unix_ms`. If it is listed as cold, it may be so for the
    /// whole time of a cold start, and the roster may not be readable again before that has passed; so it counts as
    /// cold for that time unless a later roster lists it as warm.
    pub fn update<'a>(
        &mut self,
        targets: &Directory,
        cold_start: impl Fn(&str) -> Option<&'a cold::Start>,
        now: Timestamp,
        unix_ms: u64,
    ) -> Vec<Limit> {
        let is_first = self.known.is_empty();
        let previous = std::mem::take(&mut self.known);
        let mut limits = Vec::new();
        for instance in targets.instances() {
            let (status, is_listed) = (instance.target.status, instance.target.is_cold);
            let cold_start = cold_start(&instance.target.service);
            let before = previous.get(&instance.start);
            let has_returned = match before {
                None if is_first => cold_start.is_some_and(|cold_start| self.is_young(instance, cold_start, unix_ms)),
                None => true,
                Some(before) => before.status == TargetStatus::Evacuated && status == TargetStatus::Ready,
            };
            let turned_cold_at = before.and_then(|before| before.turned_cold_at);
            // The first listing after a new start or a return belongs to the same time of being cold.
            let is_counted = turned_cold_at
                .zip(cold_start)
                .is_some_and(|(at, cold_start)| now.since(at) < cold_start.duration);
            let is_newly_listed = is_listed && before.is_none_or(|before| !before.is_listed);
            let turns_cold = has_returned || (is_newly_listed && !is_counted);
            self.known.insert(
                instance.start,
                Known {
                    status,
                    is_listed,
                    turned_cold_at: if turns_cold { Some(now) } else { turned_cold_at },
                },
            );
            let Some(cold_start) = cold_start else {
                continue;
            };
            let Ok(rate) = Rate::try_from(cold_start.requests_per_second) else {
                continue;
            };
            let time = if turns_cold {
                cold_start.duration
            } else if is_listed {
                LISTED_COLD_TIME
            } else if before.is_some_and(|before| before.is_listed) {
                Duration::ZERO
            } else {
                continue;
            };
            limits.push(Limit {
                start: instance.start,
                rate,
                until: now + time,
            });
        }
        limits
    }

    /// Whether a start of the first roster may be so recent that no heartbeat has stated yet that it is cold.
    fn is_young(&self, instance: &Instance, cold_start: &cold::Start, unix_ms: u64) -> bool {
        let age = |born_ms: u64| Duration::from_millis(unix_ms.saturating_sub(born_ms));
        let born_ms = instance.target.born_ms.filter(|_| !self.is_first_start);
        born_ms.is_some_and(|born_ms| age(born_ms) < cold_start.duration + CLOCK_TOLERANCE)
    }
}
