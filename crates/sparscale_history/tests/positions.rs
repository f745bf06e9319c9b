//! Positions are ordered by era first: a later era is later whatever its offset.

use quickcheck::quickcheck;
use sparscale_history::Place;

#[test]
fn era_orders_before_offset() {
    assert!(Place::new(2, 3) > Place::new(1, 900));
    assert!(Place::new(1, 4) > Place::new(1, 3));
    assert_eq!(Place::new(1, 3).next(), Place::new(1, 4));
    assert_eq!(Place::new(1, 3).to_string(), "1:3");
}

quickcheck! {
    /// No other position lies between a position and its successor.
    fn next_is_immediate_successor(era: u32, offset: u32, other_era: u32, other_offset: u32) -> bool {
        let position = Place::new(era.into(), offset.into());
        let other = Place::new(other_era.into(), other_offset.into());
        other <= position || other >= position.next()
    }
}
