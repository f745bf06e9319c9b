//! Fixtures for the tests: operators, bundles and records.

use sparscale_bundle::sign::{self, Action, Statement};
use sparscale_bundle::{
    Bundle, Delta, Document, Fleet, Group, Hall, Hash, KeyHash, Limits, Model, Operator, Placement, Target, Tier,
    Workspace,
};
use sparscale_journal::{Approve, BundleContent, Publish, Record, RecordBody, RecordId, Roll};

/// An operator with a secret key.
pub struct Signer {
    pub name: String,
    secret: String,
}

/// Three operators with fixed keys.
pub fn signers() -> Vec<Signer> {
    let names = ["alice", "bob", "carol"].into_iter().enumerate();
    names
        .map(|(index, name)| Signer {
            name: name.to_owned(),
            secret: format!("{:064x}", index + 1),
        })
        .collect()
}

/// The public keys of [`signers`] as operators of a bundle.
pub fn operators() -> Vec<Operator> {
    let public = |signer: Signer| Operator {
        key: sign::encode_public_key(&sign::parse_secret_key(&signer.secret).expect("a key")),
        name: signer.name,
    };
    signers().into_iter().map(public).collect()
}

impl Signer {
    fn sign(&self, act: Action, version: u64, base: u64, hash: Hash) -> sign::Signature {
        let statement = Statement {
            action: act,
            author: self.name.clone(),
            version,
            base,
            hash,
        };
        sign::sign(&statement, &sign::parse_secret_key(&self.secret).expect("a key"))
    }

    pub fn publish(&self, base: Option<&Bundle>, bundle: &Bundle) -> RecordBody {
        let base_version = base.map_or(0, Bundle::version);
        let content = match base {
            Some(base) => BundleContent::Delta(Delta::between(base, bundle)),
            None => BundleContent::Whole(bundle.clone()),
        };
        RecordBody::Publish(Box::new(Publish {
            author: self.name.clone(),
            version: bundle.version(),
            base: base_version,
            hash: bundle.hash(),
            content,
            signature: self.sign(Action::Publish, bundle.version(), base_version, bundle.hash()),
        }))
    }

    pub fn approve(&self, base: u64, bundle: &Bundle) -> RecordBody {
        let (version, hash) = (bundle.version(), bundle.hash());
        RecordBody::Approve(Approve {
            author: self.name.clone(),
            version,
            base,
            hash,
            signature: self.sign(Action::Approve, version, base, hash),
        })
    }

    pub fn roll(&self, base: u64, bundle: &Bundle) -> RecordBody {
        let (version, hash) = (bundle.version(), bundle.hash());
        RecordBody::Roll(Roll {
            author: self.name.clone(),
            version,
            base,
            hash,
            signature: self.sign(Action::Roll, version, base, hash),
        })
    }
}

/// Encodes a record whose id is derived from `number`.
pub fn record(number: u64, body: RecordBody) -> Vec<u8> {
    let mut id = [0; 16];
    id[..8].copy_from_slice(&number.to_be_bytes());
    let id = RecordId::from_bytes(id);
    Record { id, body }.encode()
}

/// A valid bundle whose content depends on `variant`.
pub fn bundle(version: u64, variant: u32) -> Bundle {
    Bundle::try_from(document(version, variant)).expect("a valid bundle")
}

pub fn document(version: u64, variant: u32) -> Document {
    let workspace = |index: u32| Workspace {
        name: format!("workspace-{index}"),
        tier: "gold".to_owned(),
        weight: 1 + variant,
        key_hashes: vec![KeyHash::of(&format!("key-{index}"))],
        in_flight: 10,
    };
    Document {
        version,
        fleet: fleet(),
        workspaces: (0..3 + variant % 3).map(workspace).collect(),
    }
}

fn fleet() -> Fleet {
    let target = |index: u32| Target {
        name: format!("rank-{index}"),
        hall: "derby".to_owned(),
        checks_fence: true,
    };
    Fleet {
        operators: operators(),
        halls: vec![Hall {
            name: "derby".to_owned(),
            region: "midlands".to_owned(),
        }],
        tiers: vec![Tier {
            name: "gold".to_owned(),
        }],
        models: vec![Model {
            name: "lark".to_owned(),
            version: "1".to_owned(),
        }],
        services: Vec::new(),
        groups: vec![Group {
            name: "lark-a".to_owned(),
            model: "lark".to_owned(),
            ranks: vec!["rank-0".to_owned(), "rank-1".to_owned()],
            layers: 1,
            experts: 4,
            slots: 3,
            expert_bytes: 1,
        }],
        targets: (0..2).map(target).collect(),
        placement: Placement {
            weight_skew: 1.0,
            weight_move: 1.0,
            move_budget: 4,
            quiet_hours: Vec::new(),
            half_life_seconds: 60.0,
            weight_store_bytes_per_second: 1.0,
        },
        limits: Limits {
            in_flight_per_target: 1,
            queue_per_target: 1,
            floor_one_in: 2,
            deadline_ms: 1_000,
            retry_percent: 10,
            candidates: 8,
        },
    }
}
