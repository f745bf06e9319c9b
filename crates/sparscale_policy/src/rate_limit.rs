//! Which entries send to a target that limits the rate of all its callers, and how often.
//!
//! Load pattern: a target in need names a rate for all entries together. None of them can count what the others send, and
//! there may be more entries than the target takes requests in a window.
//!
//! A few entries, the *holders*, have equal shares of the rate; the others leave the target alone. Who they are follows
//! from a hash of the entry and the start of the target, so entries that know the same others agree, and the shares of
//! many limited targets spread over all entries. A holder spaces its sends evenly and waits one interval before the
//! first. So `n` holders at a time, whoever they are and however often they start again, send at most `n * (t / interval + 1)`
//! in any time `t`.
//!
//! An entry without a share sends a request once nobody has confirmed a limit for [`UNCONFIRMED`], one entry after the other:
//! those that hold shares may have nothing to send, and only an answer tells that the limit has ended.
//!
//! Bound: while every entry hears all others, `n` is at most [`holders`] and the interval is that many over the rate: the
//! sends are at most `rate * t + holders`. Where some are not heard, entries use [`SPLIT_PART`] of the rate, and only those
//! that hear most of the others take the place of a silent holder, so `n` is at most twice `holders`. With [`FACTOR`],
//! [`BURST`] and [`WINDOW`], both stay within what the target bears: `FACTOR * rate * WINDOW + BURST`.

use std::cmp::Ordering;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sparscale_catalog::Start;
use sparscale_clock::Moment;

/// Window over which a target counts.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Times its rate that a target bears in a window.
pub const FACTOR: f64 = 1.5;
/// Requests that it bears besides.
pub const BURST: f64 = 5.0;
/// Part of the rate that entries use while some of them are not heard.
const SPLIT_PART: f64 = 0.6;
/// Silence after which the share of an entry passes to another one.
pub const TAKEOVER: Duration = Duration::from_secs(12);
/// Time after which a limit that nobody confirms may have ended.
const UNCONFIRMED: Duration = Duration::from_secs(10);
/// What each place among the entries adds to it: the answer to the first tells all.
const PROBE_STEP: Duration = Duration::from_secs(1);
/// Least rate, in requests a second. The answers to requests are what tells that a limit has ended.
const MIN_RATE: f64 = 0.05;

/// Requests a second that a target takes from all entries together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// A text or number is no rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotARate;

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = NotARate;

    fn try_from(per_second: f64) -> Result<Self, NotARate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(NotARate);
        }
        Ok(Self(per_second.max(MIN_RATE)))
    }
}

impl TryFrom<&str> for Rate {
    type Error = NotARate;

    fn try_from(text: &str) -> Result<Self, NotARate> {
        let per_second: f64 = text.trim().parse().map_err(|_malformed| NotARate)?;
        Self::try_from(per_second)
    }
}

/// The entries among which shares are divided, as one of them knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// This entry.
    pub own: SocketAddr,
    /// All that are live, this one included; empty while most of those that are known are not heard.
    pub live: Vec<SocketAddr>,
    /// Whether all that are known are heard.
    pub complete: bool,
}

/// Another entry, as one knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Where it is.
    pub address: SocketAddr,
    /// Whether there is a link to it.
    pub linked: bool,
    /// Time since it was heard; none if it never was.
    pub silent: Option<Duration>,
}

impl Members {
    /// The members as the entry `own` knows them, which knows all `peers`.
    pub fn new(own: SocketAddr, peers: &[Peer]) -> Self {
        let linked = peers.iter().filter(|peer| peer.linked).count() + 1;
        let is_live = |peer: &&Peer| peer.linked || peer.silent.is_some_and(|silent| silent < TAKEOVER);
        let mut live = Vec::new();
        if 2 * linked > peers.len() + 1 {
            live.push(own);
            live.extend(peers.iter().filter(is_live).map(|peer| peer.address));
        }
        Self {
            own,
            live,
            complete: peers.iter().all(|peer| peer.linked || peer.silent.is_none()),
        }
    }

    /// What this entry may send to the start `start` of a target that limits its rate.
    pub fn share(&self, rate: Rate, start: Start) -> Share {
        if self.live.is_empty() {
            return Share::None;
        }
        let own = weight(self.own, start);
        let is_before = |other: &&SocketAddr| (weight(**other, start), **other).cmp(&(own, self.own)) == Ordering::Less;
        let place = self.live.iter().filter(is_before).count();
        let holders = holders(rate).min(self.live.len());
        let part = if self.complete { 1.0 } else { SPLIT_PART };
        if place < holders {
            return Share::Each(Duration::from_secs_f64(holders as f64 / (rate.0 * part)));
        }
        Share::Unconfirmed(UNCONFIRMED + PROBE_STEP * u32::try_from(place).unwrap_or(u32::MAX))
    }
}

/// What one entry may send to a target that limits its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// Nothing.
    None,
    /// A request each so often.
    Each(Duration),
    /// A request once nobody has confirmed the limit for so long: those that hold shares may have nothing to send.
    Unconfirmed(Duration),
}

/// Entries that hold a share of `rate`, if there are as many.
pub fn holders(rate: Rate) -> usize {
    let spare = rate.0 * WINDOW.as_secs_f64() * (FACTOR - 2.0 * SPLIT_PART) + BURST;
    (spare / 2.0) as usize
}

/// Orders entries for a start of a target, alike in all processes and builds.
fn weight(entry: SocketAddr, start: Start) -> u64 {
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

/// Spreads a word over all bits: the finalizer of `SplitMix64`.
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    word ^ (word >> 31)
}

/// Spaces the sends of one entry to one target.
#[derive(Debug, Clone, Copy)]
pub struct Pacer {
    /// The latest send, or when the entry began to hold a share.
    last: Moment,
    /// When the target was last known to limit its rate.
    confirmed: Moment,
    share: Share,
}

impl Pacer {
    /// The pacer of an entry that holds no share.
    pub fn new(now: Moment) -> Self {
        Self {
            last: now,
            confirmed: now,
            share: Share::None,
        }
    }

    /// Sets what the entry may send.
    pub fn set_share(&mut self, share: Share, now: Moment) {
        if !matches!(self.share, Share::Each(_)) && matches!(share, Share::Each(_)) {
            self.last = now;
        }
        self.share = share;
    }

    /// Notes that the target limited its rate at `as_of`.
    pub fn confirm(&mut self, as_of: Moment) {
        self.confirmed = self.confirmed.max(as_of);
    }

    /// When the next send may go; none while the entry may send nothing.
    pub fn next(&self) -> Option<Moment> {
        match self.share {
            Share::None => None,
            Share::Each(interval) => Some(self.last + interval),
            Share::Unconfirmed(wait) => Some(self.last.max(self.confirmed) + wait),
        }
    }

    /// Whether a request may be sent now; if so, it counts as sent.
    pub fn take(&mut self, now: Moment) -> bool {
        let allowed = self.next().is_some_and(|next| next <= now);
        if allowed {
            self.last = now;
        }
        allowed
    }
}
