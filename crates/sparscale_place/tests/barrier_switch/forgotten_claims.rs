//! A list of claims that comes back from an older copy: two conductors never have one fence.

use quickcheck::{Arbitrary as _, Gen};

use crate::{Action, Numbers, Walk, World};

/// Walks that are tried.
const WALKS: u64 = 4_000;

/// Plays a walk in which the list is restored and claimed anew more often than it would be; tells whether two conductors held
/// one fence at the same time, and whether a pass began on two maps.
fn play(numbers: Numbers, seed: u64) -> (bool, bool) {
    let mut world = World::numbered(numbers);
    let mut shared = false;
    let walk = Walk::arbitrary(&mut Gen::from_size_and_seed(100, seed));
    for (index, action) in walk.0.into_iter().enumerate() {
        if index % 40 == 20 {
            world.act(Action::Forget);
            world.act(Action::Claim(index / 40 % 2));
        }
        world.act(action);
        let fences = world.conductors.iter().flatten().map(|(claim, _)| *claim);
        let fences: Vec<u64> = fences.collect();
        shared |= fences.len() == 2 && fences[0] == fences[1];
    }
    (shared, world.group.mixed)
}

#[test]
fn no_shared_fence() {
    for seed in 0..WALKS {
        assert_eq!(play(Numbers::ByPlace, seed), (false, false), "seed {seed}");
    }
}

/// Numbers by offset alone give two conductors one fence: the walks above would show it.
#[test]
fn offsets_would_share() {
    assert!((0..WALKS).any(|seed| play(Numbers::ByOffset, seed).0));
}
