//! A claim list that is restored from an older snapshot must not give two coordinators the same fence.

use quickcheck::{Arbitrary as _, Gen};

use crate::{Action, ClaimNumbering, Walk, World};

/// Number of random walks.
const WALK_COUNT: u64 = 4_000;

/// Runs a walk in which the list is restored and claimed again more often than by chance. Returns whether two
/// coordinators had the same fence at the same time, and whether a step began on two maps.
fn run_walk(numbering: ClaimNumbering, seed: u64) -> (bool, bool) {
    let mut world = World::with_numbering(numbering);
    let mut any_shared_fence = false;
    let walk = Walk::arbitrary(&mut Gen::from_size_and_seed(100, seed));
    for (index, action) in walk.0.into_iter().enumerate() {
        if index % 40 == 20 {
            world.act(Action::RestoreClaims);
            world.act(Action::Claim(index / 40 % 2));
        }
        world.act(action);
        let fences = world.coordinators.iter().flatten().map(|(claim, _)| *claim);
        let fences: Vec<u64> = fences.collect();
        any_shared_fence |= fences.len() == 2 && fences[0] == fences[1];
    }
    (any_shared_fence, world.group.has_mixed_maps)
}

#[test]
fn no_shared_fence() {
    for seed in 0..WALK_COUNT {
        assert_eq!(
            run_walk(ClaimNumbering::ByPosition, seed),
            (false, false),
            "seed {seed}"
        );
    }
}

/// Numbering by offset alone gives two coordinators the same fence, so the walks above can detect that.
#[test]
fn offsets_share_fences() {
    assert!((0..WALK_COUNT).any(|seed| run_walk(ClaimNumbering::ByOffset, seed).0));
}
