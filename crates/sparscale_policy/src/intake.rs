//! Decides what a process holds for its callers, and who gives room up when it runs out.
//!
//! Load pattern: many callers at once connect without sending, send bodies of legal size and stop short of their end, or
//! do not read their responses. Each of them stays inside every limit of a single request; together they exceed the
//! memory and the descriptors of the box.
//!
//! One [`Ledger`] counts everything that callers make the process hold. Room is granted before anything is read into it.
//! When there is none, whoever has made no progress for longest gives its room up first: waiting for them would let a
//! few silent connections shut out everyone. A body that is complete, or keeps arriving, keeps its room. A part of the
//! room is only for small bodies, and the large ones of a workspace get half at most, so that an ordinary request never
//! waits behind large ones, of its own workspace or of others.

mod capacity;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::{Duration, Instant};

pub use capacity::{CONNECTION_BYTES, Capacity, Port};
use capacity::{OWNER_FRACTION, fraction};

/// Largest body that may use the room for small ones, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Time without progress after which a body or an unread response gives its room up to others.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes that have to arrive for a body to count as making progress.
const PROGRESS_BYTES: usize = 16 << 10;

/// Part of the room that large bodies and responses leave to small bodies.
const SMALL_BODIES_FRACTION: f64 = 0.25;
/// Part of the room that all bodies of one workspace may take: beside its large ones, it has room for small ones.
const OWNER_FRACTION_WITH_SMALL: f64 = 0.625;
/// Part of the room above which callers that read nothing are cut off sooner.
const PRESSED_FRACTION: f64 = 0.5;
/// Whose bodies count together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Owner {
    /// Callers of routes that need no key.
    Public,
    /// A workspace, by a hash of its name.
    Workspace(u64),
}

impl Owner {
    /// The owner for the workspace called `name`.
    pub fn of_workspace(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self::Workspace(hasher.finish())
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It has no request in progress.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// The request is complete and in progress.
    Exchange,
    /// Its request was refused, and the rest of the body is discarded so that the refusal arrives.
    Discard,
}

/// Key of a connection in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Account {
    index: usize,
    generation: u64,
}

/// Decision about a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// There is room for it.
    Opened(Account),
    /// The connection `victim` gives its room up and must be closed.
    Replaced {
        /// The new connection.
        account: Account,
        /// The connection to close.
        victim: Account,
    },
    /// All connections are in use, and it must be closed.
    Full,
}

/// Decision about room for a body or a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Whether the room is reserved.
    pub is_granted: bool,
    /// Connections whose room was taken: their requests or responses must end. Usually none.
    pub victims: Vec<Account>,
}

/// Which part of the room something may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Size {
    Small,
    Large,
}

impl Size {
    fn of_body(bytes: usize) -> Self {
        if bytes <= SMALL_BODY_BYTES {
            Self::Small
        } else {
            Self::Large
        }
    }
}

#[derive(Debug, Clone)]
struct Connection {
    account: Account,
    port: Port,
    activity: Activity,
    /// Since when it has made no progress.
    since: Instant,
    /// Since when its caller has read nothing of what there is to read.
    unread_since: Option<Instant>,
    /// Bytes of the body that have arrived since then.
    arrived: usize,
    /// Bytes of its bodies by owner. There are several if a target still takes the body of an earlier request.
    bodies: Vec<(Owner, usize)>,
    /// Bytes of its response.
    response: usize,
    /// Whether its room was taken.
    is_evicted: bool,
}

/// Counts what a process holds for its callers.
#[derive(Debug)]
pub struct Ledger {
    capacity: Capacity,
    connections: Vec<Option<Connection>>,
    free: Vec<usize>,
    next_generation: u64,
    held: usize,
    held_responses: usize,
    held_by_owner: HashMap<Owner, usize>,
    /// No connection is stalled before this time; none if some may be. Saves looking at all of them.
    none_stalled_until: Option<Instant>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            connections: Vec::new(),
            free: Vec::new(),
            next_generation: 0,
            held: 0,
            held_responses: 0,
            held_by_owner: HashMap::new(),
            none_stalled_until: None,
        }
    }

    /// What may be held.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Bytes held of bodies and responses.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes held of responses.
    pub fn held_responses(&self) -> usize {
        self.held_responses
    }

    /// Whether so much is held that callers which read nothing are cut off sooner.
    pub fn is_pressed(&self) -> bool {
        self.held > fraction(self.capacity.memory, PRESSED_FRACTION)
    }

    /// Number of connections at `port`.
    pub fn connections(&self, port: Port) -> usize {
        self.iter().filter(|connection| connection.port == port).count()
    }

    /// Decides about a new connection at `port`.
    pub fn open(&mut self, port: Port, now: Instant) -> Opening {
        if self.connections(port) < self.capacity.of_port(port) {
            return Opening::Opened(self.add(port, now));
        }
        let victim = self
            .iter()
            .filter(|connection| connection.port == port && may_be_closed(connection, now))
            .min_by_key(|connection| connection.last_progress())
            .map(|connection| connection.account);
        let Some(victim) = victim else { return Opening::Full };
        // The victim is counted no longer; its socket is closed in a moment.
        self.close(victim);
        Opening::Replaced {
            account: self.add(port, now),
            victim,
        }
    }

    /// Forgets a connection and everything that it holds.
    pub fn close(&mut self, account: Account) {
        if self.get(account).is_none() {
            return;
        }
        self.release_all(account);
        self.connections[account.index] = None;
        self.free.push(account.index);
    }

    /// Records what a connection does from now on.
    pub fn set_activity(&mut self, account: Account, activity: Activity, now: Instant) {
        if let Some(connection) = self.get_mut(account) {
            connection.activity = activity;
            connection.since = now;
            connection.arrived = 0;
        }
    }

    /// Records since when the caller has read nothing of what there is to read; none if it reads.
    pub fn set_unread(&mut self, account: Account, since: Option<Instant>) {
        if let Some(connection) = self.get_mut(account) {
            connection.unread_since = since;
        }
    }

    /// Records that `bytes` of a body have arrived. Single bytes now and then are no progress.
    pub fn record_arrival(&mut self, account: Account, bytes: usize, now: Instant) {
        if let Some(connection) = self.get_mut(account) {
            connection.arrived += bytes;
            if connection.arrived >= PROGRESS_BYTES {
                connection.arrived = 0;
                connection.since = now;
            }
        }
    }

    /// Reserves `bytes` more for the body of a request of `owner`.
    pub fn reserve_body(&mut self, account: Account, owner: Owner, bytes: usize, now: Instant) -> Grant {
        let Some(connection) = self.get(account).filter(|connection| !connection.is_evicted) else {
            return Grant::denied(Vec::new());
        };
        let size = Size::of_body(connection.body_of(owner) + bytes);
        let mut victims = Vec::new();
        loop {
            let exceeds_share = self.held_by(owner) + bytes > self.share_of_owner(size);
            let exceeds_room = self.held + bytes > self.room_for(size);
            if !exceeds_share && !exceeds_room {
                break;
            }
            // Only bodies of the same owner make room in its share.
            let is_candidate = |other: &Connection| !exceeds_share || other.body_of(owner) > 0;
            let Some(victim) = self.longest_stalled(account, now, is_candidate) else {
                return Grant::denied(victims);
            };
            self.take_room(victim);
            victims.push(victim);
        }
        self.held += bytes;
        *self.held_by_owner.entry(owner).or_default() += bytes;
        if let Some(connection) = self.get_mut(account) {
            match connection.bodies.iter_mut().find(|(known, _)| *known == owner) {
                Some((_, held)) => *held += bytes,
                None => connection.bodies.push((owner, bytes)),
            }
        }
        Grant::granted(victims)
    }

    /// Reserves `bytes` more for a response, which may use the same room as large bodies.
    pub fn reserve_response(&mut self, account: Account, bytes: usize, now: Instant) -> Grant {
        if self.get(account).is_none_or(|connection| connection.is_evicted) {
            return Grant::denied(Vec::new());
        }
        let mut victims = Vec::new();
        while self.held + bytes > self.room_for(Size::Large) {
            let Some(victim) = self.longest_stalled(account, now, |_| true) else {
                return Grant::denied(victims);
            };
            self.take_room(victim);
            victims.push(victim);
        }
        self.record_response(account, bytes);
        Grant::granted(victims)
    }

    /// Records bytes of a response that are held already.
    pub fn record_response(&mut self, account: Account, bytes: usize) {
        let Some(connection) = self.get_mut(account) else {
            return;
        };
        connection.response += bytes;
        self.held += bytes;
        self.held_responses += bytes;
    }

    /// Releases up to `bytes` that a connection holds of bodies of `owner`.
    pub fn release_body(&mut self, account: Account, owner: Owner, bytes: usize) {
        let Some(connection) = self.get_mut(account) else {
            return;
        };
        let Some((_, held)) = connection.bodies.iter_mut().find(|(known, _)| *known == owner) else {
            return;
        };
        let released = bytes.min(*held);
        *held -= released;
        connection.bodies.retain(|(_, held)| *held > 0);
        self.held -= released;
        if let Some(held) = self.held_by_owner.get_mut(&owner) {
            *held -= released;
            if *held == 0 {
                self.held_by_owner.remove(&owner);
            }
        }
    }

    /// Releases up to `bytes` of the response of a connection.
    pub fn release_response(&mut self, account: Account, bytes: usize) {
        let Some(connection) = self.get_mut(account) else {
            return;
        };
        let released = bytes.min(connection.response);
        connection.response -= released;
        self.held -= released;
        self.held_responses -= released;
    }

    fn held_by(&self, owner: Owner) -> usize {
        self.held_by_owner.get(&owner).copied().unwrap_or(0)
    }

    fn share_of_owner(&self, size: Size) -> usize {
        let share = match size {
            Size::Small => OWNER_FRACTION_WITH_SMALL,
            Size::Large => OWNER_FRACTION,
        };
        fraction(self.capacity.memory, share)
    }

    fn room_for(&self, size: Size) -> usize {
        let all = self.capacity.memory;
        match size {
            Size::Small => all,
            Size::Large => all - fraction(all, SMALL_BODIES_FRACTION),
        }
    }

    /// The connection that has held room without progress for longest, other than `account`.
    fn longest_stalled(
        &mut self,
        account: Account,
        now: Instant,
        is_candidate: impl Fn(&Connection) -> bool,
    ) -> Option<Account> {
        if self.none_stalled_until.is_some_and(|until| now < until) {
            return None;
        }
        // What begins to wait for its caller from now on is not stalled earlier than this.
        let mut first_stall = now + STALL_TIME;
        let mut longest: Option<(Instant, Account)> = None;
        for other in self.iter().filter(|other| other.holds_room()) {
            let Some(waiting_since) = other.waiting_since() else {
                continue;
            };
            first_stall = first_stall.min(waiting_since + STALL_TIME);
            let is_victim = other.account != account && is_stalled(other, now) && is_candidate(other);
            if is_victim && longest.is_none_or(|(since, _)| waiting_since < since) {
                longest = Some((waiting_since, other.account));
            }
        }
        self.none_stalled_until = (first_stall > now).then_some(first_stall);
        longest.map(|(_, victim)| victim)
    }

    /// Counts the bodies and the response of a connection no longer; they are freed in a moment.
    fn take_room(&mut self, account: Account) {
        self.release_all(account);
        if let Some(connection) = self.get_mut(account) {
            connection.is_evicted = true;
        }
    }

    fn release_all(&mut self, account: Account) {
        let Some(connection) = self.get(account) else {
            return;
        };
        for (owner, bytes) in connection.bodies.clone() {
            self.release_body(account, owner, bytes);
        }
        self.release_response(account, usize::MAX);
    }

    fn add(&mut self, port: Port, now: Instant) -> Account {
        let index = self.free.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        let account = Account {
            index,
            generation: self.next_generation,
        };
        self.next_generation += 1;
        self.connections[index] = Some(Connection {
            account,
            port,
            activity: Activity::Idle,
            since: now,
            unread_since: None,
            arrived: 0,
            bodies: Vec::new(),
            response: 0,
            is_evicted: false,
        });
        account
    }

    fn iter(&self) -> impl Iterator<Item = &Connection> {
        self.connections.iter().flatten()
    }

    fn get(&self, account: Account) -> Option<&Connection> {
        let connection = self.connections.get(account.index)?.as_ref()?;
        (connection.account == account).then_some(connection)
    }

    fn get_mut(&mut self, account: Account) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(account.index)?.as_mut()?;
        (connection.account == account).then_some(connection)
    }
}

impl Grant {
    fn granted(victims: Vec<Account>) -> Self {
        Self {
            is_granted: true,
            victims,
        }
    }

    fn denied(victims: Vec<Account>) -> Self {
        Self {
            is_granted: false,
            victims,
        }
    }
}

impl Connection {
    fn body_of(&self, owner: Owner) -> usize {
        let held = self.bodies.iter().find(|(known, _)| *known == owner);
        held.map_or(0, |(_, bytes)| *bytes)
    }

    fn holds_room(&self) -> bool {
        self.response > 0 || !self.bodies.is_empty()
    }

    /// Since when it waits for its caller with a body or a response; none if it doesn't.
    fn waiting_since(&self) -> Option<Instant> {
        let since_body = (self.activity == Activity::Body).then_some(self.since);
        self.unread_since.or(since_body)
    }

    fn last_progress(&self) -> Instant {
        self.unread_since.unwrap_or(self.since)
    }
}

/// Whether a connection waits for its caller without progress.
fn is_stalled(connection: &Connection, now: Instant) -> bool {
    let waiting_since = connection.waiting_since();
    waiting_since.is_some_and(|since| now.saturating_duration_since(since) >= STALL_TIME)
}

/// Whether a connection may be closed to make room for another one.
fn may_be_closed(connection: &Connection, now: Instant) -> bool {
    let waits_for_caller = matches!(connection.activity, Activity::Idle | Activity::Head | Activity::Discard);
    (waits_for_caller && connection.unread_since.is_none()) || is_stalled(connection, now)
}
