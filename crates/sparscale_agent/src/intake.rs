//! When the target beside the agent takes the next request: it may limit its rate, ask for rest, or say that it leaves.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sparscale_backpressure::Signal;
use sparscale_catalog::Start;
use sparscale_clock::{Clock, system_clock};
use sparscale_policy::rate_limit::Members;
use sparscale_policy::throttle::{Availability, Notice, Tracker};

/// What the present start of the target asks.
#[derive(Debug)]
pub(crate) struct Intake {
    register: Tracker,
    clock: Arc<dyn Clock>,
    /// Starts of the target so far.
    starts: u64,
    /// Whether somebody waits for the target to take requests.
    waking: bool,
}

impl Intake {
    /// The agent is the only one that sends to its target, so it has the whole of a rate.
    pub(crate) fn new() -> Self {
        let clock = system_clock();
        let own = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut register = Tracker::default();
        register.set_members(Members::new(own, &[]), clock.now());
        Self {
            register,
            clock,
            starts: 0,
            waking: false,
        }
    }

    /// The target begins anew and asks nothing yet.
    pub(crate) fn begin(&mut self) {
        self.starts += 1;
        self.register.retain(|_| false);
    }

    /// Takes in what an answer asks. Tells whether that is news.
    pub(crate) fn hear(&mut self, signal: Signal) -> bool {
        let (start, now) = (self.start(), self.clock.now());
        let notice = Notice {
            start,
            rate: signal.rate.value(),
            leaving: signal.leaving,
            as_of: now,
        };
        let asks = self.register.merge(notice, now);
        let rests = signal
            .rest
            .and_then(|rest| self.register.record_backoff(start, rest, now))
            .is_some();
        asks || rests
    }

    /// Whether the target takes a request now; if so, one counts as handed on.
    pub(crate) fn take(&mut self) -> bool {
        let (start, now) = (self.start(), self.clock.now());
        self.register.try_acquire(start, now)
    }

    /// Time until the target takes the next request, zero if it takes one now; none if it leaves.
    pub(crate) fn opens_in(&self) -> Option<Duration> {
        let now = self.clock.now();
        match self.register.availability(self.start(), now) {
            Availability::Now => Some(Duration::ZERO),
            Availability::At(at) => Some(at.since(now)),
            Availability::Never => None,
        }
    }

    /// Whether the target wants nothing at all now: it rests or leaves. One that limits its rate takes what waits in turn.
    pub(crate) fn is_closed(&self) -> bool {
        self.register.rate(self.start()).is_none() && self.opens_in() != Some(Duration::ZERO)
    }

    /// Time until the target takes a request that `ahead` others go before; none if it leaves.
    pub(crate) fn takes_in(&self, ahead: usize) -> Option<Duration> {
        let rate = self.register.rate(self.start());
        let pace = rate.map_or(0.0, |rate| 1.0 / rate.per_second());
        Some(self.opens_in()? + Duration::from_secs_f64(pace * ahead as f64))
    }

    /// Time after which to look again, unless somebody waits for that already.
    pub(crate) fn wake_in(&mut self) -> Option<Duration> {
        let opens_in = self.opens_in().filter(|_| !self.waking)?;
        self.waking = true;
        Some(opens_in)
    }

    /// Whoever waited looks now.
    pub(crate) fn woken(&mut self) {
        self.waking = false;
    }

    fn start(&self) -> Start {
        Start::of("target", Some(self.starts))
    }
}
