//! What targets ask of those that send to them, as this process knows it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sparscale_catalog::{Directory, Seat, Start};
use sparscale_clock::{Clock, Moment};
use sparscale_policy::rate_limit::Rate;
use sparscale_policy::throttle::{Notice, Register};
use sparscale_telemetry::DECISION;

/// What this process knows.
#[derive(Debug)]
pub struct Throttle {
    register: Mutex<Register>,
    clock: Arc<dyn Clock>,
}

impl Throttle {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            register: Mutex::default(),
            clock,
        }
    }

    /// Notes what the answer of a target asks: the requests a second that it takes from all entries, if it limits them.
    pub fn note(&self, seat: &Seat, rate: Option<Rate>) {
        let notice = Notice {
            start: seat.start,
            rate,
            as_of: self.clock.now(),
        };
        self.take_in(notice, "answer", Some(&seat.target.id));
    }

    /// Forgets what targets ask that are gone.
    pub fn retain(&self, targets: &Directory) {
        let mut register = self.register();
        if register.is_empty() {
            return;
        }
        let there: Vec<Start> = targets.seats().iter().map(|seat| seat.start).collect();
        register.retain(|start| there.contains(&start));
    }

    fn take_in(&self, notice: Notice, source: &str, target: Option<&str>) -> bool {
        let now = self.clock.now();
        let news = self.register().note(notice, now);
        if news {
            log_notice(&notice, source, target, now);
        }
        news
    }

    fn register(&self) -> MutexGuard<'_, Register> {
        // A panic leaves whole entries: each is replaced in one step.
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_notice(notice: &Notice, source: &str, target: Option<&str>, now: Moment) {
    log::info!(
        target: DECISION,
        decision = "rate_limit",
        at = target,
        start = notice.start.to_string().as_str(),
        per_second = notice.rate.map(Rate::per_second),
        source,
        age_ms = now.since(notice.as_of).as_millis() as u64;
        "a target limits its rate, or ceases to"
    );
}
