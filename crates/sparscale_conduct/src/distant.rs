//! An engine on another box, ordered directly because its agent is not reached.

use std::time::Duration;

use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Order, Report};
use sparscale_wire::RankLoad;

use crate::engine::Engine;

/// Factor by which the lag of a report is waited out.
const LAG_MARGIN: f64 = 1.5;
/// What is waited besides.
const LAG_SLACK: Duration = Duration::from_millis(50);

/// An engine that tells other boxes its state as it was some time ago.
pub struct Distant {
    engine: Box<dyn Engine>,
    lag: Duration,
}

impl std::fmt::Debug for Distant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Distant")
            .field("lag", &self.lag)
            .finish_non_exhaustive()
    }
}

impl Distant {
    /// The engine, and the age of what it tells other boxes.
    pub fn new(engine: Box<dyn Engine>, lag: Duration) -> Self {
        Self { engine, lag }
    }

    /// Whether the engine says that it is rank `rank` of the group called `group`. A list of targets may be of before a
    /// change of ranks, or have entries of another writer, and an order to another rank than the one that is meant would be
    /// read back from there as that one's.
    pub async fn is_rank(&mut self, group: &str, rank: usize) -> bool {
        self.engine.state().await.is_ok_and(|state| state.is_rank(group, rank))
    }

    /// Carries `order` out. The state that is told was read late enough to show the order's effect, and that of
    /// everything before it: a state from before would hide, say, that the rank had just been armed.
    pub async fn order(&mut self, order: &Order, map: Option<&Map>) -> (Report, Option<RankLoad>) {
        let answer = match order.act {
            Act::Look => Answer::Done,
            _ => self.engine.order(order, map).await,
        };
        if order.act != Act::Look {
            tokio::time::sleep(self.lag.mul_f64(LAG_MARGIN) + LAG_SLACK).await;
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
