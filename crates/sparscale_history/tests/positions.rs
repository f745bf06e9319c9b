//! Positions are ordered by era first: a later era is later whatever its offset.

use quickcheck::quickcheck;
use sparscale_history::Position;

#[test]
fn era_orders_before_offset() {
    assert!(Position::new(2, 3) > Position::new(1, 900));
    assert!(Position::new(1, 4) > Position::new(1, 3));
    assert_eq!(Position::new(1, 3).next(), Position::new(1, 4));
    assert_eq!(Position::new(1, 3).to_string(), "1:3");
}

quickcheck! {
    /// No other position lies between a position and its successor.
    fn next_is_immediate_successor(era: u32, offset: u32, other_era: u32, other_offset: u32) -> bool {
        let position = Position::new(era.into(), offset.into());
        let other = Position::new(other_era.into(), other_offset.into());
        other <= position || other >= position.next()
    }
}
