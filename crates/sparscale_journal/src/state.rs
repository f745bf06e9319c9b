//! The folded state, and the image of it that snapshots and peers carry.
//!
//! The numbers of record ids, bindings, strikes and chain digests are limited, and with them memory and image size.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sparscale_bundle::{Bundle, Operator, sign};
use sparscale_place::Map;
use sparscale_quarantine::{Fingerprint, Strike};

use crate::record::{Approve, Binding, BindingKey, Duty, Publish, RecordId, Roll};

/// Record ids kept to detect duplicates; a writer stops retrying long before this many other records follow.
pub(crate) const MAX_REMEMBERED_IDS: usize = 4_096;
/// Strikes kept; each takes about 40 bytes, and an entry scans all of them for each request.
pub(crate) const MAX_REMEMBERED_STRIKES: usize = 2_048;
/// Bindings kept; [`crate::Budget`] limits the rate of bindings such that these cover more than an hour.
pub(crate) const MAX_REMEMBERED_BINDINGS: usize = 16_384;
/// Chain digests kept to verify snapshots.
pub(crate) const MAX_CHAIN_DIGESTS: usize = 4_096;

/// A published version that is not active yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Offset of the publish record.
    pub offset: u64,
    /// Operator who published it.
    pub author: String,
    /// Version that it replaces.
    pub base: u64,
    /// Bundle that results from the publication.
    pub bundle: Arc<Bundle>,
    /// Signature of the publisher.
    pub signature: sign::Signature,
    /// First valid approval.
    pub approval: Option<Approve>,
}

/// The active bundle with the signatures that authorize it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Certificate {
    /// The active bundle.
    pub bundle: Arc<Bundle>,
    /// Version that it replaced.
    pub base: u64,
    /// Operator who published it.
    pub publisher: String,
    /// Signature of the publisher.
    pub signature: sign::Signature,
    /// Approval by another operator.
    pub approval: Approve,
    /// Offset of the roll record.
    pub offset: u64,
    /// Operator who rolled it.
    pub roller: String,
}

impl Certificate {
    /// Verifies the signatures of publisher and approver against `operators`.
    pub fn verify(&self, operators: &[Operator]) -> Result<(), sign::Error> {
        let statement = sign::Statement {
            action: sign::Action::Publish,
            author: self.publisher.clone(),
            version: self.bundle.version(),
            base: self.base,
            hash: self.bundle.hash(),
        };
        sign::verify(&statement, &self.signature, operators)?;
        let approval = sign::Statement {
            action: sign::Action::Approve,
            author: self.approval.author.clone(),
            ..statement
        };
        if self.approval.author == self.publisher {
            let author = self.publisher.clone();
            return Err(sign::Error::InvalidSignature { author });
        }
        sign::verify(&approval, &self.approval.signature, operators)
    }
}

/// Process that holds a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the process.
    pub node: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Fence of the holder: the offset of its claim, plus one.
    pub fence: u64,
}

/// The latest expert map that a group's placer appended to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedMap {
    /// Number of the map: the offset of its record, plus one.
    pub number: u64,
    /// Number of the previous map; 0 for the initial map.
    pub base: u64,
    /// The expert map.
    pub map: Arc<Map>,
    /// Previous map, which ranks use until they have switched.
    pub previous: Option<Arc<Map>>,
}

/// State that results from folding all records of the log.
#[derive(Debug, Clone)]
pub struct State {
    /// Operators who may sign the first bundle.
    pub(crate) initial_operators: Arc<Vec<Operator>>,
    pub(crate) head: u64,
    pub(crate) chain_digest: [u8; 32],
    pub(crate) chain_digests: VecDeque<(u64, [u8; 32])>,
    pub(crate) recent_ids: VecDeque<RecordId>,
    pub(crate) known_ids: BTreeSet<RecordId>,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    pub(crate) active_certificate: Option<Arc<Certificate>>,
    pub(crate) holders: BTreeMap<Duty, Holder>,
    pub(crate) maps: BTreeMap<String, PlacedMap>,
    pub(crate) bindings: BTreeMap<BindingKey, Binding>,
    pub(crate) binding_order: VecDeque<BindingKey>,
    pub(crate) strikes: VecDeque<Strike>,
    pub(crate) snapshot_head: u64,
}

/// Serializable copy of a [`State`], carried by snapshots and sent to peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Image {
    head: u64,
    chain_digest: [u8; 32],
    recent_ids: Vec<RecordId>,
    proposals: Vec<(u64, Proposal)>,
    active_certificate: Option<Arc<Certificate>>,
    holders: Vec<(Duty, Holder)>,
    maps: Vec<(String, PlacedMap)>,
    bindings: Vec<Binding>,
    strikes: Vec<Strike>,
}

impl State {
    /// Creates the state before the first record; `initial_operators` may sign the first bundle.
    pub fn new(initial_operators: Vec<Operator>) -> Self {
        Self {
            initial_operators: Arc::new(initial_operators),
            head: 0,
            chain_digest: [0; 32],
            chain_digests: VecDeque::new(),
            recent_ids: VecDeque::new(),
            known_ids: BTreeSet::new(),
            proposals: BTreeMap::new(),
            active_certificate: None,
            holders: BTreeMap::new(),
            maps: BTreeMap::new(),
            bindings: BTreeMap::new(),
            binding_order: VecDeque::new(),
            strikes: VecDeque::new(),
            snapshot_head: 0,
        }
    }

    /// Returns the offset of the next record to fold.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the digest over the offsets, ids and effects of all records folded so far.
    pub fn chain_digest(&self) -> [u8; 32] {
        self.chain_digest
    }

    /// Returns the certificate of the active bundle.
    pub fn active_certificate(&self) -> Option<&Arc<Certificate>> {
        self.active_certificate.as_ref()
    }

    /// Returns the published versions that are not active, by version.
    pub fn proposals(&self) -> &BTreeMap<u64, Proposal> {
        &self.proposals
    }

    /// Returns the holder of `duty`.
    pub fn holder(&self, duty: &Duty) -> Option<&Holder> {
        self.holders.get(duty)
    }

    /// Returns the latest map in the log for the group called `name`.
    pub fn map(&self, name: &str) -> Option<&PlacedMap> {
        self.maps.get(name)
    }

    /// Returns the binding of `key`.
    pub fn binding(&self, key: &BindingKey) -> Option<&Binding> {
        self.bindings.get(key)
    }

    /// Returns the strikes against a request or the parts of its prompt: the targets that terminated meanwhile.
    pub fn strikes_of(&self, fingerprints: &[Fingerprint]) -> impl Iterator<Item = Strike> {
        self.strikes
            .iter()
            .filter(|strike| fingerprints.contains(&strike.subject))
            .copied()
    }

    /// Returns the head of the state in the latest snapshot.
    pub fn snapshot_head(&self) -> u64 {
        self.snapshot_head
    }

    /// Returns the operators whose signatures are accepted now.
    pub fn operators(&self) -> &[Operator] {
        let active = self.active_certificate.as_ref();
        active.map_or(&self.initial_operators, |certificate| {
            &certificate.bundle.fleet().operators
        })
    }

    /// Creates an image of this state.
    pub fn image(&self) -> Image {
        let ordered_bindings = self.binding_order.iter().filter_map(|key| self.bindings.get(key));
        Image {
            head: self.head,
            chain_digest: self.chain_digest,
            recent_ids: self.recent_ids.iter().copied().collect(),
            proposals: self
                .proposals
                .iter()
                .map(|(version, proposal)| (*version, proposal.clone()))
                .collect(),
            active_certificate: self.active_certificate.clone(),
            holders: self
                .holders
                .iter()
                .map(|(duty, holder)| (duty.clone(), holder.clone()))
                .collect(),
            maps: self
                .maps
                .iter()
                .map(|(name, map)| (name.clone(), map.clone()))
                .collect(),
            bindings: ordered_bindings.cloned().collect(),
            strikes: self.strikes.iter().copied().collect(),
        }
    }

    /// Restores the state from `image`; [`crate::Reader`] verifies the certificate beforehand.
    pub fn from_image(initial_operators: Vec<Operator>, image: Image) -> Self {
        let mut state = Self::new(initial_operators);
        state.head = image.head;
        state.snapshot_head = image.head;
        state.chain_digest = image.chain_digest;
        state.known_ids = image.recent_ids.iter().copied().collect();
        state.recent_ids = image.recent_ids.into();
        state.proposals = image.proposals.into_iter().collect();
        state.active_certificate = image.active_certificate;
        state.holders = image.holders.into_iter().collect();
        state.maps = image.maps.into_iter().collect();
        state.binding_order = image.bindings.iter().map(|binding| binding.key).collect();
        state.bindings = image
            .bindings
            .into_iter()
            .map(|binding| (binding.key, binding))
            .collect();
        state.strikes = image.strikes.into();
        state.record_chain_digest();
        state
    }

    pub(crate) fn record_chain_digest(&mut self) {
        self.chain_digests.push_back((self.head, self.chain_digest));
        if self.chain_digests.len() > MAX_CHAIN_DIGESTS {
            self.chain_digests.pop_front();
        }
    }

    pub(crate) fn chain_digest_at(&self, offset: u64) -> Option<[u8; 32]> {
        let index = self
            .chain_digests
            .binary_search_by_key(&offset, |(head, _)| *head)
            .ok()?;
        self.chain_digests.get(index).map(|(_, digest)| *digest)
    }
}

impl Image {
    /// Returns the offset of the first record that the image does not contain.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the certificate of the bundle that is active in this image.
    pub fn active_certificate(&self) -> Option<&Arc<Certificate>> {
        self.active_certificate.as_ref()
    }

    /// Encodes the image for a snapshot record or a peer.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain data into memory cannot fail; every reader rejects an empty image.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the output of [`Image::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl Proposal {
    pub(crate) fn new(offset: u64, publish: &Publish, bundle: Bundle) -> Self {
        Self {
            offset,
            author: publish.author.clone(),
            base: publish.base,
            bundle: Arc::new(bundle),
            signature: publish.signature,
            approval: None,
        }
    }

    pub(crate) fn certificate(&self, roll: &Roll, approval: Approve, offset: u64) -> Certificate {
        Certificate {
            bundle: Arc::clone(&self.bundle),
            base: self.base,
            publisher: self.author.clone(),
            signature: self.signature,
            approval,
            offset,
            roller: roll.author.clone(),
        }
    }
}
