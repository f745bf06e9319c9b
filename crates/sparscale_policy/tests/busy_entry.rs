//! Tests how much of a group's free places one entry claims when its callers need more than an equal share.

use sparscale_policy::claim::Claim;

const CAPACITY: f64 = 72.0;
const ENTRIES: f64 = 16.0;

/// Updates `claim` with `reports` reports of a half-empty group, before each of which a request found no place.
fn run_short(claim: &mut Claim, reports: usize) {
    for _ in 0..reports {
        claim.record_shortage();
        claim.update(CAPACITY, CAPACITY / 2.0, ENTRIES);
    }
}

/// The places of others stay free while this entry lacks some: within a few reports it may fill all of them.
#[test]
fn unused_places_claimed() {
    let mut claim = Claim::default();
    assert!((claim.share(ENTRIES) - 1.0 / ENTRIES).abs() < f64::EPSILON);
    run_short(&mut claim, 4);
    assert!((claim.share(ENTRIES) - 1.0).abs() < f64::EPSILON);
    run_short(&mut claim, 1);
    assert!(claim.share(ENTRIES) <= 1.0, "no more than there are");
}

/// Scarce places are divided equally at once, as several entries may claim them.
#[test]
fn scarce_places_divided() {
    let mut claim = Claim::default();
    run_short(&mut claim, 4);
    claim.record_shortage();
    claim.update(CAPACITY, CAPACITY * 0.8, ENTRIES);
    assert!((claim.share(ENTRIES) - 1.0 / ENTRIES).abs() < f64::EPSILON);
}

/// An entry whose callers went elsewhere gives the places back.
#[test]
fn claim_decays() {
    let mut claim = Claim::default();
    run_short(&mut claim, 4);
    for _ in 0..40 {
        claim.update(CAPACITY, CAPACITY / 2.0, ENTRIES);
    }
    assert!((claim.share(ENTRIES) - 1.0 / ENTRIES).abs() < f64::EPSILON);
}
