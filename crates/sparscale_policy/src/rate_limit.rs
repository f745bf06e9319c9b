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
//! Bound: while every entry receives reports from all others, `n` is at most [`Limit::holder_count`] and the interval is
//! that many over the rate, so there are at most `rate * t + holder_count` sends. While some entries are unresponsive, the
//! others use [`PARTITION_FRACTION`] of the rate, and only entries that are linked to most of the others replace an
//! unresponsive holder, so `n` is at most twice `holder_count`. With [`FACTOR`], [`BURST`] and the window, both cases
//! stay within what the target tolerates: [`Limit::tolerated`].
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
    /// Whether this entry is linked to all known entries, except those that never sent it a message.
    pub is_complete: bool,
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
}

impl Members {
    /// Creates the view of the entry `own_address`, which knows all `peers`.
    pub fn new(own_address: SocketAddr, peers: &[Peer]) -> Self {
        let linked = peers.iter().filter(|peer| peer.is_linked).count() + 1;
        let is_live = |peer: &&Peer| {
            peer.is_linked
                || peer
                    .since_last_message
                    .is_some_and(|since_message| since_message < TAKEOVER_TIMEOUT)
        };
        let mut live = Vec::new();
        if 2 * linked > peers.len() + 1 {
            live.push(own_address);
            live.extend(peers.iter().filter(is_live).map(|peer| peer.address));
        }
        Self {
            own_address,
            live,
            is_complete: peers
                .iter()
                .all(|peer| peer.is_linked || peer.since_last_message.is_none()),
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
