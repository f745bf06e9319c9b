//! A late answer to an order of an abandoned change says nothing about the next change.
//!
//! Boxes that were suspended answer the order to load the previous map when they resume. If that counted for the next
//! map, a refusal would end its change, and a rank that has answered would never be ordered to load it while the change
//! waits for that rank.

use sparscale_place::barrier::{Act, Answer, Coordinator, Order, Progress, Report};

use crate::unresponsive_rank::view;

const RANKS: usize = 3;
/// The rank that answers late.
const LATE_RANK: usize = 2;
const FIRST_MAP: u64 = 7;
const NEXT_MAP: u64 = 8;

fn report(order: Order, answer: Answer, staged: Option<u64>) -> Report {
    Report {
        serial: order.serial,
        answer: Some(answer),
        view: Some(view(staged)),
    }
}

/// A coordinator that abandoned a first change and began the next one, and the order to load the first map that one
/// rank has not answered.
fn second_change() -> (Coordinator, Order) {
    let mut coordinator = Coordinator::new(RANKS, 0, 100);
    for (rank, order) in coordinator.orders() {
        coordinator.record_report(rank, report(order, Answer::Done, None));
    }
    assert!(coordinator.begin_change(FIRST_MAP));
    let mut unanswered = None;
    for (rank, order) in coordinator.orders() {
        if rank == LATE_RANK {
            unanswered = Some(order);
        } else {
            coordinator.record_report(rank, report(order, Answer::Done, Some(FIRST_MAP)));
        }
    }
    coordinator.abandon_change();
    assert!(coordinator.begin_change(NEXT_MAP));
    for (rank, order) in coordinator.orders() {
        coordinator.record_report(rank, report(order, Answer::Done, Some(NEXT_MAP)));
    }
    (coordinator, unanswered.expect("one order is unanswered"))
}

fn is_ordered_to_load_next(coordinator: &mut Coordinator) -> bool {
    let stage = Act::Stage { number: NEXT_MAP };
    let orders = coordinator.orders();
    orders
        .iter()
        .any(|(rank, order)| *rank == LATE_RANK && order.act == stage)
}

#[test]
fn late_done() {
    let (mut coordinator, unanswered) = second_change();
    coordinator.record_report(LATE_RANK, report(unanswered, Answer::Done, Some(FIRST_MAP)));
    assert!(
        is_ordered_to_load_next(&mut coordinator),
        "the rank was not ordered to load the next map"
    );
}

#[test]
fn late_refusal() {
    let (mut coordinator, unanswered) = second_change();
    coordinator.record_report(LATE_RANK, report(unanswered, Answer::Refused, None));
    assert_eq!(coordinator.progress(), Progress::Staging);
    assert!(is_ordered_to_load_next(&mut coordinator));
}
