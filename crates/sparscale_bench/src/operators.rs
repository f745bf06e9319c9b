//! Two operators that sign the records of a rollout: one publishes and rolls, the other approves.

use sparscale_bundle::sign::{self, Action, Signature, Statement};
use sparscale_bundle::{Bundle, Delta, Hash, Operator};
use sparscale_journal::{Approve, BundleContent, Publish, RecordBody, Roll};

/// Names of the operators; the first one publishes and rolls, the second one approves.
const OPERATOR_NAMES: [&str; 2] = ["alice", "bob"];

/// The two operators, by their hex-encoded secret keys.
pub(crate) struct Operators {
    secret_keys: [String; 2],
}

impl Operators {
    /// Creates operators with fixed keys.
    pub(crate) fn new() -> Self {
        Self {
            secret_keys: [format!("{:064x}", 1), format!("{:064x}", 2)],
        }
    }

    /// Returns the operators as a bundle lists them, with their public keys.
    pub(crate) fn public_operators(&self) -> Vec<Operator> {
        let keys = self
            .secret_keys
            .iter()
            .filter_map(|secret_key| sign::parse_secret_key(secret_key));
        let operators = keys.zip(OPERATOR_NAMES).map(|(key, name)| Operator {
            name: name.to_owned(),
            key: sign::encode_public_key(&key),
        });
        operators.collect()
    }

    /// Returns the three records that make `bundle` active: publish, approve and roll.
    pub(crate) fn rollout_records(&self, base: Option<&Bundle>, bundle: &Bundle) -> Vec<RecordBody> {
        let base_version = base.map_or(0, Bundle::version);
        let (version, hash) = (bundle.version(), bundle.hash());
        vec![
            self.publish_record(base, bundle),
            RecordBody::Approve(Approve {
                author: OPERATOR_NAMES[1].to_owned(),
                version,
                base: base_version,
                hash,
                signature: self.sign(1, Action::Approve, version, base_version, hash),
            }),
            RecordBody::Roll(Roll {
                author: OPERATOR_NAMES[0].to_owned(),
                version,
                base: base_version,
                hash,
                signature: self.sign(0, Action::Roll, version, base_version, hash),
            }),
        ]
    }

    /// Returns the publish record of `bundle`: as a delta from `base`, or whole if there is no base.
    pub(crate) fn publish_record(&self, base: Option<&Bundle>, bundle: &Bundle) -> RecordBody {
        let base_version = base.map_or(0, Bundle::version);
        let content = match base {
            Some(base) => BundleContent::Delta(Delta::between(base, bundle)),
            None => BundleContent::Whole(bundle.clone()),
        };
        self.publish_record_with(base_version, bundle, content)
    }

    /// Returns the publish record of `bundle` on version `base`, with the given content.
    pub(crate) fn publish_record_with(&self, base: u64, bundle: &Bundle, content: BundleContent) -> RecordBody {
        let (version, hash) = (bundle.version(), bundle.hash());
        RecordBody::Publish(Box::new(Publish {
            author: OPERATOR_NAMES[0].to_owned(),
            version,
            base,
            hash,
            content,
            signature: self.sign(0, Action::Publish, version, base, hash),
        }))
    }

    fn sign(&self, operator_index: usize, act: Action, version: u64, base: u64, hash: Hash) -> Signature {
        let statement = Statement {
            action: act,
            author: OPERATOR_NAMES[operator_index].to_owned(),
            version,
            base,
            hash,
        };
        // The fixed keys always parse. If one did not, the record signed with a new key would be rejected.
        let key = sign::parse_secret_key(&self.secret_keys[operator_index]).unwrap_or_else(sign::generate_key);
        sign::sign(&statement, &key)
    }
}
