//! Orders about the expert map: checked here, directly before they go to the target.

use std::sync::Arc;

use sparscale_control::Journal;
use sparscale_journal::{Duty, shape};
use sparscale_place::Map;
use sparscale_place::switch::{Act, Order, Report};
use sparscale_telemetry::DECISION;
use tokio::sync::Mutex;

use crate::engine::{Engine, Numbered};

/// Passes orders on, one at a time.
///
/// The lock is held until the target has answered, so that no order overtakes another on its way. What is left: an
/// earlier incarnation of this agent may have an order on its way while this one starts. A target that checks fences
/// refuses it; at one that does not, [`sparscale_place::switch::Rank`]'s own rules still refuse what does not fit.
pub(crate) struct Orders {
    target: String,
    journal: Arc<Journal>,
    engine: Arc<dyn Engine>,
    highest: Mutex<u64>,
}

impl Orders {
    pub(crate) fn new(target: String, journal: Arc<Journal>, engine: Arc<dyn Engine>) -> Self {
        Self {
            target,
            journal,
            engine,
            highest: Mutex::new(0),
        }
    }

    /// Carries `order` out, or refuses it with the fence that beat it; none if nothing can be said.
    pub(crate) async fn carry_out(&self, group: &str, order: &Order) -> Option<Report> {
        let mut highest = self.highest.lock().await;
        // Until the log was folded to its head, a higher fence may be there that this agent has not seen.
        if !self.journal.confirm_head().await || !self.is_rank_of(group) {
            return None;
        }
        *highest = (*highest).max(self.fence_in_log(group));
        if order.fence < *highest {
            log::info!(target: DECISION, decision = "refuse_order", group, fence = order.fence, highest = *highest; "an old fence");
            return Some(refused(*highest));
        }
        *highest = order.fence;
        let maps = self.maps_of(group, &order.act)?;
        match self.engine.order(order, maps).await {
            Ok(report) => {
                if order.act != Act::Enlist {
                    log::info!(target: DECISION, decision = "order", group, fence = order.fence, act:? = order.act, done = report.done, step = report.step; "passed an order on");
                }
                Some(report)
            }
            Err(error) => {
                log::warn!(group, error = error.to_string().as_str(); "the target did not answer an order");
                None
            }
        }
    }

    fn is_rank_of(&self, group: &str) -> bool {
        let certificate = self.journal.in_force();
        let found = certificate
            .as_ref()
            .and_then(|certificate| certificate.bundle.fleet().group(group));
        found.is_some_and(|group| group.ranks.contains(&self.target))
    }

    fn fence_in_log(&self, group: &str) -> u64 {
        let duty = Duty::Placer(group.to_owned());
        self.journal
            .with_state(|state| state.holder(&duty).map_or(0, |holder| holder.fence))
    }

    fn maps_of(&self, group: &str, act: &Act) -> Option<Vec<Numbered>> {
        let numbers = match act {
            Act::Stage { number } => vec![*number],
            Act::Join { plan, .. } => std::iter::once(plan.number)
                .chain(plan.next.map(|change| change.number))
                .collect(),
            Act::Enlist | Act::Arm(_) | Act::Release(_) | Act::Disarm(_) => Vec::new(),
        };
        numbers.into_iter().map(|number| self.map(group, number)).collect()
    }

    /// The map with this number: the initial one, the latest one in the log, or the one before it.
    fn map(&self, group: &str, number: u64) -> Option<Numbered> {
        let certificate = self.journal.in_force()?;
        let shape = shape(certificate.bundle.fleet().group(group)?);
        let map = self.journal.with_state(|state| {
            let placed = state.map(group);
            match placed {
                Some(placed) if placed.number == number => Some(placed.map.as_ref().clone()),
                Some(placed) if placed.base == number => placed.before.as_ref().map(|map| map.as_ref().clone()),
                _ => None,
            }
        });
        let map = map.or_else(|| (number == 0).then(|| Map::initial(shape)))?;
        Some(Numbered { number, map })
    }
}

/// The report that tells a placer of a higher fence.
fn refused(fence: u64) -> Report {
    Report {
        incarnation: 0,
        fence,
        done: false,
        step: 0,
        plan: None,
        staged: None,
        armed: None,
    }
}
