//! When an agent takes the duty of leading its group.

use std::time::Duration;

use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::claims::{Claim, Claims};
use crate::engine::EngineState;
use crate::leader::{Charge, Context, Leader};
use crate::pace::Pace;
use crate::rank::Led;

/// Time without a word from any conductor after which the first in line claims the duty, for a group whose ranks still have the map that every group starts with: nobody has led it in this epoch, and
/// its passes are several times as long as they need to be. The first in line claims at once; if others led before, its
/// first claim only tells it so.
const FIRST_MAP_PATIENCE: Duration = Duration::from_millis(50);
/// Time that an agent that was not led yet gives a conductor after its first claim, by which it learnt where the list of
/// claims ends; it waited for one before that claim. Waiting as long again left groups without a conductor for 1.35 s
/// after all processes were killed.
const SECOND_CLAIM: Duration = Duration::from_millis(250);
/// Time that all others give it to learn where they are and to reach them.
const FIRST_LINK: Duration = Duration::from_millis(500);
/// Time that a claim may take.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// A look that comes this late means that the box stood still.
const STOOD_STILL: Duration = Duration::from_millis(400);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Leads the group whenever nobody else does; never ends.
pub(crate) async fn run(context: Context, mut claims: Box<dyn Claims>, service: String) {
    // Where the list of claims ends, once that is known.
    let mut end = None;
    let mut waited_since = Instant::now();
    loop {
        let slept = Instant::now();
        tokio::time::sleep(LOOK).await;
        if slept.elapsed() > STOOD_STILL {
            // This box stood still: it is the one that was not heard, and what was sent to it is still to be read.
            waited_since = Instant::now();
        }
        let led = *context.handle.led.borrow();
        if let Some(claim) = led.claim {
            end = end.max(Some(claim + 1));
        }
        waited_since = waited_since.max(led.spoke);
        let state = context.handle.state.borrow().clone();
        let Some((group, state)) = state.and_then(member_of) else {
            waited_since = waited_since.max(Instant::now());
            continue;
        };
        if waited_since.elapsed() < patience(&state, &led, end.is_some()) {
            continue;
        }
        let holder = format!("{service}/{}", state.rank);
        let claiming =
            tokio::time::timeout(CLAIM_TIMEOUT, claims.claim(&group, &holder, end.unwrap_or_default())).await;
        waited_since = Instant::now();
        match claiming {
            Ok(Ok(Claim::Won { offset })) => {
                context.figures.claimed("won");
                let charge = Charge {
                    group,
                    service: service.clone(),
                    own: state.rank,
                    size: state.size,
                    claim: offset,
                };
                Leader::new(context.clone(), charge).run().await;
                waited_since = Instant::now();
            }
            Ok(Ok(Claim::Lost { end: claims })) => {
                context.figures.claimed("lost");
                end = Some(claims);
            }
            Ok(Err(error)) => {
                context.figures.claimed("unanswered");
                log::info!(target: DECISION, decision = "claim_failed", group = group.as_str(), error = error.to_string().as_str(); "no answer to a claim");
            }
            Err(_elapsed) => {
                context.figures.claimed("unanswered");
                log::info!(target: DECISION, decision = "claim_failed", group = group.as_str(), error = "timeout"; "no answer to a claim");
            }
        }
    }
}

fn member_of(state: EngineState) -> Option<(String, EngineState)> {
    let group = state.group.clone()?;
    Some((group, state))
}

/// Time without a word from any conductor after which an agent in this state claims the duty. One that does not know yet
/// where the list of claims ends, and so has not been led, loses its first claim to whoever led before, and learns it.
fn patience(state: &EngineState, led: &Led, knows_end: bool) -> Duration {
    let pace = Pace::new(state.size);
    let place = pace.place(state.rank);
    if led.claim.is_some() {
        return pace.patience() + place;
    }
    match (state.view.map, knows_end) {
        (0, _) if state.rank == 0 => FIRST_MAP_PATIENCE,
        (0, false) => FIRST_LINK + place,
        (_, true) => SECOND_CLAIM + place,
        // Somebody leads, and notices only after a while that this agent's predecessor is gone, and dials anew.
        (_, false) => pace.silence() + place,
    }
}
