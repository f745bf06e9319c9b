//! The state that an engine reports to another box is as old as the report lag; it must not count as the state after an
//! order.

use std::collections::VecDeque;
use std::time::Duration;

use async_trait::async_trait;
use sparscale_conduct::{Engine, EngineError, EngineState, HeldExperts, RemoteEngine, SelectionCounts};
use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Change, Order, View};
use sparscale_wire::rank;
use tokio::time::Instant;

const REPORT_LAG: Duration = Duration::from_millis(200);

/// An engine that has just been armed and reports its state as of [`REPORT_LAG`] ago.
struct LaggingEngine {
    history: VecDeque<(Instant, Option<Change>)>,
}

#[async_trait]
impl Engine for LaggingEngine {
    async fn state(&mut self) -> Result<EngineState, EngineError> {
        let reported_at = Instant::now() - REPORT_LAG;
        let known = self.history.iter().rev().find(|(at, _)| *at <= reported_at);
        Ok(EngineState {
            born_ms: None,
            group: None,
            rank: 0,
            size: 1,
            view: View {
                epoch: 1,
                open: true,
                step: 1,
                map: 0,
                staged: None,
                armed: known.and_then(|(_, armed)| *armed),
                held: None,
            },
            load: rank::Load::default(),
        })
    }

    async fn counts(&mut self) -> Result<SelectionCounts, EngineError> {
        unreachable!("not called by this test")
    }

    async fn held_experts(&mut self) -> Result<HeldExperts, EngineError> {
        unreachable!("not called by this test")
    }

    async fn order(&mut self, _order: &Order, _map: Option<&Map>) -> Answer {
        Answer::Done
    }
}

/// A rank that was armed just before it is ordered to disarm another number is still armed, and its report must show
/// that.
#[tokio::test(start_paused = true)]
async fn armed_state_reported() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let armed = Change { number: 7, at: 9 };
    let now = Instant::now();
    let history = VecDeque::from([(now - Duration::from_secs(5), None), (now, Some(armed))]);
    let mut engine = RemoteEngine::new(Box::new(LaggingEngine { history }), REPORT_LAG);
    let order = Order {
        serial: 3,
        fence: 5,
        epoch: 1,
        act: Act::Disarm { number: 1 },
    };
    let (report, _) = engine.order(&order, None).await;
    assert_eq!(report.view.and_then(|view| view.armed), Some(armed));
}
