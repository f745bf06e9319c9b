//! Divides the rate of a target that limits its callers: which entries send to it, and how often.
//!
//! Load pattern: an overloaded target announces a rate for all entries together. No entry can count what the others
//! send, and there may be more entries than requests that the target accepts in a window.
//!
//! A few entries, the *holders*, have equal shares of the rate; the others send nothing to the target. The holders
//! follow from a hash of the entry and the start of the target, so that entries with the same view agree on them, and
//! the shares of many limited targets spread over all entries. A holder spaces its sends evenly and waits one interval
//! before the first. So `n` holders at a time, whichever they are and however often they restart, send at most
//! `n * (t / interval + 1)` requests in any time `t`.
//!
//! The holders may have nothing to send, and only a response shows that the limit has ended. So an entry without a
//! share sends a probe if no process has confirmed the limit for [`UNCONFIRMED_TIMEOUT`], one entry after the other.
//!
//! Bound: while every entry receives reports from all others, `n` is at most [`Limit::holder_count`] and the interval
//! is that many over the rate, so there are at most `rate * t + holder_count` sends. While some entries are
//! unresponsive, the others use [`PARTITION_FRACTION`] of the rate, and only entries that are linked to most of the
//! others replace an unresponsive holder, so `n` is at most twice `holder_count`. With [`FACTOR`], [`BURST`] and the
//! window, both cases stay within what the target tolerates: [`Limit::tolerated`].
//!
//! A cold target is limited in the same way, by the rate that the operators state for its service: when a hall returns,
//! its targets are the emptiest of all, and every entry would choose them at once.

use std::cmp::Ordering;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sparscale_catalog::StartId;
use sparscale_clock::Timestamp;

/// Window in which a target counts its requests under the rate that it announces.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Window in which a cold target counts its requests.
pub const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Multiple of its rate that a target tolerates in a window.
pub const FACTOR: f64 = 1.5;
/// Number of requests that it tolerates in addition.
pub const BURST: f64 = 5.0;
/// Fraction of the rate that entries use while some entries are unresponsive.
const PARTITION_FRACTION: f64 = 0.6;
/// Time without a message from an entry after which its share passes to another one.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time without a new entry after which an entry that has just started knows the others: longer than one failed dial
/// and the wait before the next, which take 1.7 s.
pub const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The same while an entry that the settings name has given no sign of itself: longer than the longest wait between two
/// dials and a failed dial, which take 4.5 s. The others may be linked to that entry.
const UNCONFIRMED_SETTLING_TIME: Duration = Duration::from_secs(6);
/// Longest time between two updates of the view that counts towards [`SETTLING_TIME`]; twice the usual time.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after its start at which an entry is assumed to be linked to most others.
pub const ESTABLISHED_TIME: Duration = Duration::from_secs(10);
/// Time without a confirmation after which a limit may have ended.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(10);
/// Additional time for each position in the order of the entries: the response to the first probe informs all entries.
const PROBE_STEP: Duration = Duration::from_secs(1);
/// Minimum rate in requests a second: only responses to requests show that a limit has ended.
const MIN_RATE: f64 = 0.05;

/// Requests a second that a target accepts from all entries together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// A rate, and the window in which the target counts its requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub rate: Rate,
    /// The window: [`WINDOW`] or [`COLD_WINDOW`].
    pub window: Duration,
}

impl Limit {
    /// The limit of a target that announces `rate`.
    pub fn announced(rate: Rate) -> Self {
        Self { rate, window: WINDOW }
    }

    /// The limit of a target that handles `rate` while it is cold.
    pub fn cold(rate: Rate) -> Self {
        Self {
            rate,
            window: COLD_WINDOW,
        }
    }

    /// Most requests that the target tolerates in one window.
    pub fn tolerated(self) -> f64 {
        self.rate.0 * self.window.as_secs_f64() * FACTOR + BURST
    }

    /// Number of entries that hold a share, if there are that many entries.
    pub fn holder_count(self) -> usize {
        let spare = self.rate.0 * self.window.as_secs_f64() * (FACTOR - 2.0 * PARTITION_FRACTION) + BURST;
        (spare / 2.0) as usize
    }
}

/// A text or number that is not a valid rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRate;

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidRate);
        }
        Ok(Self(per_second.max(MIN_RATE)))
    }
}

impl TryFrom<&str> for Rate {
    type Error = InvalidRate;

    fn try_from(text: &str) -> Result<Self, InvalidRate> {
        let per_second: f64 = text.trim().parse().map_err(|_malformed| InvalidRate)?;
        Self::try_from(per_second)
    }
}

/// The entries that divide the shares, as one of them sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// Address of this entry.
    pub own_address: SocketAddr,
    /// Addresses of all live entries, this one included; empty while this entry has no link to most of the known
    /// entries.
    pub live: Vec<SocketAddr>,
    /// Whether this entry is linked to all known entries, except those that neither sent it a message nor were named by
    /// a linked entry.
    pub is_complete: bool,
    /// Whether this entry has had the time to learn of the other entries, see [`Settling`]. Until then it sends nothing
    /// to cold targets.
    pub is_settled: bool,
}

/// Another entry, as this one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether there is a link to it.
    pub is_linked: bool,
    /// Time since its last message; none if there was none.
    pub since_last_message: Option<Duration>,
    /// Time since another linked entry last stated that it is linked to it; none if none did.
    pub since_named: Option<Duration>,
    /// Time for which it had been running at its last message; none if there was none.
    pub uptime: Option<Duration>,
}

impl Peer {
    /// Whether it counts as running: a link that has not been established yet or is cut does not mean that it ended.
    fn is_live(&self) -> bool {
        let is_recent = |since: Option<Duration>| since.is_some_and(|since| since < TAKEOVER_TIMEOUT);
        self.is_linked || is_recent(self.since_last_message) || is_recent(self.since_named)
    }

    /// Whether there is no sign that it has ever run: the settings may name entries that do not exist.
    fn is_unconfirmed(&self) -> bool {
        self.since_last_message.is_none() && !self.is_live()
    }
}

/// Determines when an entry that has just started knows the other entries.
///
/// Load pattern: all entries start at the same time, for example after a power loss, while targets are cold. Each knows
/// only few others at first. If it divided the rate of a cold target among these, all entries together would exceed it
/// many times over.
#[derive(Debug)]
pub struct Settling {
    known_count: usize,
    /// Time for which the number of known entries has not grown.
    stable_for: Duration,
    updated_at: Timestamp,
    is_settled: bool,
}

impl Settling {
    /// The state of an entry that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            known_count: 0,
            stable_for: Duration::ZERO,
            updated_at: now,
            is_settled: false,
        }
    }

    /// Returns whether this entry, which knows `peers`, knows the others; once it does, that is final.
    ///
    /// It does once its view has not grown for [`SETTLING_TIME`], or [`UNCONFIRMED_SETTLING_TIME`]. An entry that restarts
    /// alone does not wait for that: if most of the entries are linked and have run for [`ESTABLISHED_TIME`], their
    /// messages have already listed all entries.
    pub fn update(&mut self, peers: &[Peer], now: Timestamp) -> bool {
        // A process that was paused has received nothing in the meantime.
        self.stable_for += now.since(self.updated_at).min(MAX_UPDATE_INTERVAL);
        self.updated_at = now;
        if peers.len() > self.known_count {
            self.known_count = peers.len();
            self.stable_for = Duration::ZERO;
        }
        let is_established =
            |peer: &&Peer| peer.is_linked && peer.uptime.is_some_and(|uptime| uptime >= ESTABLISHED_TIME);
        let established = peers.iter().filter(is_established).count();
        let settling_time = if peers.iter().any(Peer::is_unconfirmed) {
            UNCONFIRMED_SETTLING_TIME
        } else {
            SETTLING_TIME
        };
        self.is_settled |= 2 * established > peers.len() + 1 || self.stable_for >= settling_time;
        self.is_settled
    }
}

impl Members {
    /// Creates the view of the entry `own_address`, which knows all `peers` and has settled.
    pub fn new(own_address: SocketAddr, peers: &[Peer]) -> Self {
        let linked = peers.iter().filter(|peer| peer.is_linked).count() + 1;
        let mut live = Vec::new();
        if 2 * linked > peers.len() + 1 {
            live.push(own_address);
            live.extend(peers.iter().filter(|peer| peer.is_live()).map(|peer| peer.address));
        }
        Self {
            own_address,
            live,
            is_complete: peers.iter().all(|peer| peer.is_linked || peer.is_unconfirmed()),
            is_settled: true,
        }
    }

    /// Returns what this entry may send to a target with `limit`, for its start `start`.
    pub fn share(&self, limit: Limit, start: StartId) -> Share {
        if self.live.is_empty() {
            return Share::None;
        }
        let own_weight = weight(self.own_address, start);
        let is_before = |other: &&SocketAddr| {
            (weight(**other, start), **other).cmp(&(own_weight, self.own_address)) == Ordering::Less
        };
        let position = self.live.iter().filter(is_before).count();
        let holders = limit.holder_count().min(self.live.len());
        let fraction = if self.is_complete { 1.0 } else { PARTITION_FRACTION };
        if position < holders {
            return Share::Interval(Duration::from_secs_f64(holders as f64 / (limit.rate.0 * fraction)));
        }
        Share::ProbeAfter(UNCONFIRMED_TIMEOUT + PROBE_STEP * u32::try_from(position).unwrap_or(u32::MAX))
    }
}

/// What one entry may send to a target that limits its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// Nothing.
    None,
    /// One request in each such interval.
    Interval(Duration),
    /// A probe if no process has confirmed the limit for this long: the holders may have nothing to send.
    ProbeAfter(Duration),
}

/// Weight by which entries are ordered for a start of a target; the same in all processes and builds.
fn weight(entry: SocketAddr, start: StartId) -> u64 {
    let address = match entry.ip() {
        IpAddr::V4(address) => u128::from(u32::from(address)),
        IpAddr::V6(address) => u128::from(address),
    };
    let words = [
        address as u64,
        (address >> u64::BITS) as u64,
        u64::from(entry.port()),
        start.digest(),
    ];
    words.into_iter().fold(0, |mixed, word| mix(mixed ^ word))
}

/// Mixes a word over all bits: the finalizer of `SplitMix64`.
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    word ^ (word >> 31)
}

/// Spaces the sends of one entry to one target.
#[derive(Debug, Clone, Copy)]
pub struct Pacer {
    /// Time of the latest send, or when the entry began to hold a share.
    last_send: Timestamp,
    /// When the target was last known to limit its rate.
    confirmed_at: Timestamp,
    share: Share,
}

impl Pacer {
    /// Creates the pacer of an entry without a share.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_send: now,
            confirmed_at: now,
            share: Share::None,
        }
    }

    /// Sets the share of the entry.
    pub fn set_share(&mut self, share: Share, now: Timestamp) {
        if !matches!(self.share, Share::Interval(_)) && matches!(share, Share::Interval(_)) {
            self.last_send = now;
        }
        self.share = share;
    }

    /// Records that the target limited its rate at `as_of`.
    pub fn confirm(&mut self, as_of: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(as_of);
    }

    /// Time of the next allowed send; none while the entry may send nothing.
    pub fn next_send(&self) -> Option<Timestamp> {
        match self.share {
            Share::None => None,
            Share::Interval(interval) => Some(self.last_send + interval),
            Share::ProbeAfter(delay) => Some(self.last_send.max(self.confirmed_at) + delay),
        }
    }

    /// Returns whether a request may be sent now, and counts it as sent if so.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        let is_allowed = self.next_send().is_some_and(|next_send| next_send <= now);
        if is_allowed {
            self.last_send = now;
        }
        is_allowed
    }
}
