//! Forwards orders about the expert map to the target. Each order carries a fence, and an order of a placer that
//! another one has replaced is rejected here, directly before it would reach the target.

use std::sync::Arc;

use sparscale_control::Journal;
use sparscale_journal::{Duty, shape};
use sparscale_place::Map;
use sparscale_place::switch::{Act, Order, Report};
use sparscale_telemetry::DECISION;
use tokio::sync::Mutex;

use crate::engine::{Engine, NumberedMap};

/// Checks the fence of each order and forwards one order at a time.
///
/// The lock is held until the target has responded or the call has failed, so that no order overtakes another. One race
/// remains: an order whose call failed, or that an earlier incarnation of this agent sent, may still be executed later. A
/// target that checks fences rejects it. For a target that doesn't, [`sparscale_place::switch::Rank`] rejects orders that
/// don't fit its state.
pub(crate) struct OrderForwarder {
    target: String,
    journal: Arc<Journal>,
    engine: Arc<dyn Engine>,
    highest_fence: Mutex<u64>,
}

impl OrderForwarder {
    pub(crate) fn new(target: String, journal: Arc<Journal>, engine: Arc<dyn Engine>) -> Self {
        Self {
            target,
            journal,
            engine,
            highest_fence: Mutex::new(0),
        }
    }

    /// Forwards `order` to the target, or rejects it and reports the higher fence. Returns `None` if this agent can't
    /// check the order or the target didn't respond to it.
    pub(crate) async fn forward(&self, group: &str, order: &Order) -> Option<Report> {
        let mut highest_fence = self.highest_fence.lock().await;
        // The log may contain a higher fence until this agent has read it to its head.
        if !self.journal.has_folded_initial_log().await || !self.is_rank_of(group) {
            return None;
        }
        *highest_fence = (*highest_fence).max(self.fence_in_log(group));
        if order.fence < *highest_fence {
            log::info!(target: DECISION, decision = "refuse_order", group, fence = order.fence, highest = *highest_fence; "rejected an order whose fence is lower than the highest known one");
            return Some(rejection_report(*highest_fence));
        }
        *highest_fence = order.fence;
        let maps = self.find_maps(group, &order.act)?;
        match self.engine.send_order(order, maps).await {
            Ok(report) => {
                if order.act != Act::Enlist {
                    log::info!(target: DECISION, decision = "order", group, fence = order.fence, act:? = order.act, done = report.done, step = report.step; "forwarded an order to the target");
                }
                Some(report)
            }
            Err(error) => {
                log::warn!(group, error = error.to_string().as_str(); "the target did not respond to an order");
                None
            }
        }
    }

    fn is_rank_of(&self, group: &str) -> bool {
        let certificate = self.journal.active_certificate();
        let group_config = certificate
            .as_ref()
            .and_then(|certificate| certificate.bundle.fleet().group(group));
        group_config.is_some_and(|group| group.ranks.contains(&self.target))
    }

    fn fence_in_log(&self, group: &str) -> u64 {
        let duty = Duty::Placer(group.to_owned());
        self.journal
            .with_state(|state| state.holder(&duty).map_or(0, |holder| holder.fence))
    }

    fn find_maps(&self, group: &str, act: &Act) -> Option<Vec<NumberedMap>> {
        let numbers = match act {
            Act::Stage { number } => vec![*number],
            Act::Join { plan, .. } => std::iter::once(plan.number)
                .chain(plan.next.map(|change| change.number))
                .collect(),
            Act::Enlist | Act::Arm(_) | Act::Release(_) | Act::Disarm(_) => Vec::new(),
        };
        numbers.into_iter().map(|number| self.find_map(group, number)).collect()
    }

    /// Finds the map with this number: the initial one, the latest one in the log, or the latest one's predecessor.
    fn find_map(&self, group: &str, number: u64) -> Option<NumberedMap> {
        let certificate = self.journal.active_certificate()?;
        let shape = shape(certificate.bundle.fleet().group(group)?);
        let map = self.journal.with_state(|state| {
            let latest = state.map(group);
            match latest {
                Some(latest) if latest.number == number => Some(latest.map.as_ref().clone()),
                Some(latest) if latest.base == number => latest.previous.as_ref().map(|map| map.as_ref().clone()),
                _ => None,
            }
        });
        let map = map.or_else(|| (number == 0).then(|| Map::initial(shape)))?;
        Some(NumberedMap { number, map })
    }
}

/// Returns the report by which a placer learns of a higher fence.
fn rejection_report(fence: u64) -> Report {
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
