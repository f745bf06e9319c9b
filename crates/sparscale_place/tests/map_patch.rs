//! A patch turns the map that it was made for into exactly the intended map, and never turns another map into a wrong
//! one.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::{Layer, Map, Patch, Shape};

const SHAPE: Shape = Shape {
    ranks: 5,
    layers: 3,
    experts: 16,
    slots: 6,
};

#[derive(Debug, Clone)]
struct AnyMap(Map);

impl Arbitrary for AnyMap {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut rank = || {
            let expert_bits: u16 = Arbitrary::arbitrary(g);
            (0..SHAPE.experts as u16)
                .filter(|expert| expert_bits >> expert & 1 == 1)
                .collect()
        };
        let mut layer = || Layer {
            ranks: (0..SHAPE.ranks).map(|_| rank()).collect(),
        };
        Self(Map {
            layers: (0..SHAPE.layers).map(|_| layer()).collect(),
        })
    }
}

fn check_property(property: fn(AnyMap, AnyMap, AnyMap) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 1))
        .tests(300)
        .quickcheck(property as fn(AnyMap, AnyMap, AnyMap) -> bool);
}

#[test]
fn yields_new_map() {
    check_property(|AnyMap(old), AnyMap(new), _| Patch::between(&old, &new).apply(&old) == Ok(new));
}

#[test]
fn other_base_yields_no_wrong_map() {
    check_property(|AnyMap(old), AnyMap(new), AnyMap(other)| {
        let applied = Patch::between(&old, &new).apply(&other);
        applied.is_err() || applied == Ok(new)
    });
}

#[test]
fn small_change() {
    let old = Map::initial(SHAPE);
    let mut new = old.clone();
    new.layers[1].ranks[2].push(1);
    new.sort();
    let patch = Patch::between(&old, &new);
    assert_eq!(patch.apply(&old), Ok(new));
    assert_eq!(patch.edit_count(), 1);
}

/// A change of a large group with two loads on each rank fits into one packet.
#[test]
fn large_change_fits_one_packet() {
    const PACKET_BYTES: usize = 1_100;
    let shape = Shape {
        ranks: 129,
        layers: 16,
        experts: 258,
        slots: 3,
    };
    let old = Map::initial(shape);
    let mut new = old.clone();
    for rank in 0..shape.ranks {
        for load in 0..2 {
            let experts = &mut new.layers[(rank + load * 7) % shape.layers].ranks[rank];
            experts[0] = (experts[0] + 100 + load as u16) % 258;
        }
    }
    new.sort();
    let patch = Patch::between(&old, &new);
    assert_eq!(patch.apply(&old), Ok(new));
    assert!(patch.size_bytes() < PACKET_BYTES, "{} bytes", patch.size_bytes());
}
