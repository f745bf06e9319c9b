//! An unresponsive rank must not stall the group: no hold is begun while a rank is unresponsive.
//!
//! Two boxes of 129 were suspended after their ranks had loaded the next map. The change went on to the hold, could not
//! be armed on those ranks, and could not be undone before they responded: the group stalled for 3.4 s.

use sparscale_place::barrier::{Act, Answer, Coordinator, Progress, Report, View};

const RANKS: usize = 3;
const MAP_NUMBER: u64 = 7;

/// State of a running rank, with map `staged` loaded, if any.
pub fn view(staged: Option<u64>) -> View {
    View {
        epoch: 1,
        open: true,
        step: 10,
        map: 0,
        staged,
        armed: None,
        held: None,
    }
}

/// Answers all orders that the coordinator sends now.
fn answer_orders(coordinator: &mut Coordinator, staged: Option<u64>) {
    for (rank, order) in coordinator.orders() {
        let report = Report {
            serial: order.serial,
            answer: Some(Answer::Done),
            view: Some(view(staged)),
        };
        coordinator.record_report(rank, report);
    }
}

#[test]
fn no_hold_while_unresponsive() {
    let mut coordinator = Coordinator::new(RANKS, 0, 100);
    answer_orders(&mut coordinator, None);
    assert_eq!(coordinator.progress(), Progress::Idle);
    assert!(coordinator.begin_change(MAP_NUMBER));
    coordinator.set_unresponsive(true);
    answer_orders(&mut coordinator, Some(MAP_NUMBER));
    assert_eq!(
        coordinator.progress(),
        Progress::Staging,
        "all ranks have loaded the map, one is unresponsive"
    );
    assert!(coordinator.orders().is_empty());
    coordinator.set_unresponsive(false);
    assert_eq!(coordinator.progress(), Progress::Holding);
    let holds = coordinator.orders();
    assert!(matches!(holds.as_slice(), [(0, order)] if matches!(order.act, Act::Hold { .. })));
    // A change that holds the group goes on: undoing it would hold the group for as long.
    coordinator.set_unresponsive(true);
    assert_eq!(coordinator.progress(), Progress::Holding);
}
