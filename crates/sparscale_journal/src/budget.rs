//! The append budget of the log, in one place.
//!
//! The log takes about a hundred appends a second from everyone. Each process sees every record, so each can count
//! what the whole fleet has appended lately and hold its own records back; nothing has to be shared out.

use std::collections::VecDeque;
use std::time::Duration;

use crate::record::Body;

/// What a record is for, as far as the budget is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Publish, approve and roll.
    Operator,
    /// Claims of duties.
    Claim,
    /// Expert maps.
    Map,
    /// Bindings of idempotency keys.
    Bind,
    /// Snapshots.
    Snapshot,
    /// Targets that ended under requests.
    Strike,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 6] = [
        Self::Operator,
        Self::Claim,
        Self::Map,
        Self::Bind,
        Self::Snapshot,
        Self::Strike,
    ];

    /// Appends that the whole fleet may make in [`WINDOW`]; together they stay under half of the log's rate.
    pub fn fleet_limit(self) -> usize {
        match self {
            Self::Operator | Self::Claim => 100,
            Self::Map | Self::Strike => 50,
            // 4 a second: the fold's 16,384 bindings then last over an hour.
            Self::Bind => 40,
            Self::Snapshot => 5,
        }
    }

    /// The kind of `body`.
    pub fn of(body: &Body) -> Self {
        match body {
            Body::Publish(_) | Body::Approve(_) | Body::Roll(_) => Self::Operator,
            Body::Claim(_) => Self::Claim,
            Body::Map(_) => Self::Map,
            Body::Bind(_) => Self::Bind,
            Body::Snapshot(_) => Self::Snapshot,
            Body::Strike(_) => Self::Strike,
        }
    }
}

/// Span over which appends are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts the fleet's appends of the last ten seconds, those of this process included.
#[derive(Debug, Default)]
pub struct Budget {
    seen: [VecDeque<Duration>; Kind::ALL.len()],
}

impl Budget {
    /// Notes a record of `kind` that was read from the log, or that this process is about to append.
    pub fn note(&mut self, kind: Kind, now: Duration) {
        let seen = &mut self.seen[kind as usize];
        seen.push_back(now);
        expire(seen, now);
        // Counting beyond the limit changes no decision.
        while seen.len() > kind.fleet_limit() {
            seen.pop_front();
        }
    }

    /// Whether a record of `kind` may be appended; if not, when to come back.
    pub fn admit(&mut self, kind: Kind, now: Duration) -> Result<(), Duration> {
        let seen = &mut self.seen[kind as usize];
        expire(seen, now);
        if seen.len() < kind.fleet_limit() {
            self.note(kind, now);
            return Ok(());
        }
        let oldest = seen.front().copied().unwrap_or(now);
        Err((oldest + WINDOW).saturating_sub(now))
    }
}

fn expire(seen: &mut VecDeque<Duration>, now: Duration) {
    while seen.front().is_some_and(|at| *at + WINDOW <= now) {
        seen.pop_front();
    }
}
