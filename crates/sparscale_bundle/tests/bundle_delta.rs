//! A delta produces the same bundle as the complete text, and invalid bundles are rejected with every problem listed.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_bundle::{
    Bundle, Delta, Document, Fleet, Hall, KeyHash, Limits, Operator, Placement, Tier, Workspace, sign,
};

fn document(version: u64, workspaces: Vec<Workspace>) -> Document {
    let operator = |name: &str| Operator {
        name: name.to_owned(),
        key: sign::encode_public_key(&sign::generate_key()),
    };
    Document {
        version,
        fleet: Fleet {
            operators: vec![operator("alice"), operator("bob")],
            halls: vec![Hall {
                name: "derby".to_owned(),
                region: "midlands".to_owned(),
            }],
            tiers: vec![
                Tier {
                    name: "gold".to_owned(),
                },
                Tier {
                    name: "silver".to_owned(),
                },
            ],
            models: Vec::new(),
            services: Vec::new(),
            groups: Vec::new(),
            targets: Vec::new(),
            placement: Placement {
                weight_skew: 1.0,
                weight_move: 1.0,
                move_budget: 1,
                quiet_hours: Vec::new(),
                half_life_seconds: 1.0,
                weight_store_bytes_per_second: 1.0,
            },
            limits: Limits {
                in_flight_per_target: 1,
                queue_per_target: 1,
                floor_one_in: 2,
                deadline_ms: 1,
                retry_percent: 1,
                candidates: 1,
            },
        },
        workspaces,
    }
}

fn workspace(name: u8, weight: u8, key: u8) -> Workspace {
    Workspace {
        name: format!("workspace-{name}"),
        tier: if weight.is_multiple_of(2) { "gold" } else { "silver" }.to_owned(),
        weight: u32::from(weight) + 1,
        key_hashes: vec![KeyHash::of(&format!("key-{key}"))],
        in_flight: 1,
    }
}

#[derive(Clone, Debug)]
struct TwoVersions(Vec<Workspace>, Vec<Workspace>);

fn workspaces(g: &mut Gen) -> Vec<Workspace> {
    let mut generated: Vec<Workspace> = Vec::new();
    for name in 0..20 {
        if bool::arbitrary(g) {
            // A key may move from one workspace to another between versions.
            let key = if bool::arbitrary(g) {
                name
            } else {
                name + 20 + u8::arbitrary(g) % 4 * 20
            };
            generated.push(workspace(name, u8::arbitrary(g) % 4, key));
        }
    }
    generated
}

impl Arbitrary for TwoVersions {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(workspaces(g), workspaces(g))
    }
}

#[test]
fn delta_equals_complete_bundle() {
    fn is_equal(versions: TwoVersions) -> bool {
        let first = document(1, versions.0);
        let second = Document {
            version: 2,
            workspaces: versions.1,
            ..first.clone()
        };
        let old = Bundle::try_from(first).expect("valid");
        let new = Bundle::try_from(second).expect("valid");
        let applied = Delta::between(&old, &new).apply(&old, 2).expect("applies");
        let same_keys = (0..120).all(|key| {
            let key = format!("key-{key}");
            applied.authenticate(&key).map(|workspace| workspace.name.clone())
                == new.authenticate(&key).map(|workspace| workspace.name.clone())
        });
        applied.hash() == new.hash() && applied.to_document() == new.to_document() && same_keys
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 41))
        .tests(500)
        .quickcheck(is_equal as fn(TwoVersions) -> bool);
}

#[test]
fn every_problem_is_listed() {
    let mut invalid = document(0, vec![workspace(1, 0, 1), workspace(2, 0, 1)]);
    invalid.workspaces[1].tier = "bronze".to_owned();
    invalid.fleet.limits.floor_one_in = 1;
    let error = Bundle::try_from(invalid).expect_err("four problems");
    let text = error.to_string();
    for expected in [
        "version: is 0",
        "unknown tier: bronze",
        "a key hash is listed twice",
        "floor_one_in",
    ] {
        assert!(text.contains(expected), "{expected} is missing in:\n{text}");
    }
}

#[test]
fn shared_key_is_rejected() {
    let old = Bundle::try_from(document(1, vec![workspace(1, 0, 1)])).expect("valid");
    let delta = Delta {
        changes: vec![sparscale_bundle::Change::PutWorkspace(workspace(2, 0, 1))],
    };
    assert!(
        delta.apply(&old, 2).is_err(),
        "one key must not belong to two workspaces"
    );
}
