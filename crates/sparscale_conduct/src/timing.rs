//! Message intervals and time limits of a group, as functions of its number of ranks.
//!
//! All ranks report to one leader, which runs on a small box. The rate of the messages that it receives and sends while
//! nothing changes is bounded by what such a box can process, for any number of ranks, whereas work for each rank takes
//! longer the more ranks there are. Intervals and limits therefore follow from the number of ranks and from the
//! response times of recent orders to all of them.

use std::time::Duration;

/// States that a leader receives per second while nothing changes. A box with 0.15 of a core processes some 1,500
/// messages per second; the remainder is for changes and for its own rank.
const STATES_PER_SECOND: f64 = 640.0;
/// Heartbeats that a leader sends per second, to all ranks together.
const HEARTBEATS_PER_SECOND: f64 = 400.0;
/// Shortest interval between two states of a rank on which nothing changes.
const MIN_STATE_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two heartbeats to a rank.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Heartbeat intervals after which a leader counts as gone: three missed heartbeats, and half an interval for transit.
const TIMEOUT_HEARTBEATS: f64 = 3.5;
/// States that an agent may miss before the leader reconnects, and the shortest such time: six state intervals of a
/// small group.
const MAX_MISSED_STATES: u32 = 4;
const MIN_AGENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest age beyond which a load counts as outdated.
const MIN_LOAD_AGE_LIMIT: Duration = Duration::from_millis(700);
/// Shortest time without a report after which an agent is not chosen as a helper.
const MIN_HELPER_AGE_LIMIT: Duration = Duration::from_millis(250);
/// Time per rank that an order to all ranks takes on a small box: sending it and handling its answer.
const ROUND_PER_RANK: Duration = Duration::from_millis(4);
/// Limit of the factor by which measured rounds lengthen the limits: a frozen box must not slow down the handling of
/// all others.
const MAX_STRETCH: u32 = 4;
/// Weight of the latest round in the moving average.
const ROUND_WEIGHT: f64 = 0.3;
/// Limit of an order: rounds, and a fixed time for a call of an engine with several attempts.
const ORDER_ROUNDS: u32 = 4;
const ORDER_BASE: Duration = Duration::from_millis(300);
/// Limit of staging on all ranks up to their reports of completion, without the loading itself: rounds and a fixed
/// time.
const STAGE_ROUNDS: u32 = 4;
const STAGE_BASE: Duration = Duration::from_millis(500);
/// Limit of a hold with arming and the check of the armed state: rounds and a fixed time, both the shortest, because
/// requests wait during a hold.
const HOLD_ROUNDS: u32 = 2;
const HOLD_BASE: Duration = Duration::from_millis(120);
/// Shortest time without a connection to an agent after which its engine is ordered directly.
const MIN_DIRECT_ORDER_DELAY: Duration = Duration::from_millis(150);
/// Extension of the limit of a hold when an engine is ordered directly: two and a half calls between halls, and a wait
/// for the report lag until the effect of the order shows.
const DIRECT_HOLD_EXTRA: Duration = Duration::from_millis(150);
const DIRECT_LAGS: f64 = 1.5;
/// Time per rank for a new leader to connect to all ranks, and the shortest such time for all.
const TAKEOVER_PER_RANK: Duration = Duration::from_millis(12);
const MIN_TAKEOVER_LIMIT: Duration = Duration::from_millis(250);
/// Share of the leader timeout within which a message from a leader shows that it is alive.
const LIVE_AGE_SHARE: f64 = 0.75;
/// Additional wait of each candidate for leadership over the one before it: time for a claim, and for the first
/// connection of the new leader to the next candidate.
const CANDIDATE_STEP: Duration = Duration::from_millis(150);
/// Candidates with such a step. Later candidates are spaced more closely: they only must not claim at the same time.
const NEAR_CANDIDATES: usize = 12;
const FAR_CANDIDATE_STEP: Duration = Duration::from_millis(40);

/// Message intervals and time limits of one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupTiming {
    ranks: u32,
    /// Moving average of the time within which nine tenths of the ranks answer an order to all.
    round: Duration,
}

impl GroupTiming {
    /// Creates the timing of a group of `ranks` ranks without measurements.
    pub fn new(ranks: usize) -> Self {
        let ranks = u32::try_from(ranks).unwrap_or(u32::MAX).max(1);
        Self {
            ranks,
            round: ROUND_PER_RANK * ranks,
        }
    }

    /// Records the times in which the ranks answered an order to all of them.
    pub fn record_round(&mut self, mut times: Vec<Duration>) {
        times.sort_unstable();
        let Some(slow) = times.get(times.len() * 9 / 10) else {
            return;
        };
        let least = ROUND_PER_RANK * self.ranks;
        let average = self.round.mul_f64(1.0 - ROUND_WEIGHT) + slow.mul_f64(ROUND_WEIGHT);
        self.round = average.clamp(least, least * MAX_STRETCH);
    }

    /// Interval between two states of a rank on which nothing changes.
    pub fn state_interval(&self) -> Duration {
        self.interval_for_rate(STATES_PER_SECOND).max(MIN_STATE_INTERVAL)
    }

    /// Interval between two heartbeats to a rank.
    pub fn heartbeat_interval(&self) -> Duration {
        self.interval_for_rate(HEARTBEATS_PER_SECOND)
            .max(MIN_HEARTBEAT_INTERVAL)
    }

    /// Time without a message from a leader after which the first candidate claims the leadership.
    pub fn leader_timeout(&self) -> Duration {
        self.heartbeat_interval().mul_f64(TIMEOUT_HEARTBEATS)
    }

    /// Age up to which a peer's last message from a leader shows that the leader is alive.
    pub fn leader_live_age(&self) -> Duration {
        self.leader_timeout().mul_f64(LIVE_AGE_SHARE)
    }

    /// Time for an agent that has just claimed to connect to all ranks.
    pub fn takeover_limit(&self) -> Duration {
        (TAKEOVER_PER_RANK * self.ranks).max(MIN_TAKEOVER_LIMIT)
    }

    /// Additional wait of the candidate at `rank` over the first one.
    pub fn candidate_delay(&self, rank: usize) -> Duration {
        let near = u32::try_from(rank.min(NEAR_CANDIDATES)).unwrap_or_default();
        let far = u32::try_from(rank.saturating_sub(NEAR_CANDIDATES)).unwrap_or_default();
        CANDIDATE_STEP * near + FAR_CANDIDATE_STEP * far
    }

    /// Time without a message from an agent after which the leader reconnects to it.
    pub fn agent_timeout(&self) -> Duration {
        (self.state_interval() * MAX_MISSED_STATES).max(MIN_AGENT_TIMEOUT)
    }

    /// Age up to which the load of a rank is up to date.
    pub fn max_load_age(&self) -> Duration {
        (self.state_interval() * MAX_MISSED_STATES).max(MIN_LOAD_AGE_LIMIT)
    }

    /// Age of an agent's last report up to which the agent counts as running.
    pub fn max_helper_age(&self) -> Duration {
        self.state_interval().mul_f64(2.5).max(MIN_HELPER_AGE_LIMIT)
    }

    /// Time after which an unanswered order is given up.
    pub fn order_limit(&self) -> Duration {
        ORDER_BASE + self.round * ORDER_ROUNDS
    }

    /// Time limit of staging beyond the loading itself.
    pub fn stage_slack(&self) -> Duration {
        STAGE_BASE + self.round * STAGE_ROUNDS
    }

    /// Time for which the group may be held before a map switch is reverted.
    pub fn hold_limit(&self) -> Duration {
        HOLD_BASE + self.round * HOLD_ROUNDS
    }

    /// Time without a connection to an agent after which its engine is ordered directly, for a new leader, which must
    /// connect to all agents first.
    pub fn direct_order_after(&self) -> Duration {
        (TAKEOVER_PER_RANK * self.ranks).max(MIN_DIRECT_ORDER_DELAY)
    }

    /// The same for an agent that was connected before: it has been unresponsive already by the time it counts as
    /// missing.
    pub fn direct_order_again_after(&self) -> Duration {
        MIN_DIRECT_ORDER_DELAY
    }

    /// Time for which the group may be held if any engine is ordered directly; `lag` is the age of the engine's reports
    /// to other boxes.
    pub fn direct_hold_limit(&self, lag: Duration) -> Duration {
        self.hold_limit() + DIRECT_HOLD_EXTRA + lag.mul_f64(DIRECT_LAGS)
    }

    /// Interval between two messages to or from each rank that yields `per_second` messages per second for all ranks.
    fn interval_for_rate(&self, per_second: f64) -> Duration {
        Duration::from_secs_f64(f64::from(self.ranks) / per_second)
    }
}
