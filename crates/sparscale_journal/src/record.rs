//! Records of the log and their encoding.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt as _, Snafu, ensure};
use sparscale_bundle::{Bundle, Delta, Hash, sign};
use sparscale_place::Map;
use sparscale_quarantine::Strike;

/// First byte of every encoded record.
const FORMAT: u8 = 1;
/// Length of the checksum that ends every encoded record.
const CHECKSUM_LEN: usize = 8;

/// Unique id of a record; the fold counts each id once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id([u8; 16]);

impl Id {
    /// A new random id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// The id with these bytes, for tests and for records whose id follows from their content.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Id({})", hex::encode(&self.0[..4]))
    }
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id.
    pub id: Id,
    /// What is said.
    pub body: Body,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// An operator offers a new bundle version.
    Publish(Box<Publish>),
    /// Another operator agrees to it.
    Approve(Approve),
    /// An operator puts it in force.
    Roll(Roll),
    /// A process takes a duty.
    Claim(Claim),
    /// The holder of a group's placer duty changes the group's expert map.
    Map(MapChange),
    /// A caller's idempotency key is bound to one agent incarnation.
    Bind(Binding),
    /// The folded state, appended again before the records behind it expire.
    Snapshot(Snapshot),
    /// A target ended under a request.
    Strike(Strike),
}

/// Offer of a bundle version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publish {
    /// Operator who signs.
    pub author: String,
    /// New version.
    pub version: u64,
    /// Version in force that it replaces; 0 for the first bundle.
    pub base: u64,
    /// Hash of the resulting bundle.
    pub hash: Hash,
    /// The bundle, whole or as changes of the base.
    pub content: Content,
    /// Signature over the statement of this record.
    pub signature: sign::Signature,
}

/// Content of a publish record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The whole bundle.
    Whole(Bundle),
    /// Changes of the base.
    Delta(Delta),
}

/// Approval of a published version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approve {
    /// Operator who signs; never the publisher.
    pub author: String,
    /// Version that is approved.
    pub version: u64,
    /// Version that it replaces.
    pub base: u64,
    /// Hash that the operator has seen and approves.
    pub hash: Hash,
    /// Signature over the statement of this record.
    pub signature: sign::Signature,
}

/// Order to put an approved version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// Operator who signs.
    pub author: String,
    /// Version that comes in force.
    pub version: u64,
    /// Version that it replaces.
    pub base: u64,
    /// Hash of the version.
    pub hash: Hash,
    /// Signature over the statement of this record.
    pub signature: sign::Signature,
}

/// A duty that one process at a time has.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Decides the expert map of the group with this name.
    Placer(String),
}

/// Claim of a duty; the offset of the first valid one is the holder's fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Duty that is taken.
    pub duty: Duty,
    /// Name of the claiming process.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Fence of the holder that it takes over from; 0 for none. Of two claims over one holder the first wins.
    pub over: u64,
}

/// Change of a group's expert map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapChange {
    /// Name of the group.
    pub group: String,
    /// Fence under which the placer acts.
    pub fence: u64,
    /// Number of the map that it replaces; 0 for the initial map.
    pub base: u64,
    /// The new map.
    pub map: Map,
}

/// Digest of workspace and caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BindingKey([u8; 16]);

impl BindingKey {
    /// The key of `idempotency_key` as sent by a caller of `workspace`.
    pub fn new(workspace: &str, idempotency_key: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update((workspace.len() as u64).to_be_bytes());
        digest.update(workspace.as_bytes());
        digest.update(idempotency_key.as_bytes());
        let full: [u8; 32] = digest.finalize().into();
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }

    /// The raw digest.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

/// Binding of an idempotency key; the first record for a key wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Key that is bound.
    pub key: BindingKey,
    /// Target whose agent keeps the outcome.
    pub target: String,
    /// Incarnation of that agent; no other incarnation may run the request.
    pub incarnation: u64,
    /// SHA-256 of the request's body, so that one key is not used for two requests.
    pub body: [u8; 32],
}

/// A copy of the folded state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that the image does not contain.
    pub at: u64,
    /// Chain digest at that offset, to be compared with the reader's own.
    pub chain: [u8; 32],
    /// Encoded image; empty when a peer relays the record to a reader that has the state already.
    pub image: Vec<u8>,
}

/// Bytes that are no record.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// Shorter than any record.
    #[snafu(display("{len} bytes are too few for a record"))]
    Short {
        /// Bytes found.
        len: usize,
    },
    /// Written by a later format.
    #[snafu(display("format {format} is not known; roll out a release that knows it"))]
    Format {
        /// Format byte found.
        format: u8,
    },
    /// The checksum does not fit.
    #[snafu(display("the checksum does not fit; the record was damaged on its way"))]
    Checksum,
    /// The content cannot be decoded.
    #[snafu(display("content cannot be decoded: {source}"))]
    Content {
        /// What the decoder said.
        source: postcard::Error,
    },
}

impl Record {
    /// A record with a new id.
    pub fn new(body: Body) -> Self {
        Self { id: Id::random(), body }
    }

    /// Encodes the record: format byte, `postcard` content, checksum.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising plain data into memory has no way to fail; an empty content is refused by every reader.
        let content = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(1 + content.len() + CHECKSUM_LEN);
        bytes.push(FORMAT);
        bytes.extend_from_slice(&content);
        let checksum = Sha256::digest(&bytes);
        bytes.extend_from_slice(&checksum[..CHECKSUM_LEN]);
        bytes
    }

    /// Decodes what [`Record::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        ensure!(bytes.len() > 1 + CHECKSUM_LEN, ShortSnafu { len: bytes.len() });
        let (signed, checksum) = bytes.split_at(bytes.len() - CHECKSUM_LEN);
        ensure!(Sha256::digest(signed)[..CHECKSUM_LEN] == *checksum, ChecksumSnafu);
        ensure!(signed[0] == FORMAT, FormatSnafu { format: signed[0] });
        postcard::from_bytes(&signed[1..]).context(ContentSnafu)
    }
}

impl Publish {
    /// What the author signs.
    pub fn statement(&self) -> sign::Statement {
        statement(sign::Act::Publish, &self.author, self.version, self.base, self.hash)
    }
}

impl Approve {
    /// What the author signs.
    pub fn statement(&self) -> sign::Statement {
        statement(sign::Act::Approve, &self.author, self.version, self.base, self.hash)
    }
}

impl Roll {
    /// What the author signs.
    pub fn statement(&self) -> sign::Statement {
        statement(sign::Act::Roll, &self.author, self.version, self.base, self.hash)
    }
}

fn statement(act: sign::Act, author: &str, version: u64, base: u64, hash: Hash) -> sign::Statement {
    sign::Statement {
        act,
        author: author.to_owned(),
        version,
        base,
        hash,
    }
}
