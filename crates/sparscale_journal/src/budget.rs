//! Rate limits for appends to the log, per kind of record.
//!
//! The log accepts about 100 appends per second in total. Each process reads every record, so it can count the recent
//! appends of the whole fleet and delay its own; the processes need not divide the limit among themselves.

use std::collections::VecDeque;
use std::time::Duration;

use crate::record::RecordBody;

/// Kind of record; each has its own limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordKind {
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
    /// Targets that terminated while they processed requests.
    Strike,
}

impl RecordKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Operator,
        Self::Claim,
        Self::Map,
        Self::Bind,
        Self::Snapshot,
        Self::Strike,
    ];

    /// Returns the fleet's append limit per [`WINDOW`]; all kinds together stay below half of the log's rate.
    pub fn fleet_limit(self) -> usize {
        match self {
            Self::Operator | Self::Claim => 100,
            Self::Map | Self::Strike => 50,
            // At 4 per second, the 16,384 bindings that the fold keeps cover more than an hour.
            Self::Bind => 40,
            Self::Snapshot => 5,
        }
    }

    /// Returns the kind of `body`.
    pub fn of(body: &RecordBody) -> Self {
        match body {
            RecordBody::Publish(_) | RecordBody::Approve(_) | RecordBody::Roll(_) => Self::Operator,
            RecordBody::Claim(_) => Self::Claim,
            RecordBody::Map(_) => Self::Map,
            RecordBody::Bind(_) => Self::Bind,
            RecordBody::Snapshot(_) => Self::Snapshot,
            RecordBody::Strike(_) => Self::Strike,
        }
    }
}

/// Sliding window over which appends are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts the fleet's appends within the last 10 seconds, including those of this process.
#[derive(Debug, Default)]
pub struct Budget {
    append_times: [VecDeque<Duration>; RecordKind::ALL.len()],
}

impl Budget {
    /// Records an append of `kind`, either read from the log or about to be made by this process.
    pub fn record_append(&mut self, kind: RecordKind, now: Duration) {
        let append_times = &mut self.append_times[kind as usize];
        append_times.push_back(now);
        drop_expired(append_times, now);
        // Appends beyond the limit do not change any decision, so they need no memory.
        while append_times.len() > kind.fleet_limit() {
            append_times.pop_front();
        }
    }

    /// Admits and records an append of `kind`, or returns the delay after which to retry.
    pub fn admit(&mut self, kind: RecordKind, now: Duration) -> Result<(), Duration> {
        let append_times = &mut self.append_times[kind as usize];
        drop_expired(append_times, now);
        if append_times.len() < kind.fleet_limit() {
            self.record_append(kind, now);
            return Ok(());
        }
        let oldest = append_times.front().copied().unwrap_or(now);
        Err((oldest + WINDOW).saturating_sub(now))
    }
}

fn drop_expired(append_times: &mut VecDeque<Duration>, now: Duration) {
    while append_times.front().is_some_and(|at| *at + WINDOW <= now) {
        append_times.pop_front();
    }
}
