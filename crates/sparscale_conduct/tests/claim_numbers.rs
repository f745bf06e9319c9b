//! Claim numbers stay unique and increasing when the list of claims is restored from older snapshots.
//!
//! Fences are derived from claim numbers. A number made of the offset alone repeats after a restore, which reuses
//! offsets: two leaders, one from before the restore and one from after it, could then use the same fence.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sparscale_conduct::{claim_number, claim_position};
use sparscale_history::Position;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An agent claims at the end of the list.
    Claim,
    /// The list is restored from a snapshot without its last claims.
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
    /// Each won claim has a higher number than all before it, so engines obey only the latest one.
    fn numbers_increase(events: Vec<Event>) -> bool {
        let mut end = Position::default();
        let mut highest = None;
        events.into_iter().all(|event| match event {
            Event::Restore { lost } => {
                end = Position::new(end.era + 1, end.offset.saturating_sub(lost));
                true
            }
            Event::Claim => {
                let number = claim_number(end);
                let is_higher = number > highest;
                highest = number;
                end = end.next();
                is_higher
            }
        })
    }

    /// A number converts back to its position, and the next claim's number is one higher.
    fn round_trip(era: u16, offset: u32) -> bool {
        let position = Position::new(u64::from(era) % (1 << 14), u64::from(offset) % ((1 << 18) - 1));
        let Some(number) = claim_number(position) else { return false };
        claim_position(number) == position && claim_number(position.next()) == Some(number + 1)
    }
}

/// No claim gets a number outside of the range: two leaders with the same fence would be worse than none.
#[test]
fn none_out_of_range() {
    assert_eq!(claim_number(Position::new(0, 1 << 18)), None);
    assert_eq!(claim_number(Position::new(1 << 14, 0)), None);
    let last = claim_number(Position::new((1 << 14) - 1, (1 << 18) - 1)).expect("a number");
    // Each claim has 2^20 fences; all stay within the integers that a 64-bit float represents exactly.
    assert!((last + 1) << 20 <= 1 << 53);
}
