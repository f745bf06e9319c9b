//! What targets ask of those that send to them, as this process knows it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Seat, Start};
use sparscale_clock::{Clock, Moment};
use sparscale_policy::rate_limit::{Members, Rate};
use sparscale_policy::throttle::{Notice, Opening, Register};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;

/// What this process knows.
#[derive(Debug)]
pub struct Throttle {
    register: Mutex<Register>,
    /// Shows that something was learnt.
    learnt: watch::Sender<()>,
    clock: Arc<dyn Clock>,
}

impl Throttle {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            register: Mutex::default(),
            learnt: watch::Sender::new(()),
            clock,
        }
    }

    /// Notes what the answer of a target asks: the requests a second that it takes from all entries, if it limits them, and
    /// whether it leaves.
    pub fn note(&self, seat: &Seat, rate: Option<Rate>, leaving: bool) {
        let notice = Notice {
            start: seat.start,
            rate,
            leaving,
            as_of: self.clock.now(),
        };
        let news = self.take_in(notice, "answer", Some(&seat.target.id));
        // Only who has the word from the target itself confirms it: the others would tell each other for ever.
        let confirms = self.register().confirm(seat.start);
        self.tell(news || confirms);
    }

    /// Notes that a target wants nothing from this process for `rest`.
    pub fn rest(&self, seat: &Seat, rest: Duration) {
        let now = self.clock.now();
        let Some(until) = self.register().rest(seat.start, rest, now) else {
            return;
        };
        log::info!(
            target: DECISION,
            decision = "rest",
            at = seat.target.id.as_str(),
            start = seat.start.to_string().as_str(),
            asked_ms = rest.as_millis() as u64,
            rest_ms = until.since(now).as_millis() as u64;
            "a target wants nothing from this process for a time"
        );
    }

    /// Takes in what the peer `source` told.
    pub fn offer(&self, notices: &[Notice], source: &str) {
        let taken = notices.iter().map(|notice| self.take_in(*notice, source, None));
        let news = taken.filter(|news| *news).count();
        self.tell(news > 0);
    }

    /// Divides the rates of targets among `members` from now on.
    pub fn set_members(&self, members: Members) {
        let now = self.clock.now();
        self.register().set_members(members, now);
    }

    /// Whether no target asks anything.
    pub fn is_idle(&self) -> bool {
        self.register().is_empty()
    }

    /// Whether this process may send to a target now.
    pub fn is_open(&self, seat: &Seat) -> bool {
        self.opening(seat) == Opening::Now
    }

    /// Whether this process may send to a target now; if so, a request counts as sent.
    pub fn take(&self, seat: &Seat) -> bool {
        let now = self.clock.now();
        self.register().take(seat.start, now)
    }

    /// When the target takes the next request.
    pub fn opening(&self, seat: &Seat) -> Opening {
        let now = self.clock.now();
        self.register().opening(seat.start, now)
    }

    /// Requests a second that the target takes from all entries, if it limits them.
    pub fn rate(&self, seat: &Seat) -> Option<f64> {
        self.register().rate(seat.start).map(Rate::per_second)
    }

    /// What was learnt after position `since`, and the position now.
    pub fn news(&self, since: u64) -> (Vec<Notice>, u64) {
        self.register().news(since)
    }

    /// Wakes whenever something was learnt.
    pub fn learnings(&self) -> watch::Receiver<()> {
        self.learnt.subscribe()
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

    fn tell(&self, news: bool) {
        if news {
            self.learnt.send_replace(());
        }
    }

    fn register(&self) -> MutexGuard<'_, Register> {
        // A panic leaves whole entries: each is replaced in one step.
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_notice(notice: &Notice, source: &str, target: Option<&str>, now: Moment) {
    log::info!(
        target: DECISION,
        decision = "target_asks",
        at = target,
        start = notice.start.to_string().as_str(),
        per_second = notice.rate.map(Rate::per_second),
        leaving = notice.leaving,
        source,
        age_ms = now.since(notice.as_of).as_millis() as u64;
        "a target limits its rate, ceases to, or leaves"
    );
}
