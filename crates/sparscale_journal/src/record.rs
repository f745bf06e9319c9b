//! Records of the log and their encoding.
//!
//! The checksum in each encoded record lets a reader skip a record that was damaged in transit.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt as _, Snafu, ensure};
use sparscale_bundle::{Bundle, Delta, Hash, sign};
use sparscale_place::Map;
use sparscale_quarantine::Strike;

/// Format version, the first byte of every encoded record.
const FORMAT_VERSION: u8 = 1;
/// Length of the truncated SHA-256 that ends every encoded record.
const CHECKSUM_BYTES: usize = 8;

/// Unique id of a record; the fold applies each id at most once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId([u8; 16]);

impl RecordId {
    /// Generates a random id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Creates an id from `bytes`, for tests and for records whose id is derived from their content.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Id({})", hex::encode(&self.0[..4]))
    }
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id.
    pub id: RecordId,
    /// Content of the record.
    pub body: RecordBody,
}

/// Content of a record, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordBody {
    /// An operator publishes a new bundle version.
    Publish(Box<Publish>),
    /// Another operator approves the version.
    Approve(Approve),
    /// An operator activates an approved version.
    Roll(Roll),
    /// A process claims a duty.
    Claim(Claim),
    /// The holder of a group's placer duty changes the group's expert map.
    Map(MapChange),
    /// A caller's idempotency key is bound to one agent incarnation.
    Bind(Binding),
    /// The folded state, appended before the records that it covers expire.
    Snapshot(Snapshot),
    /// A target terminated while it processed a request.
    Strike(Strike),
}

/// Publication of a bundle version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publish {
    /// Operator who signs the record.
    pub author: String,
    /// Version that is published.
    pub version: u64,
    /// Active version that it replaces; 0 for the first bundle.
    pub base: u64,
    /// Hash of the resulting bundle.
    pub hash: Hash,
    /// The bundle, complete or as a delta to the base.
    pub content: BundleContent,
    /// Signature over [`Self::statement`].
    pub signature: sign::Signature,
}

/// Content of a publish record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BundleContent {
    /// The complete bundle.
    Whole(Bundle),
    /// Changes to the base.
    Delta(Delta),
}

/// Approval of a published version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approve {
    /// Operator who signs the record; must not be the publisher.
    pub author: String,
    /// Version that is approved.
    pub version: u64,
    /// Version that it replaces.
    pub base: u64,
    /// Hash of the content that the operator approves.
    pub hash: Hash,
    /// Signature over [`Self::statement`].
    pub signature: sign::Signature,
}

/// Activation of an approved version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// Operator who signs the record.
    pub author: String,
    /// Version that becomes active.
    pub version: u64,
    /// Version that it replaces.
    pub base: u64,
    /// Hash of the version's content.
    pub hash: Hash,
    /// Signature over [`Self::statement`].
    pub signature: sign::Signature,
}

/// A duty that at most one process holds at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Decides the expert map of the group with this name.
    Placer(String),
}

/// Claim of a duty; the holder's fence is the offset of its accepted claim, plus one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Duty that is claimed.
    pub duty: Duty,
    /// Name of the claiming process.
    pub node: String,
    /// Incarnation of that process.
    pub incarnation: u64,
    /// Fence of the holder that the claim replaces, 0 for none; of two claims with the same value the first wins.
    pub superseded_fence: u64,
}

/// Change of a group's expert map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapChange {
    /// Name of the group.
    pub group: String,
    /// Fence of the placer that makes the change.
    pub fence: u64,
    /// Number of the map that it replaces; 0 for the initial map.
    pub base: u64,
    /// The new map.
    pub map: Map,
}

/// Digest of a workspace and an idempotency key of one of its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BindingKey([u8; 16]);

impl BindingKey {
    /// Computes the binding key for `idempotency_key` as sent by a caller of `workspace`.
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

    /// Returns the raw digest.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

/// Binding of an idempotency key to one agent incarnation; the first record for a key wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Key that is bound.
    pub key: BindingKey,
    /// Target whose agent stores the outcome of the request.
    pub target: String,
    /// Incarnation of that agent; no other incarnation may run the request.
    pub incarnation: u64,
    /// SHA-256 of the request's body, to detect the use of one key for two different requests.
    pub body_hash: [u8; 32],
}

/// A copy of the folded state, from which a reader starts when older records have expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that the image does not contain.
    pub head: u64,
    /// Chain digest at that offset; readers compare it with their own.
    pub chain_digest: [u8; 32],
    /// Encoded image; empty when a peer relays the record to a reader that already has the state.
    pub image: Vec<u8>,
}

/// Bytes that cannot be decoded as a record.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The bytes are shorter than any record.
    #[snafu(display("record is too short: {len} bytes"))]
    Short {
        /// Number of bytes.
        len: usize,
    },
    /// The format version is unknown, probably from a later release.
    #[snafu(display("record format {format} is not supported; upgrade to a release that supports it"))]
    Format {
        /// Format byte of the record.
        format: u8,
    },
    /// The checksum does not match.
    #[snafu(display("record checksum does not match; the record was damaged in transit"))]
    Checksum,
    /// The content cannot be decoded.
    #[snafu(display("record content cannot be decoded: {source}"))]
    Content {
        /// Error of the decoder.
        source: postcard::Error,
    },
}

impl Record {
    /// Creates a record with a random id.
    pub fn new(body: RecordBody) -> Self {
        Self {
            id: RecordId::random(),
            body,
        }
    }

    /// Encodes the record as format byte, `postcard` content and checksum.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain data into memory cannot fail; every reader rejects a record with empty content.
        let content = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(1 + content.len() + CHECKSUM_BYTES);
        bytes.push(FORMAT_VERSION);
        bytes.extend_from_slice(&content);
        let checksum = Sha256::digest(&bytes);
        bytes.extend_from_slice(&checksum[..CHECKSUM_BYTES]);
        bytes
    }

    /// Decodes the output of [`Record::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        ensure!(bytes.len() > 1 + CHECKSUM_BYTES, ShortSnafu { len: bytes.len() });
        let (checked, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        ensure!(Sha256::digest(checked)[..CHECKSUM_BYTES] == *checksum, ChecksumSnafu);
        ensure!(checked[0] == FORMAT_VERSION, FormatSnafu { format: checked[0] });
        postcard::from_bytes(&checked[1..]).context(ContentSnafu)
    }
}

impl Publish {
    /// Returns the statement that the author signs.
    pub fn statement(&self) -> sign::Statement {
        statement(sign::Action::Publish, &self.author, self.version, self.base, self.hash)
    }
}

impl Approve {
    /// Returns the statement that the author signs.
    pub fn statement(&self) -> sign::Statement {
        statement(sign::Action::Approve, &self.author, self.version, self.base, self.hash)
    }
}

impl Roll {
    /// Returns the statement that the author signs.
    pub fn statement(&self) -> sign::Statement {
        statement(sign::Action::Roll, &self.author, self.version, self.base, self.hash)
    }
}

fn statement(act: sign::Action, author: &str, version: u64, base: u64, hash: Hash) -> sign::Statement {
    sign::Statement {
        action: act,
        author: author.to_owned(),
        version,
        base,
        hash,
    }
}
