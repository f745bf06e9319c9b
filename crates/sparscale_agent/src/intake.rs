//! When the target beside the agent takes the next request: it may limit its rate, ask for rest, or say that it leaves.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName, RETRY_AFTER};
use sparscale_catalog::Start;
use sparscale_clock::{Clock, machine};
use sparscale_policy::rate_limit::{Members, Rate};
use sparscale_policy::throttle::{Notice, Opening, Register};
use sparscale_telemetry::DECISION;

/// Header with the requests a second that the target takes.
const RATE_LIMIT: HeaderName = HeaderName::from_static("sparscale-rate-limit");
/// Header that says that the target leaves.
const DRAINING: HeaderName = HeaderName::from_static("sparscale-draining");

/// What an answer of the target asks.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signal {
    /// Requests a second that it takes, if it limits them.
    pub rate: Option<Rate>,
    /// Time for which it wants nothing.
    pub rest: Option<Duration>,
    /// Whether it leaves.
    pub leaving: bool,
}

impl Signal {
    /// Reads the head of an answer; what cannot be read is logged and asks nothing.
    pub(crate) fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        let turns_away = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        let rest = read(headers, &RETRY_AFTER, |text| {
            Duration::try_from_secs_f64(text.parse().ok()?).ok()
        });
        Self {
            rate: read(headers, &RATE_LIMIT, |text| Rate::try_from(text).ok()),
            rest: rest.filter(|_| turns_away),
            leaving: read(headers, &DRAINING, |text| (text == "1").then_some(())).is_some(),
        }
    }
}

fn read<T>(headers: &HeaderMap, name: &HeaderName, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
    let text = headers.get(name)?.to_str().unwrap_or_default().trim();
    let parsed = parse(text);
    if parsed.is_none() {
        log::warn!(target: DECISION, decision = "unreadable", header = name.as_str(), text; "the target asks something that cannot be read");
    }
    parsed
}

/// What the present start of the target asks.
#[derive(Debug)]
pub(crate) struct Intake {
    register: Register,
    clock: Arc<dyn Clock>,
    /// Starts of the target so far.
    starts: u64,
    /// Whether somebody waits for the target to take requests.
    waking: bool,
}

impl Intake {
    /// The agent is the only one that sends to its target, so it has the whole of a rate.
    pub(crate) fn new() -> Self {
        let clock = machine();
        let own = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut register = Register::default();
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
            rate: signal.rate,
            leaving: signal.leaving,
            as_of: now,
        };
        let asks = self.register.note(notice, now);
        let rests = signal
            .rest
            .and_then(|rest| self.register.rest(start, rest, now))
            .is_some();
        asks || rests
    }

    /// Whether the target takes a request now; if so, one counts as handed on.
    pub(crate) fn take(&mut self) -> bool {
        let (start, now) = (self.start(), self.clock.now());
        self.register.take(start, now)
    }

    /// Time until the target takes the next request, zero if it takes one now; none if it leaves.
    pub(crate) fn opens_in(&self) -> Option<Duration> {
        let now = self.clock.now();
        match self.register.opening(self.start(), now) {
            Opening::Now => Some(Duration::ZERO),
            Opening::At(at) => Some(at.since(now)),
            Opening::Never => None,
        }
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
