//! When an agent takes the leadership of its group.

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

/// Time without a word from any conductor after which the first in line claims the leadership of a group whose ranks still have
/// the map that every group starts with: nobody has led it in this epoch, and its passes are several times as long as
/// they need to be. The first in line claims at once; if others led before, its first claim only tells it so.
const FIRST_MAP_PATIENCE: Duration = Duration::from_millis(50);
/// Time that an agent that was not led yet gives a conductor after its first claim, by which it learnt where the list of
/// claims ends; it waited for one before that claim. Waiting as long again would leave a group
/// without a conductor after all processes were killed.
const SECOND_CLAIM: Duration = Duration::from_millis(250);
/// Time that all others give it to learn where they are and to reach them.
const FIRST_LINK: Duration = Duration::from_millis(500);
/// Time that a claim may take.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// A look that comes this late means that the box stood still.
const STOOD_STILL: Duration = Duration::from_millis(400);
/// Inquiries that nobody answers after which the leadership is claimed all the same: all other agents may be gone.
const ALONE_TRIES: u32 = 2;
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Leads the group whenever nobody else does; never ends.
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
            // This box stood still: it is the one that was not heard, and what was sent to it is still to be read.
            candidacy.waited_since = Instant::now();
        }
        candidacy.look().await;
    }
}

/// What an agent knows of the leadership.
struct Candidacy {
    context: Context,
    claims: Box<dyn Claims>,
    service: String,
    /// Number of the next claim, once it is known where the list of claims ends.
    end: Option<u64>,
    /// When that was learnt.
    learnt: Instant,
    /// Since when nobody was heard who leads.
    waited_since: Instant,
    /// Inquiries in a row to which nobody answered.
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
        // A first claim only shows where the list of claims ends, unless nobody has ever claimed.
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

    /// Whether the conductor is gone as far as others know; if not, it is waited for.
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
            // The next look comes when it has had its time.
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
        // A claim of a list that has been restored since is none: what stands there now is another one.
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

/// Time without a word from any conductor after which an agent in this state claims the leadership. One that does not know yet
/// where the list of claims ends, and so has not been led, loses its first claim to whoever led before, and learns it.
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
        // Somebody leads, and notices only after a while that this agent's predecessor is gone, and dials anew.
        (_, false) => pace.silence() + behind,
    }
}
