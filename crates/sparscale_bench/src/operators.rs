//! Two operators who publish, approve and roll.

use sparscale_bundle::sign::{self, Act, Signature, Statement};
use sparscale_bundle::{Bundle, Delta, Hash, Operator};
use sparscale_journal::{Approve, Body, Content, Publish, Roll};

/// Names of the operators, the publisher first.
const NAMES: [&str; 2] = ["alice", "bob"];

/// Secret keys of the two operators, as text.
pub(crate) struct Operators {
    secrets: [String; 2],
}

impl Operators {
    /// Operators with fixed keys.
    pub(crate) fn new() -> Self {
        Self {
            secrets: [format!("{:064x}", 1), format!("{:064x}", 2)],
        }
    }

    pub(crate) fn public(&self) -> Vec<Operator> {
        let keys = self.secrets.iter().filter_map(|secret| sign::secret_key(secret));
        let listed = keys.zip(NAMES).map(|(key, name)| Operator {
            name: name.to_owned(),
            key: sign::public_text(&key),
        });
        listed.collect()
    }

    /// The three records that put `bundle` in force.
    pub(crate) fn rollout(&self, base: Option<&Bundle>, bundle: &Bundle) -> Vec<Body> {
        let base_version = base.map_or(0, Bundle::version);
        let (version, hash) = (bundle.version(), bundle.hash());
        vec![
            self.publish(base, bundle),
            Body::Approve(Approve {
                author: NAMES[1].to_owned(),
                version,
                base: base_version,
                hash,
                signature: self.sign(1, Act::Approve, version, base_version, hash),
            }),
            Body::Roll(Roll {
                author: NAMES[0].to_owned(),
                version,
                base: base_version,
                hash,
                signature: self.sign(0, Act::Roll, version, base_version, hash),
            }),
        ]
    }

    /// The publish record of `bundle`: a delta of `base`, or the whole where there is none.
    pub(crate) fn publish(&self, base: Option<&Bundle>, bundle: &Bundle) -> Body {
        let base_version = base.map_or(0, Bundle::version);
        let content = match base {
            Some(base) => Content::Delta(Delta::between(base, bundle)),
            None => Content::Whole(bundle.clone()),
        };
        self.publish_content(base_version, bundle, content)
    }

    /// The publish record of `bundle` on `base`, with this content.
    pub(crate) fn publish_content(&self, base: u64, bundle: &Bundle, content: Content) -> Body {
        let (version, hash) = (bundle.version(), bundle.hash());
        Body::Publish(Box::new(Publish {
            author: NAMES[0].to_owned(),
            version,
            base,
            hash,
            content,
            signature: self.sign(0, Act::Publish, version, base, hash),
        }))
    }

    fn sign(&self, who: usize, act: Act, version: u64, base: u64, hash: Hash) -> Signature {
        let statement = Statement {
            act,
            author: NAMES[who].to_owned(),
            version,
            base,
            hash,
        };
        // The fixed secrets are keys; a new key would only make the record be refused.
        let key = sign::secret_key(&self.secrets[who]).unwrap_or_else(sign::new_key);
        sign::sign(&statement, &key)
    }
}
