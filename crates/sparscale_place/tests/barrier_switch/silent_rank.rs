//! A rank that says nothing holds nobody up: no hold is begun while one is silent.
//!
//! Two boxes of 129 stood still after their ranks had loaded the next map. The change went on to the hold, could not be armed
//! there, and could not be taken back either before the boxes spoke again: the group stood still for 3.4 s.

use sparscale_place::barrier::{Act, Answer, Conductor, Progress, Report, View};

const RANKS: usize = 3;
const NUMBER: u64 = 7;

/// A rank that runs, with the map of this number loaded, if any.
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

/// Answers all orders that are on their way.
fn answer(conductor: &mut Conductor, staged: Option<u64>) {
    for (rank, order) in conductor.orders() {
        let report = Report {
            serial: order.serial,
            answer: Some(Answer::Done),
            view: Some(view(staged)),
        };
        conductor.report(rank, report);
    }
}

#[test]
fn no_hold() {
    let mut conductor = Conductor::new(RANKS, 0, 100);
    answer(&mut conductor, None);
    assert_eq!(conductor.progress(), Progress::Idle);
    assert!(conductor.begin(NUMBER));
    conductor.set_silent(true);
    answer(&mut conductor, Some(NUMBER));
    assert_eq!(
        conductor.progress(),
        Progress::Staging,
        "all have loaded, one says nothing"
    );
    assert!(conductor.orders().is_empty());
    conductor.set_silent(false);
    assert_eq!(conductor.progress(), Progress::Holding);
    let holds = conductor.orders();
    assert!(matches!(holds.as_slice(), [(0, order)] if matches!(order.act, Act::Hold { .. })));
    // What is under way goes on: taking it back would hold the group for as long.
    conductor.set_silent(true);
    assert_eq!(conductor.progress(), Progress::Holding);
}
