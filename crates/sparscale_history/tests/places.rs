//! Places of a later era come later, whatever their offsets.

use quickcheck::quickcheck;
use sparscale_history::Place;

#[test]
fn era_first() {
    assert!(Place::new(2, 3) > Place::new(1, 900));
    assert!(Place::new(1, 4) > Place::new(1, 3));
    assert_eq!(Place::new(1, 3).next(), Place::new(1, 4));
    assert_eq!(Place::new(1, 3).to_string(), "1:3");
}

quickcheck! {
    /// Nothing stands between a place and the next one.
    fn next_is_next(era: u32, offset: u32, other_era: u32, other_offset: u32) -> bool {
        let place = Place::new(era.into(), offset.into());
        let other = Place::new(other_era.into(), other_offset.into());
        other <= place || other >= place.next()
    }
}
