//! Numbers of claims on a list that comes back from older copies: none twice, and later ones higher.
//!
//! A claim's offset alone was its number, and fences follow from it. A restored list gives offsets out again: two conductors
//! could hold the very same fence, the one of before the restore and one after it.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sparscale_conduct::{claim_number, claim_place};
use sparscale_history::Place;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// Somebody claims at the end of the list.
    Claim,
    /// The list comes back without its last claims.
    Restore { lost: u64 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 => Self::Restore {
                lost: u64::from(u8::arbitrary(g) % 8),
            },
            _ => Self::Claim,
        }
    }
}

quickcheck! {
    /// Each claim that is won has a higher number than all before it, so that engines obey it and no other.
    fn always_higher(events: Vec<Event>) -> bool {
        let mut end = Place::default();
        let mut highest = None;
        events.into_iter().all(|event| match event {
            Event::Restore { lost } => {
                end = Place::new(end.era + 1, end.offset.saturating_sub(lost));
                true
            }
            Event::Claim => {
                let number = claim_number(end);
                let higher = number > highest;
                highest = number;
                end = end.next();
                higher
            }
        })
    }

    /// A number tells its place, and the next claim's number is the next one.
    fn there_and_back(era: u16, offset: u32) -> bool {
        let place = Place::new(u64::from(era) % (1 << 14), u64::from(offset) % ((1 << 18) - 1));
        let Some(number) = claim_number(place) else { return false };
        claim_place(number) == place && claim_number(place.next()) == Some(number + 1)
    }
}

/// Beyond what numbers can tell nobody leads: two with one fence would be worse.
#[test]
fn none_beyond() {
    assert_eq!(claim_number(Place::new(0, 1 << 18)), None);
    assert_eq!(claim_number(Place::new(1 << 14, 0)), None);
    let last = claim_number(Place::new((1 << 14) - 1, (1 << 18) - 1)).expect("a number");
    // A claim has 2^20 fences; all stay within what a 64 bit float holds exactly.
    assert!((last + 1) << 20 <= 1 << 53);
}
