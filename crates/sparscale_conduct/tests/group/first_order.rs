//! The first order that a leader sends after it has connected to an agent is answered.
//!
//! After the leader of 129 ranks had died, two agents left the first order of its successor unanswered: they were busy
//! with their engines when its stream and the order arrived, handled the order before the subscription and so had no
//! receiver for the answer. The successor waited 2.4 s for each, by when one of the two boxes was frozen, and the next
//! map became active 10 s after the leader's death. The successor's log line shows the age of each order beside that of
//! the latest report:
//!
//! ```text
//! 7.93 stalled progress=Surveying awaited=["0: Look for 1154 ms, heard 71 ms ago", "128: Look for 2002 ms, heard 36 ms
//! ago"]
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_place::barrier::{Act, Order};
use sparscale_wire::{Endpoint, Frame, Identity, Role, StreamRequest, rank};

use crate::engines::World;

/// Number of consecutive leaders.
const LEADERS: u64 = 12;
/// Time that the engine takes to report its state, during which the agent is busy.
const STATE_DELAY: Duration = Duration::from_millis(40);
/// Time limit for an answer on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn first_order_answered() {
    let world = World::new(14);
    world.lock().others_claim_first = true;
    world.lock().state_delay = STATE_DELAY;
    let agent = world.start_agent(0);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let unanswered = runtime.block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = Endpoint::bind(any, Identity::SelfSigned(Role::Agent)).expect("a free port");
        let mut unanswered = Vec::new();
        for claim in 1..=LEADERS {
            if !is_answered(&endpoint, world.agent_address(0), claim).await {
                unanswered.push(claim);
            }
        }
        unanswered
    });
    assert!(
        unanswered.is_empty(),
        "claims whose first orders were not answered: {unanswered:?}"
    );
    agent.shutdown_background();
}

/// Leads the agent, polls its rank at once and returns whether that order is answered.
async fn is_answered(endpoint: &Endpoint, agent: SocketAddr, claim: u64) -> bool {
    let mut channel = endpoint.open(agent, Role::Agent).await.expect("an agent");
    let ask = StreamRequest::LeadRank {
        group: "g".to_owned(),
        rank: 0,
        claim,
    };
    let order = Order {
        serial: claim,
        fence: claim,
        epoch: 1,
        act: Act::Look,
    };
    for frame in [
        Frame::Open(ask),
        Frame::RankOrder(rank::Order::ToRank { order, map: None }),
    ] {
        channel.sender.send(&frame).await.expect("an agent that reads");
    }
    let answered = async {
        loop {
            match channel.receiver.receive().await {
                Ok(Frame::RankUpdate(rank::Update::Report { report, .. })) if report.answer.is_some() => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answered).await.unwrap_or(false)
}
