//! How often the parts of a group speak, and how long things may take in it.
//!
//! All ranks tell one conductor, which runs on a small box. What it hears and sends without news is bounded by what such a
//! box bears, whatever the ranks; what has to be done by each rank takes the longer, the more there are. So every pause
//! and limit here follows from the ranks, and from the time that orders to all of them took lately.

use std::time::Duration;

/// States that a conductor takes in a second while nothing is new. A box with 0.15 of a core takes some 1,500 messages a
/// second; the rest is for what is new, and for its own rank.
const STATES_PER_SECOND: f64 = 640.0;
/// Heartbeats that it sends a second.
const HEARTBEATS_PER_SECOND: f64 = 400.0;
/// Shortest pause between two states of a rank on which nothing changes.
const MIN_STATE_PAUSE: Duration = Duration::from_millis(100);
/// Shortest pause between two heartbeats to a rank.
const MIN_HEARTBEAT: Duration = Duration::from_millis(200);
/// Heartbeats, and half of one for its way, after which a conductor that was not heard is gone.
const MISSED_HEARTBEATS: f64 = 3.5;
/// States that a rank may miss before it is reached for anew. Shortest such time: six looks of a small group.
const MISSED_STATES: u32 = 4;
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// Shortest time after which a load is not told any more.
const MIN_LOAD_AGE: Duration = Duration::from_millis(700);
/// Shortest time after which an agent that was not heard is no helper.
const MIN_HELPER_AGE: Duration = Duration::from_millis(250);
/// Time that an order to all ranks takes for each of them: sending it, and taking its answer in, on a small box.
const ROUND_PER_RANK: Duration = Duration::from_millis(4);
/// Factor by which measured rounds may lengthen the limits: a box that stands still is no measure of the others.
const MAX_STRETCH: u32 = 4;
/// Weight of the latest round.
const ROUND_WEIGHT: f64 = 0.3;
/// Rounds that an order may take, and what it may take besides: a call of an engine, tried several times.
const ORDER_ROUNDS: u32 = 4;
const ORDER_BASE: Duration = Duration::from_millis(300);
/// The same for telling all ranks to load, and for their word that they have, without the loading itself.
const STAGE_ROUNDS: u32 = 4;
const STAGE_BASE: Duration = Duration::from_millis(500);
/// The same for a hold, arming and reading back: callers wait for it, so it is given up soonest.
const HOLD_ROUNDS: u32 = 2;
const HOLD_BASE: Duration = Duration::from_millis(120);
/// Shortest time without an agent after which its engine is ordered directly.
const MIN_DIRECT: Duration = Duration::from_millis(150);
/// What ordering an engine directly adds to a hold: two calls and a half between halls, and the lags waited out to see the
/// order's effect in what it tells others.
const DIRECT_HOLD: Duration = Duration::from_millis(150);
const DIRECT_LAGS: f64 = 1.5;
/// Time in which a conductor that has just claimed reaches each rank, and the shortest that it is given for all.
const REACH_PER_RANK: Duration = Duration::from_millis(12);
const MIN_REACH: Duration = Duration::from_millis(250);
/// Part of the patience within which a word of a conductor shows that it lives.
const LIVES_PART: f64 = 0.75;
/// What each place in the line of those who would lead next waits longer: a claim, and reaching the next in line.
const STEP: Duration = Duration::from_millis(150);
/// Places with such a step. Those behind stand closer: they only have to come one after the other.
const NEAR_PLACES: usize = 12;
const FAR_STEP: Duration = Duration::from_millis(40);

/// The pauses and limits of one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    ranks: u32,
    /// Time in which nine tenths of the ranks answer an order to all.
    round: Duration,
}

impl Pace {
    /// Of a group of `ranks` ranks in which nothing was measured yet.
    pub fn new(ranks: usize) -> Self {
        let ranks = u32::try_from(ranks).unwrap_or(u32::MAX).max(1);
        Self {
            ranks,
            round: ROUND_PER_RANK * ranks,
        }
    }

    /// Takes in the times that the ranks took to answer an order to all.
    pub fn note_round(&mut self, mut times: Vec<Duration>) {
        times.sort_unstable();
        let Some(slow) = times.get(times.len() * 9 / 10) else {
            return;
        };
        let least = ROUND_PER_RANK * self.ranks;
        let mixed = self.round.mul_f64(1.0 - ROUND_WEIGHT) + slow.mul_f64(ROUND_WEIGHT);
        self.round = mixed.clamp(least, least * MAX_STRETCH);
    }

    /// Pause between two states of a rank on which nothing changes.
    pub fn state_pause(&self) -> Duration {
        self.for_all(STATES_PER_SECOND).max(MIN_STATE_PAUSE)
    }

    /// Pause between two heartbeats to a rank.
    pub fn heartbeat(&self) -> Duration {
        self.for_all(HEARTBEATS_PER_SECOND).max(MIN_HEARTBEAT)
    }

    /// Time without a word from any conductor after which the first in line claims the leadership.
    pub fn patience(&self) -> Duration {
        self.heartbeat().mul_f64(MISSED_HEARTBEATS)
    }

    /// Age up to which somebody's word of a conductor shows that it lives.
    pub fn lives(&self) -> Duration {
        self.patience().mul_f64(LIVES_PART)
    }

    /// Time that somebody who has just claimed is given to reach all ranks.
    pub fn reach(&self) -> Duration {
        (REACH_PER_RANK * self.ranks).max(MIN_REACH)
    }

    /// What the rank in this place waits longer than the first in line.
    pub fn place(&self, rank: usize) -> Duration {
        let near = u32::try_from(rank.min(NEAR_PLACES)).unwrap_or_default();
        let far = u32::try_from(rank.saturating_sub(NEAR_PLACES)).unwrap_or_default();
        STEP * near + FAR_STEP * far
    }

    /// Time after which an agent that was not heard is reached for anew.
    pub fn silence(&self) -> Duration {
        (self.state_pause() * MISSED_STATES).max(MIN_SILENCE)
    }

    /// Age up to which a load is told on.
    pub fn load_age(&self) -> Duration {
        (self.state_pause() * MISSED_STATES).max(MIN_LOAD_AGE)
    }

    /// Age up to which an agent's last word shows that it goes on.
    pub fn helper_age(&self) -> Duration {
        self.state_pause().mul_f64(2.5).max(MIN_HELPER_AGE)
    }

    /// Time after which an order without an answer is given up.
    pub fn order_limit(&self) -> Duration {
        ORDER_BASE + self.round * ORDER_ROUNDS
    }

    /// Time that staging may take beyond the loading itself.
    pub fn stage_slack(&self) -> Duration {
        STAGE_BASE + self.round * STAGE_ROUNDS
    }

    /// Time for which the group may be held before a change is taken back.
    pub fn hold_limit(&self) -> Duration {
        HOLD_BASE + self.round * HOLD_ROUNDS
    }

    /// Time without an agent after which its engine is ordered directly: a conductor that has just begun has to reach all of
    /// them first.
    pub fn direct_after(&self) -> Duration {
        (REACH_PER_RANK * self.ranks).max(MIN_DIRECT)
    }

    /// The same for an agent that was heard before: it is silent already when it counts as missing.
    pub fn direct_again_after(&self) -> Duration {
        MIN_DIRECT
    }

    /// Time for which the group may be held when some engine is ordered directly: `lag` is the age of what it tells others.
    pub fn direct_hold_limit(&self, lag: Duration) -> Duration {
        self.hold_limit() + DIRECT_HOLD + lag.mul_f64(DIRECT_LAGS)
    }

    /// Pause between two messages to or from each rank that makes so many a second for all of them.
    fn for_all(&self, per_second: f64) -> Duration {
        Duration::from_secs_f64(f64::from(self.ranks) / per_second)
    }
}
