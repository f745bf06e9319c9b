//! An answer to an order of a change that was given up says nothing about the change that followed.
//!
//! Boxes that stood still answer, as they wake, the order to load the map before. If that counted for the next one, a refusal
//! would end it, and a rank that has answered would never be told to load it, and be waited for in vain.

use sparscale_place::barrier::{Act, Answer, Conductor, Order, Progress, Report};

use crate::silent_rank::view;

const RANKS: usize = 3;
/// The rank that answers late.
const LATE: usize = 2;
const FIRST: u64 = 7;
const NEXT: u64 = 8;

fn report(order: Order, answer: Answer, staged: Option<u64>) -> Report {
    Report {
        serial: order.serial,
        answer: Some(answer),
        view: Some(view(staged)),
    }
}

/// A conductor that gave a first change up and began the next one, and the order to load the first map that one rank has not
/// answered.
fn begun_anew() -> (Conductor, Order) {
    let mut conductor = Conductor::new(RANKS, 0, 100);
    for (rank, order) in conductor.orders() {
        conductor.report(rank, report(order, Answer::Done, None));
    }
    assert!(conductor.begin(FIRST));
    let mut unanswered = None;
    for (rank, order) in conductor.orders() {
        if rank == LATE {
            unanswered = Some(order);
        } else {
            conductor.report(rank, report(order, Answer::Done, Some(FIRST)));
        }
    }
    conductor.abandon();
    assert!(conductor.begin(NEXT));
    for (rank, order) in conductor.orders() {
        conductor.report(rank, report(order, Answer::Done, Some(NEXT)));
    }
    (conductor, unanswered.expect("one order was not answered"))
}

fn is_told_next(conductor: &mut Conductor) -> bool {
    let told = Act::Stage { number: NEXT };
    let orders = conductor.orders();
    orders.iter().any(|(rank, order)| *rank == LATE && order.act == told)
}

#[test]
fn done_before() {
    let (mut conductor, unanswered) = begun_anew();
    conductor.report(LATE, report(unanswered, Answer::Done, Some(FIRST)));
    assert!(
        is_told_next(&mut conductor),
        "it has not been told to load the next map"
    );
}

#[test]
fn refused_before() {
    let (mut conductor, unanswered) = begun_anew();
    conductor.report(LATE, report(unanswered, Answer::Refused, None));
    assert_eq!(conductor.progress(), Progress::Staging);
    assert!(is_told_next(&mut conductor));
}
