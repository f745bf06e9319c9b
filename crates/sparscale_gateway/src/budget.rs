//! The budget for sends beyond the first of each request.
//!
//! It is shared by all entries. Each spends the part that its own requests earn, and its share of the slack.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the budget that is spent: entries do not see each other's counts.
const CAUTION: f64 = 0.8;
/// Pieces of the window that are counted together.
const PIECES: u32 = 20;

/// Bounds of the budget, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Sends beyond the first for each request.
    pub ratio: f64,
    /// Sends beyond the first that are allowed besides.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

/// Requests and further sends of one piece of the window.
#[derive(Debug, Clone, Copy)]
struct Piece {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// What came of asking for one more send, and the counts that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Verdict {
    /// Whether it may be sent.
    pub(crate) paid: bool,
    /// Requests in the window.
    pub(crate) requests: u32,
    /// Sends beyond the first in the window, without this one.
    pub(crate) repeats: u32,
    /// Sends beyond the first that this entry may make in the window.
    pub(crate) allowed: f64,
}

/// This entry's part of the budget of one service.
#[derive(Debug)]
pub(crate) struct Budget {
    allowance: Allowance,
    pieces: VecDeque<Piece>,
}

impl Budget {
    pub(crate) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            pieces: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub(crate) fn earn(&mut self, now: Instant) {
        self.piece(now).requests += 1;
    }

    /// Whether one more send beyond the first fits, with `entries` entries sharing the slack; if so, it is counted.
    pub(crate) fn spend(&mut self, entries: usize, now: Instant) -> Verdict {
        self.expire(now);
        let requests: u32 = self.pieces.iter().map(|piece| piece.requests).sum();
        let repeats: u32 = self.pieces.iter().map(|piece| piece.repeats).sum();
        let slack = self.allowance.slack / entries.max(1) as f64;
        let allowed = (self.allowance.ratio * f64::from(requests) + slack) * CAUTION;
        let paid = f64::from(repeats) + 1.0 <= allowed;
        if paid {
            self.piece(now).repeats += 1;
        }
        Verdict {
            paid,
            requests,
            repeats,
            allowed,
        }
    }

    fn expire(&mut self, now: Instant) {
        let window = self.allowance.window;
        while self.pieces.front().is_some_and(|piece| piece.began + window <= now) {
            self.pieces.pop_front();
        }
    }

    fn piece(&mut self, now: Instant) -> &mut Piece {
        let length = self.allowance.window / PIECES;
        let current = self.pieces.back().is_some_and(|piece| now < piece.began + length);
        if !current {
            self.expire(now);
            self.pieces.push_back(Piece {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.pieces.len() - 1;
        &mut self.pieces[last]
    }
}
