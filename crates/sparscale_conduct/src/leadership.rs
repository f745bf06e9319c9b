//! Decides when an agent claims the leadership of its group.
//!
//! Agents wait for the leader in the order of their ranks, poll other agents before they claim, and so replace a leader
//! that has terminated without deposing one that is merely unreachable from here.

use std::time::Duration;

use sparscale_history::Place;
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::claims::{self, Claim, Claims};
use crate::context::{Context, Term};
use crate::engine::EngineState;
use crate::handle::Led;
use crate::inquiry::{self, Verdict};
use crate::leader::Leader;
use crate::pace::Pace;

/// Time without a leader after which the first candidate claims the leadership of a group whose ranks still have the
/// initial map: no leader has led it in this epoch, and its passes take several times as long as they need to. The
/// first candidate claims without a poll; if others led before, its first claim only returns the end of the list of
/// claims.
const FIRST_MAP_PATIENCE: Duration = Duration::from_millis(50);
/// Time that an agent without a leader waits after its first claim, which returned the end of the list of claims. It
/// already waited for a leader before that claim; waiting as long again would leave a group without a leader after all
/// processes were killed.
const SECOND_CLAIM: Duration = Duration::from_millis(250);
/// Shortest time that the other candidates allow the first one to read the locations of the ranks and connect to them.
const FIRST_LINK: Duration = Duration::from_millis(500);
/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay of a check beyond which the box is taken to have been suspended.
const STOOD_STILL: Duration = Duration::from_millis(400);
/// Consecutive polls without any answer after which the leadership is claimed anyway: all other agents may have
/// terminated.
const ALONE_TRIES: u32 = 2;
/// Time between two checks of the leadership.
const LOOK: Duration = Duration::from_millis(50);

/// Leads the group whenever no other agent does; never returns.
pub(crate) async fn run(context: Context, claims: Box<dyn Claims>, service: String) {
    let now = Instant::now();
    let mut candidacy = Candidacy {
        context,
        claims,
        service,
        end: None,
        learnt: now,
        waited_since: now,
        alone: 0,
    };
    loop {
        let slept = Instant::now();
        tokio::time::sleep(LOOK).await;
        if slept.elapsed() > STOOD_STILL {
            // The box was suspended: messages that the leader sent meanwhile are still to be read, so the wait starts
            // anew.
            candidacy.waited_since = Instant::now();
        }
        candidacy.look().await;
    }
}

/// A possible successor of the leader, and what it knows of the leadership.
struct Candidacy {
    context: Context,
    claims: Box<dyn Claims>,
    service: String,
    /// Number of the next claim; `None` until the end of the list of claims is known.
    end: Option<u64>,
    /// When `next_claim` last changed.
    learnt: Instant,
    /// Start of the wait for a leader; later than now while a known claimant still has time to connect.
    waited_since: Instant,
    /// Consecutive polls without any answer.
    alone: u32,
}

impl Candidacy {
    async fn look(&mut self) {
        let led = *self.context.handle.led.borrow();
        if let Some(claim) = led.claim {
            self.note_end(claim + 1);
        }
        self.waited_since = self.waited_since.max(led.spoke);
        let state = self.context.handle.state.borrow().clone();
        let Some((group, state)) = state.and_then(member_of) else {
            self.waited_since = Instant::now();
            return;
        };
        if self.waited_since.elapsed() < patience(&state, &led, self.end.is_some()) {
            return;
        }
        // Until the end of the list is known a claim needs no poll: it only returns that end, unless the list is empty.
        let may_claim = match self.end {
            Some(end) => self.is_gone(&group, &state, end).await,
            None => true,
        };
        if may_claim {
            self.claim(group, &state).await;
        }
    }

    fn note_end(&mut self, end: u64) {
        if self.end < Some(end) {
            self.end = Some(end);
            self.learnt = Instant::now();
        }
    }

    /// Polls other agents and returns whether the leader is gone; if not, restarts the wait for it.
    async fn is_gone(&mut self, group: &str, state: &EngineState, end: u64) -> bool {
        let pace = Pace::new(state.size);
        let words = inquiry::ask(&self.context, group, state).await;
        let verdict = inquiry::verdict(&words, end, self.learnt.elapsed(), &pace);
        log::info!(target: DECISION, decision = "inquiry", group, end, words:? = words, verdict:? = verdict, unheard_ms = self.waited_since.elapsed().as_millis() as u64; "asked others for the conductor");
        self.alone = if verdict == Verdict::Alone { self.alone + 1 } else { 0 };
        let now = Instant::now();
        match verdict {
            Verdict::Gone => true,
            Verdict::Alone => {
                self.waited_since = now;
                self.alone > ALONE_TRIES
            }
            Verdict::Lives { claim } => {
                self.note_end(claim + 1);
                self.waited_since = now;
                false
            }
            // The next check happens once the claimant has had its time to connect.
            Verdict::Coming { wait } => {
                self.waited_since = now + wait;
                false
            }
        }
    }

    async fn claim(&mut self, group: String, state: &EngineState) {
        let holder = format!("{}/{}", self.service, state.rank);
        let end = self.end.unwrap_or_default();
        let claiming = self.claims.claim(&group, &holder, claims::place(end));
        let claimed = tokio::time::timeout(CLAIM_TIMEOUT, claiming).await;
        self.waited_since = Instant::now();
        match claimed {
            Ok(Ok(Claim::Won { place })) => self.lead(group, state, place).await,
            Ok(Ok(Claim::Lost { end })) => {
                self.context.figures.claimed("lost");
                match claims::number(end) {
                    Some(number) => self.note_end(number),
                    None => self.unanswered(&group, "more claims than numbers"),
                }
            }
            Ok(Err(error)) => self.unanswered(&group, &error.to_string()),
            Err(_elapsed) => self.unanswered(&group, "timeout"),
        }
    }

    async fn lead(&mut self, group: String, state: &EngineState, place: Place) {
        // A number below the known end comes from a list that was restored since: another claim has taken its place.
        let number = claims::number(place).filter(|number| self.end.is_none_or(|end| *number >= end));
        let Some(claim) = number else {
            self.unanswered(&group, "the claim has no number, or is older than what is known");
            return;
        };
        self.context.figures.claimed("won");
        let term = Term {
            group,
            service: self.service.clone(),
            own: state.rank,
            size: state.size,
            claim,
        };
        Leader::new(self.context.clone(), term).run().await;
        self.waited_since = Instant::now();
    }

    fn unanswered(&self, group: &str, error: &str) {
        self.context.figures.claimed("unanswered");
        log::info!(target: DECISION, decision = "claim_failed", group, error; "no answer to a claim");
    }
}

fn member_of(state: EngineState) -> Option<(String, EngineState)> {
    let group = state.group.clone()?;
    Some((group, state))
}

/// Time without a leader after which an agent in this state claims the leadership. An agent that does not know the end
/// of the list of claims has not been led yet: it loses its first claim to any earlier leader, and so obtains the end.
fn patience(state: &EngineState, led: &Led, knows_end: bool) -> Duration {
    let pace = Pace::new(state.size);
    let behind = pace.place(state.rank);
    if led.claim.is_some() {
        return pace.patience() + behind;
    }
    match (state.view.map, knows_end) {
        (0, _) if state.rank == 0 => FIRST_MAP_PATIENCE,
        (0, false) => pace.reach().max(FIRST_LINK) + behind,
        (_, true) => SECOND_CLAIM + behind,
        // There may be a leader: it notices only after its agent timeout that this agent's predecessor is gone, and
        // then reconnects.
        (_, false) => pace.silence() + behind,
    }
}
