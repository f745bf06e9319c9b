//! Decides when an agent claims the leadership of its group.
//!
//! An agent waits for the leader for a time that grows with its rank, so that few agents claim at once, and polls other
//! agents before it claims. A leader that has terminated is replaced; one that is only unreachable from here is not.

use std::time::Duration;

use sparscale_history::Position;
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::claims::{self, ClaimOutcome, Claims};
use crate::context::{Context, Term};
use crate::engine::EngineState;
use crate::handle::LeaderObservation;
use crate::leader::Leader;
use crate::leader_poll::{self, LeaderStatus};
use crate::timing::GroupTiming;

/// Time without a leader after which the first candidate claims the leadership of a group whose ranks still have the
/// initial map: no leader has led it in this epoch, and its passes take several times as long as they need to. The
/// first candidate claims without a poll; if others led before, its first claim only returns the end of the list of
/// claims.
const INITIAL_MAP_WAIT: Duration = Duration::from_millis(50);
/// Time that an agent without a leader waits after its first claim, which returned the end of the list of claims. It
/// already waited for a leader before that claim; waiting as long again would leave a group without a leader after all
/// processes were killed.
const SECOND_CLAIM_WAIT: Duration = Duration::from_millis(250);
/// Shortest time that the other candidates allow the first one to read the locations of the ranks and connect to them.
const FIRST_LINK_WAIT: Duration = Duration::from_millis(500);
/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay of a check beyond which the box is taken to have been suspended.
const SUSPENDED_THRESHOLD: Duration = Duration::from_millis(400);
/// Consecutive polls without any answer after which the leadership is claimed anyway: all other agents may have
/// terminated.
const MAX_UNANSWERED_POLLS: u32 = 2;
/// Time between two checks of the leadership.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Leads the group whenever no other agent does; never returns.
pub(crate) async fn run(context: Context, claims: Box<dyn Claims>, service: String) {
    let now = Instant::now();
    let mut candidate = Candidate {
        context,
        claims,
        service,
        next_claim: None,
        next_claim_known_since: now,
        waiting_since: now,
        unanswered_polls: 0,
    };
    loop {
        let sleep_began = Instant::now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        if sleep_began.elapsed() > SUSPENDED_THRESHOLD {
            // The box was suspended: messages that the leader sent meanwhile are still to be read, so the wait starts
            // anew.
            candidate.waiting_since = Instant::now();
        }
        candidate.check().await;
    }
}

/// A possible successor of the leader, and what it knows of the leadership.
struct Candidate {
    context: Context,
    claims: Box<dyn Claims>,
    service: String,
    /// Number of the next claim; `None` until the end of the list of claims is known.
    next_claim: Option<u64>,
    /// When `next_claim` last changed.
    next_claim_known_since: Instant,
    /// Start of the wait for a leader; later than now while a known claimant still has time to connect.
    waiting_since: Instant,
    /// Consecutive polls without any answer.
    unanswered_polls: u32,
}

impl Candidate {
    async fn check(&mut self) {
        let leader = *self.context.handle.leader.borrow();
        if let Some(claim) = leader.claim {
            self.record_next_claim(claim + 1);
        }
        self.waiting_since = self.waiting_since.max(leader.last_seen);
        let state = self.context.handle.state.borrow().clone();
        let Some((group, state)) = state.and_then(with_group) else {
            self.waiting_since = Instant::now();
            return;
        };
        if self.waiting_since.elapsed() < claim_wait(&state, &leader, self.next_claim.is_some()) {
            return;
        }
        // Until the end of the list is known a claim needs no poll: it only returns that end, unless the list is empty.
        let may_claim = match self.next_claim {
            Some(next_claim) => self.leader_is_gone(&group, &state, next_claim).await,
            None => true,
        };
        if may_claim {
            self.claim(group, &state).await;
        }
    }

    fn record_next_claim(&mut self, next_claim: u64) {
        if self.next_claim < Some(next_claim) {
            self.next_claim = Some(next_claim);
            self.next_claim_known_since = Instant::now();
        }
    }

    /// Polls other agents and returns whether the leader is gone; if not, restarts the wait for it.
    async fn leader_is_gone(&mut self, group: &str, state: &EngineState, next_claim: u64) -> bool {
        let timing = GroupTiming::new(state.size);
        let sightings = leader_poll::poll_peers(&self.context, group, state).await;
        let status = leader_poll::evaluate_poll(&sightings, next_claim, self.next_claim_known_since.elapsed(), &timing);
        log::info!(target: DECISION, decision = "inquiry", group, end = next_claim, words:? = sightings, verdict:? = status, unheard_ms = self.waiting_since.elapsed().as_millis() as u64; "polled other agents for the leader");
        self.unanswered_polls = if status == LeaderStatus::Alone {
            self.unanswered_polls + 1
        } else {
            0
        };
        let now = Instant::now();
        match status {
            LeaderStatus::Gone => true,
            LeaderStatus::Alone => {
                self.waiting_since = now;
                self.unanswered_polls > MAX_UNANSWERED_POLLS
            }
            LeaderStatus::Lives { claim } => {
                self.record_next_claim(claim + 1);
                self.waiting_since = now;
                false
            }
            // The next check happens once the claimant has had its time to connect.
            LeaderStatus::Coming { wait } => {
                self.waiting_since = now + wait;
                false
            }
        }
    }

    async fn claim(&mut self, group: String, state: &EngineState) {
        let holder = format!("{}/{}", self.service, state.rank);
        let next_claim = self.next_claim.unwrap_or_default();
        let claiming = self.claims.claim(&group, &holder, claims::position(next_claim));
        let claimed = tokio::time::timeout(CLAIM_TIMEOUT, claiming).await;
        self.waiting_since = Instant::now();
        match claimed {
            Ok(Ok(ClaimOutcome::Won { position })) => self.lead(group, state, position).await,
            Ok(Ok(ClaimOutcome::Lost { next_position: end })) => {
                self.context.metrics.record_claim("lost");
                match claims::number(end) {
                    Some(number) => self.record_next_claim(number),
                    None => self.record_failed_claim(&group, "the number of the next claim is out of range"),
                }
            }
            Ok(Err(error)) => self.record_failed_claim(&group, &error.to_string()),
            Err(_elapsed) => self.record_failed_claim(&group, "timeout"),
        }
    }

    async fn lead(&mut self, group: String, state: &EngineState, position: Position) {
        // A number below the known end comes from a list that was restored since: another claim has taken its place.
        let number =
            claims::number(position).filter(|number| self.next_claim.is_none_or(|next_claim| *number >= next_claim));
        let Some(claim) = number else {
            self.record_failed_claim(
                &group,
                "the claim number is out of range, or below the known end of the list",
            );
            return;
        };
        self.context.metrics.record_claim("won");
        let term = Term {
            group,
            service: self.service.clone(),
            own_rank: state.rank,
            size: state.size,
            claim,
        };
        Leader::new(self.context.clone(), term).run().await;
        self.waiting_since = Instant::now();
    }

    fn record_failed_claim(&self, group: &str, error: &str) {
        self.context.metrics.record_claim("unanswered");
        log::info!(target: DECISION, decision = "claim_failed", group, error; "claim of the leadership failed");
    }
}

fn with_group(state: EngineState) -> Option<(String, EngineState)> {
    let group = state.group.clone()?;
    Some((group, state))
}

/// Time without a leader after which an agent in this state claims the leadership. An agent that does not know the end
/// of the list of claims has not been led yet: it loses its first claim to any earlier leader, and so obtains the end.
fn claim_wait(state: &EngineState, leader: &LeaderObservation, knows_next_claim: bool) -> Duration {
    let timing = GroupTiming::new(state.size);
    let candidate_delay = timing.candidate_delay(state.rank);
    if leader.claim.is_some() {
        return timing.leader_timeout() + candidate_delay;
    }
    match (state.view.map, knows_next_claim) {
        (0, _) if state.rank == 0 => INITIAL_MAP_WAIT,
        (0, false) => timing.takeover_limit().max(FIRST_LINK_WAIT) + candidate_delay,
        (_, true) => SECOND_CLAIM_WAIT + candidate_delay,
        // There may be a leader: it notices only after its agent timeout that this agent's predecessor is gone, and
        // then reconnects.
        (_, false) => timing.agent_timeout() + candidate_delay,
    }
}
