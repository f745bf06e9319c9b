//! An engine on another box, ordered directly because its agent is unreachable.

use std::time::Duration;

use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Order, Report};
use sparscale_wire::rank;

use crate::engine::Engine;

/// Multiple of the report lag that is waited after an order.
const LAG_FACTOR: f64 = 1.5;
/// Time that is waited in addition.
const EXTRA_WAIT: Duration = Duration::from_millis(50);

/// An engine whose reports to other boxes lag behind its state.
pub struct RemoteEngine {
    engine: Box<dyn Engine>,
    report_lag: Duration,
}

impl std::fmt::Debug for RemoteEngine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Distant")
            .field("lag", &self.report_lag)
            .finish_non_exhaustive()
    }
}

impl RemoteEngine {
    /// Wraps an engine whose reports to other boxes are `report_lag` old.
    pub fn new(engine: Box<dyn Engine>, report_lag: Duration) -> Self {
        Self { engine, report_lag }
    }

    /// Whether the engine reports that it is rank `rank` of the group called `group`. The list of targets may be older
    /// than a change of ranks or contain entries of another writer; an order that went to another rank would be read
    /// back from there as the state of the intended one.
    pub async fn is_rank(&mut self, group: &str, rank: usize) -> bool {
        self.engine.state().await.is_ok_and(|state| state.is_rank(group, rank))
    }

    /// Carries out `order` and reads the state late enough to show the effect of the order and of everything before it.
    /// An earlier state would hide, for example, that the rank had just been armed.
    pub async fn order(&mut self, order: &Order, map: Option<&Map>) -> (Report, Option<rank::Load>) {
        let answer = match order.act {
            Act::Look => Answer::Done,
            _ => self.engine.order(order, map).await,
        };
        if order.act != Act::Look {
            tokio::time::sleep(self.report_lag.mul_f64(LAG_FACTOR) + EXTRA_WAIT).await;
        }
        let state = self.engine.state().await.ok();
        let report = Report {
            serial: order.serial,
            answer: Some(answer),
            view: state.as_ref().map(|state| state.view),
        };
        (report, state.map(|state| state.load))
    }
}
