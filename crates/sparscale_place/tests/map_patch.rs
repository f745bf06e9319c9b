//! A patch turns exactly the map that it was made for into exactly the map that is meant.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::{Layer, Map, Patch, Shape};

const SHAPE: Shape = Shape {
    ranks: 5,
    layers: 3,
    experts: 16,
    slots: 6,
};

#[derive(Debug, Clone)]
struct Any(Map);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut rank = || {
            let held: u16 = Arbitrary::arbitrary(g);
            (0..SHAPE.experts as u16)
                .filter(|expert| held >> expert & 1 == 1)
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

fn check(holds: fn(Any, Any, Any) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 1))
        .tests(300)
        .quickcheck(holds as fn(Any, Any, Any) -> bool);
}

#[test]
fn makes_next() {
    check(|Any(old), Any(new), _| Patch::between(&old, &new).apply(&old) == Ok(new));
}

#[test]
fn other_base() {
    check(|Any(old), Any(new), Any(other)| {
        let made = Patch::between(&old, &new).apply(&other);
        made.is_err() || made == Ok(new)
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
    assert_eq!(patch.places(), 1);
}

/// A change of a large group, two loads on each rank, goes to each of them in one packet.
#[test]
fn one_packet() {
    const PACKET: usize = 1_100;
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
            let held = &mut new.layers[(rank + load * 7) % shape.layers].ranks[rank];
            held[0] = (held[0] + 100 + load as u16) % 258;
        }
    }
    new.sort();
    let patch = Patch::between(&old, &new);
    assert_eq!(patch.apply(&old), Ok(new));
    assert!(patch.bytes() < PACKET, "{} bytes", patch.bytes());
}
