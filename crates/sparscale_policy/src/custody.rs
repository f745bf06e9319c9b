//! Decides which connections to a target are known to belong to the process that received a request.
//!
//! Load pattern: responses without a length end with their connection, and only an idle connection to the same process
//! shows that the process was still running then. Targets close connections that have been idle for a while; they also
//! terminate and listen again at the same address, some within milliseconds, while the kernel still delivers what the
//! terminated process had sent.
//!
//! One process at a time accepts connections at an address, and all of its connections end with it. A connection that is
//! established while an older one is open therefore belongs to the same process: both are of one generation. That is
//! confirmed once the older one is still open after its end would have arrived. The first connection after a gap may belong
//! to the next process, and begins another generation.
//!
//! A target that is replaced terminates as soon as it has sent its last response. The order in which its connections end
//! separates that from a termination in the middle of a response: the connection of a whole response is closed before the
//! process terminates, so it ends first. A kernel closes the connections of a terminating process in the order of their
//! descriptors, from the highest to the lowest, some from the lowest to the highest. A process takes the lowest free
//! descriptor for a connection, but a server that blocks until one arrives has taken it by then, when it accepted the one
//! before. So a connection that is requested between two others, its escorts, has a higher descriptor than the first, or the
//! first took an outdated one, and a lower one than the second. If its response is cut off, one of the escorts ends before.

use std::collections::VecDeque;
use std::time::Duration;

use sparscale_clock::Timestamp;

use crate::termination;

/// Difference of age between the first two connections.
const MIN_SPACING: Duration = Duration::from_millis(150);
/// Escorts of a connection that carries a request.
const ESCORTS: usize = 2;
/// Most connections whose end is remembered.
const MAX_ENDED: usize = 32;
/// A connection that is closed sooner was refused, or its target closes idle connections almost at once.
const MIN_LIFETIME: Duration = Duration::from_millis(50);
/// Generations in a row that end so, from which on the next one waits.
const MAX_SHORT_LIVED: u32 = 2;
/// Time until the next connection after one that was not established, or after too many short-lived ones.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time in which a terminating process closes all of its connections, and this process notices: the kernel closes them one
/// after the other.
const CLOSING_TIME: Duration = Duration::from_millis(50);
/// Connections of different age that are closed within this time are closed by a terminating process, not for being idle.
const JOINT_TIME: Duration = Duration::from_millis(5);
/// Shortest and longest time that is waited for the ends of connections that were closed together.
const MIN_DELIVERY_TIME: Duration = Duration::from_millis(5);
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Connections that belong to one process of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Generation(u64);

/// Identifies a connection of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link(u64);

impl From<Link> for u64 {
    fn from(link: Link) -> Self {
        link.0
    }
}

impl From<u64> for Link {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

/// When the next connection is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Now.
    Now,
    /// At this time, unless a connection is closed before.
    At(Timestamp),
    /// Not before a connection is closed.
    AfterClose,
}

/// When a connection was requested and established.
#[derive(Debug, Clone, Copy)]
struct Establishment {
    /// When it was requested.
    started_at: Timestamp,
    /// When it was known to be established.
    established_at: Timestamp,
}

/// An open connection that carries no requests.
#[derive(Debug, Clone, Copy)]
struct Witness {
    link: Link,
    establishment: Establishment,
    /// Whether it is known to belong to the process of the generation.
    is_confirmed: bool,
}

impl Witness {
    fn age(&self, now: Timestamp) -> Duration {
        now.since(self.establishment.established_at)
    }
}

/// A connection that carries a request.
#[derive(Debug)]
struct Carrier {
    link: Link,
    began_at: Timestamp,
    /// Connections without requests that were requested right before and after it.
    escorts: Vec<Link>,
}

/// A connection that its target has ended.
#[derive(Debug, Clone, Copy)]
struct Ended {
    link: Link,
    at: Timestamp,
    /// Generation of a connection that carried no requests.
    generation: Option<Generation>,
}

/// The connections to a target.
#[derive(Debug)]
pub struct Custody {
    generation: Generation,
    next_link: u64,
    /// Open connections without requests, the oldest first.
    open: Vec<Witness>,
    carriers: Vec<Carrier>,
    /// The connections that ended last, in that order.
    ended: VecDeque<Ended>,
    /// The generation whose last connection was closed most recently, if another one was closed together with it.
    last_ended: Option<(Generation, Timestamp)>,
    last_closed_at: Option<Timestamp>,
    /// When a connection was closed most recently for another reason than having been idle, as far as its age shows.
    unsettled_since: Option<Timestamp>,
    /// How long the connection that was closed most recently had been open.
    last_lifetime: Option<Duration>,
    /// How long the one had been open that was closed before those that were closed together most recently.
    earlier_lifetime: Option<Duration>,
    /// Time until the target ended the connection of a request most recently.
    last_duration: Option<Duration>,
    /// Generations in a row whose last connection was closed sooner than after [`MIN_LIFETIME`].
    short_lived: u32,
    /// No connection is needed before.
    retry_at: Option<Timestamp>,
}

impl Default for Custody {
    fn default() -> Self {
        Self {
            generation: Generation(0),
            next_link: 0,
            open: Vec::new(),
            carriers: Vec::new(),
            ended: VecDeque::new(),
            last_ended: None,
            last_closed_at: None,
            unsettled_since: None,
            last_lifetime: None,
            earlier_lifetime: None,
            last_duration: None,
            short_lived: 0,
            retry_at: None,
        }
    }
}

impl Custody {
    /// Records a connection that was requested at `started_at` and is established now. Connections that have been closed
    /// before are recorded first. Returns none if it cannot be used: another one was closed a short time ago, so the next
    /// process may have accepted it. Others may no longer be needed then.
    pub fn establish(&mut self, started_at: Timestamp, now: Timestamp) -> Option<Link> {
        if !self.open.is_empty() && self.unsettled_until(now).is_some() {
            return None;
        }
        let link = self.create_link();
        let establishment = Establishment {
            started_at,
            established_at: now,
        };
        self.open.push(Witness {
            link,
            establishment,
            is_confirmed: false,
        });
        self.begin_generation_if_unconfirmed();
        self.drop_surplus();
        Some(link)
    }

    /// Records that all connections that are not recorded as closed were open at `now`.
    pub fn observe_open(&mut self, now: Timestamp) {
        let delivery_time = self.delivery_time();
        for open in &mut self.open {
            open.is_confirmed |= open.age(now) >= delivery_time;
        }
        self.drop_surplus();
    }

    /// When [`Self::observe_open`] can confirm the next connection; none if all are confirmed.
    pub fn confirmable_at(&self) -> Option<Timestamp> {
        let unconfirmed = self.open.iter().find(|open| !open.is_confirmed)?;
        Some(unconfirmed.establishment.established_at + self.delivery_time())
    }

    /// Begins a generation with the oldest open connection, unless one is known to belong to the current generation.
    fn begin_generation_if_unconfirmed(&mut self) {
        if self.current().is_some() {
            return;
        }
        if let Some(oldest) = self.open.first_mut() {
            oldest.is_confirmed = true;
            self.generation.0 += 1;
        }
    }

    /// Records a connection like [`Self::establish`] that was requested right before or after `carrier`.
    pub fn escort(&mut self, carrier: Link, started_at: Timestamp, now: Timestamp) -> Option<Link> {
        let link = Link(self.next_link);
        if let Some(carrier) = self.carriers.iter_mut().find(|known| known.link == carrier) {
            carrier.escorts.push(link);
        }
        self.establish(started_at, now)
    }

    /// Whether a connection without requests is still needed.
    pub fn is_needed(&self, link: Link) -> bool {
        self.open.iter().any(|open| open.link == link)
    }

    /// Records a connection that carries a request from now on.
    pub fn carry(&mut self, now: Timestamp) -> Link {
        let link = self.create_link();
        self.carriers.push(Carrier {
            link,
            began_at: now,
            escorts: Vec::new(),
        });
        link
    }

    /// Whether escorts are likely to stay open until a response ends: the target keeps idle connections for longer than its
    /// responses take.
    pub fn allows_escorts(&self) -> bool {
        let (Some(lifetime), Some(duration)) = (self.last_lifetime, self.last_duration) else {
            return true;
        };
        lifetime > duration
    }

    /// Records that a request is complete, or its connection no longer used.
    pub fn release(&mut self, carrier: Link) {
        self.carriers.retain(|known| known.link != carrier);
        self.drop_surplus();
    }

    /// Records that the target has ended a connection. Connections are recorded in the order in which they ended; only
    /// the first end of each counts.
    pub fn close(&mut self, link: Link, now: Timestamp) {
        if self.ended.iter().any(|ended| ended.link == link) {
            return;
        }
        if let Some(carrier) = self.find_carrier(link) {
            self.last_duration = Some(now.since(carrier.began_at));
            self.remember(Ended {
                link,
                at: now,
                generation: None,
            });
            return;
        }
        let Some(index) = self.open.iter().position(|open| open.link == link) else {
            return;
        };
        let witness = self.open.remove(index);
        self.remember(Ended {
            link,
            at: now,
            generation: Some(self.generation),
        });
        let lifetime = witness.age(now);
        let is_simultaneous = self
            .last_closed_at
            .is_some_and(|closed_at| now.since(closed_at) <= JOINT_TIME);
        let is_same_age = self
            .last_lifetime
            .is_some_and(|other| lifetime.abs_diff(other) <= JOINT_TIME.max(lifetime / 8));
        if !is_simultaneous && self.last_ended.is_none() {
            self.earlier_lifetime = self.last_lifetime;
        }
        let shortest = self.last_lifetime.map_or(lifetime, |other| lifetime.min(other));
        // A target that closes idle connections closes all of them at the same age, but this process may notice it late.
        let is_idle = self.earlier_lifetime.is_some_and(|idle_time| shortest >= idle_time);
        let is_joint = is_simultaneous && !is_same_age && !is_idle;
        if !is_same_age {
            self.unsettled_since = Some(now);
        }
        self.last_lifetime = Some(lifetime);
        if self.current().is_none() {
            self.last_ended = is_joint.then_some((self.generation, now));
            let was_open_at = |time: Timestamp| witness.establishment.established_at <= time;
            self.short_lived = if lifetime >= MIN_LIFETIME {
                0
            } else if is_simultaneous && self.last_closed_at.is_some_and(was_open_at) {
                // Closed together with the one before.
                self.short_lived
            } else {
                self.short_lived + 1
            };
            if self.short_lived > MAX_SHORT_LIVED {
                self.retry_at = Some(now + RETRY_DELAY);
            }
        }
        self.last_closed_at = Some(now);
        self.begin_generation_if_unconfirmed();
    }

    /// Until when the process may be terminating, because a connection was closed a short time ago; none if it was not.
    pub fn unsettled_until(&self, now: Timestamp) -> Option<Timestamp> {
        let settled_at = self.unsettled_since? + CLOSING_TIME;
        (settled_at > now).then_some(settled_at)
    }

    /// Records that no connection could be established.
    pub fn fail(&mut self, now: Timestamp) {
        self.retry_at = Some(now + RETRY_DELAY);
    }

    /// The generation that has open connections.
    pub fn current(&self) -> Option<Generation> {
        let is_known = self.open.iter().any(|open| open.is_confirmed);
        is_known.then_some(self.generation)
    }

    /// Age of the oldest open connection.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(self.open.first()?.age(now))
    }

    /// When a connection is needed for a request that is about to be sent. A single one should be young, as its target may
    /// close idle connections.
    pub fn need_for_request(&self, now: Timestamp) -> Need {
        match (self.open.as_slice(), self.last_lifetime) {
            ([open], Some(lifetime))
                if open.age(now) > lifetime / 2
                    && self.unsettled_until(now).is_none()
                    && self.retry_at.is_none_or(|retry_at| retry_at <= now) =>
            {
                Need::Now
            }
            _ => self.need(now),
        }
    }

    /// When a connection is needed so that the generation continues.
    ///
    /// The ages of two connections differ by as much as the idle time of the target allows, because this process may get
    /// the processor late and then see the ends of both in one moment. Until the idle time is known, the difference doubles.
    pub fn need(&self, now: Timestamp) -> Need {
        let mut due_at = now;
        if let (Some(oldest), Some(youngest)) = (self.open.first(), self.open.last()) {
            let youngest_at = youngest.establishment.established_at;
            let spread = youngest_at.since(oldest.establishment.established_at);
            let spacing = match self.last_lifetime {
                Some(lifetime) if self.open.len() > 1 && spread >= lifetime / 4 => return Need::AfterClose,
                Some(lifetime) => lifetime / 2,
                None => 2 * spread,
            };
            // While the process may be terminating, the next one may accept a connection.
            let settled_at = self.unsettled_until(now).unwrap_or(now);
            due_at = (youngest_at + spacing.max(MIN_SPACING)).max(settled_at);
        }
        if let Some(retry_at) = self.retry_at {
            due_at = due_at.max(retry_at);
        }
        if due_at <= now { Need::Now } else { Need::At(due_at) }
    }

    /// Whether open connections of generation `held` show by themselves that the process still ran when it ended the
    /// connection `carrier` of a response: its escorts are open, and none was closed a short time ago.
    pub fn is_proved(&self, held: Option<Generation>, carrier: Link, now: Timestamp) -> bool {
        let is_open = |escort: &Link| self.is_needed(*escort);
        let has_escorts = self
            .find_carrier(carrier)
            .is_some_and(|carrier| carrier.escorts.len() == ESCORTS && carrier.escorts.iter().all(is_open));
        has_escorts && self.is_held(held) && self.unsettled_until(now).is_none()
    }

    /// Whether connections of generation `held` are open.
    pub fn is_held(&self, held: Option<Generation>) -> bool {
        held.is_some() && self.current() == held
    }

    /// Time in which the ends of all connections that a terminating process closes together arrive.
    pub fn delivery_time(&self) -> Duration {
        let round_trips = self.open.iter().map(|open| {
            let Establishment {
                started_at,
                established_at,
            } = open.establishment;
            established_at.since(started_at)
        });
        let round_trip = round_trips.min().unwrap_or_default();
        (2 * round_trip).clamp(MIN_DELIVERY_TIME, MAX_DELIVERY_TIME)
    }

    /// What the connections show of the process to which those of generation `held` belong, after the connection of its
    /// response ended at `ended_at`. While the process may be terminating, none counts as open.
    pub fn witness(&self, held: Option<Generation>, ended_at: Timestamp, now: Timestamp) -> termination::Witness {
        let Some(held) = held else {
            return termination::Witness::Missing;
        };
        if self.current() == Some(held) && self.unsettled_until(now).is_none() {
            return termination::Witness::Open;
        }
        match self.last_ended {
            Some((generation, closed_at)) if generation == held && ended_at.since(closed_at) <= CLOSING_TIME => {
                termination::Witness::Closed
            }
            _ => termination::Witness::Lost,
        }
    }

    /// Whether the process to which the connections of generation `held` belong ended the connection `carrier` of a
    /// response while it was running, and terminated afterwards, as far as the order of the ends shows.
    pub fn is_ended_before_process(&self, held: Option<Generation>, carrier: Link) -> bool {
        let Some(held) = held.filter(|held| self.current() != Some(*held)) else {
            return false;
        };
        let Some(order) = self.ended.iter().position(|ended| ended.link == carrier) else {
            return false;
        };
        let Some(Carrier { escorts, .. }) = self.find_carrier(carrier) else {
            return false;
        };
        let response = self.ended[order];
        let of_process = |ended: &&Ended| ended.generation == Some(held);
        let later_escorts = self
            .ended
            .range(order + 1..)
            .filter(of_process)
            .filter(|ended| escorts.contains(&ended.link));
        let is_near = |ended: &Ended| response.at.since(ended.at) <= CLOSING_TIME;
        let is_closing_before = self.ended.range(..order).filter(of_process).any(is_near);
        later_escorts.count() == ESCORTS && !is_closing_before && !self.has_other_request(order, carrier)
    }

    /// Whether the process had another request when the response on `carrier` ended, or ended another one at the same time.
    /// A process that terminates after its last response does neither.
    fn has_other_request(&self, order: usize, carrier: Link) -> bool {
        let ended_at = self.ended[order].at;
        let is_other_end = |(index, ended): (usize, &Ended)| {
            let is_joint = ended_at.since(ended.at) <= JOINT_TIME;
            ended.generation.is_none() && ended.link != carrier && (index > order || is_joint)
        };
        let in_flight = |other: &Carrier| other.link != carrier && !self.has_ended(other.link);
        self.ended.iter().enumerate().any(is_other_end) || self.carriers.iter().any(in_flight)
    }

    fn find_carrier(&self, carrier: Link) -> Option<&Carrier> {
        self.carriers.iter().find(|known| known.link == carrier)
    }

    fn has_ended(&self, link: Link) -> bool {
        self.ended.iter().any(|ended| ended.link == link)
    }

    fn create_link(&mut self) -> Link {
        let link = Link(self.next_link);
        self.next_link += 1;
        link
    }

    fn remember(&mut self, ended: Ended) {
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }

    /// Drops all connections without requests but the oldest, the youngest that is confirmed, those that are not yet, and
    /// escorts.
    fn drop_surplus(&mut self) {
        let oldest = self.open.first().map(|open| open.link);
        let youngest = self.open.iter().rfind(|open| open.is_confirmed).map(|open| open.link);
        let carriers = &self.carriers;
        self.open.retain(|open| {
            let is_escort = carriers.iter().any(|carrier| carrier.escorts.contains(&open.link));
            let is_end = [oldest, youngest].contains(&Some(open.link));
            is_end || is_escort || !open.is_confirmed
        });
    }
}
