//! The folded state and its image.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sparscale_bundle::{Bundle, Operator, sign};
use sparscale_place::Map;
use sparscale_quarantine::{Fingerprint, Strike};

use crate::record::{Approve, Binding, BindingKey, Duty, Id, Publish, Roll};

/// Record ids that the fold remembers; a writer stops sending a record again long before that many have passed.
pub(crate) const REMEMBERED_IDS: usize = 4_096;
/// Strikes that the fold remembers: some 40 bytes each, and an entry looks through them for each request.
pub(crate) const REMEMBERED_STRIKES: usize = 2_048;
/// Bindings that the fold remembers; [`crate::Budget`] keeps that above an hour's worth.
pub(crate) const REMEMBERED_BINDINGS: usize = 16_384;
/// Chain digests that a reader keeps to check snapshots against.
pub(crate) const REMEMBERED_CHAIN: usize = 4_096;

/// A published version that is not in force yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Offset of the publish record.
    pub offset: u64,
    /// Who published it.
    pub author: String,
    /// Version that it replaces.
    pub base: u64,
    /// The resulting bundle.
    pub bundle: Arc<Bundle>,
    /// Publisher's signature.
    pub signature: sign::Signature,
    /// First valid approval.
    pub approval: Option<Approve>,
}

/// The bundle in force, with the signatures that put it there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Certificate {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Version that it replaced.
    pub base: u64,
    /// Who published it.
    pub publisher: String,
    /// Publisher's signature.
    pub signature: sign::Signature,
    /// Approval by another operator.
    pub approval: Approve,
    /// Offset of the roll record.
    pub offset: u64,
    /// Who rolled it.
    pub roller: String,
}

impl Certificate {
    /// Checks both signatures against `operators`.
    pub fn verify(&self, operators: &[Operator]) -> Result<(), sign::Error> {
        let statement = sign::Statement {
            act: sign::Act::Publish,
            author: self.publisher.clone(),
            version: self.bundle.version(),
            base: self.base,
            hash: self.bundle.hash(),
        };
        sign::verify(&statement, &self.signature, operators)?;
        let approval = sign::Statement {
            act: sign::Act::Approve,
            author: self.approval.author.clone(),
            ..statement
        };
        if self.approval.author == self.publisher {
            let author = self.publisher.clone();
            return Err(sign::Error::Mismatch { author });
        }
        sign::verify(&approval, &self.approval.signature, operators)
    }
}

/// Holder of a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the process.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its fence: the offset of its claim, plus one.
    pub fence: u64,
}

/// The expert map that a group's placer has put in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedMap {
    /// Number of the map: the offset of its record, plus one.
    pub number: u64,
    /// Number of the map before it; 0 for the initial map.
    pub base: u64,
    /// The map itself.
    pub map: Arc<Map>,
    /// The map before it, which ranks run until they have switched.
    pub before: Option<Arc<Map>>,
}

/// Everything that the log says, folded.
#[derive(Debug, Clone)]
pub struct State {
    /// Operators who may sign the first bundle.
    pub(crate) genesis: Arc<Vec<Operator>>,
    pub(crate) head: u64,
    pub(crate) chain: [u8; 32],
    pub(crate) chain_by_offset: VecDeque<(u64, [u8; 32])>,
    pub(crate) recent: VecDeque<Id>,
    pub(crate) seen: BTreeSet<Id>,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    pub(crate) in_force: Option<Arc<Certificate>>,
    pub(crate) holders: BTreeMap<Duty, Holder>,
    pub(crate) maps: BTreeMap<String, PlacedMap>,
    pub(crate) bindings: BTreeMap<BindingKey, Binding>,
    pub(crate) binding_order: VecDeque<BindingKey>,
    pub(crate) strikes: VecDeque<Strike>,
    pub(crate) snapshot_at: u64,
}

/// What a snapshot carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Image {
    head: u64,
    chain: [u8; 32],
    recent: Vec<Id>,
    proposals: Vec<(u64, Proposal)>,
    in_force: Option<Arc<Certificate>>,
    holders: Vec<(Duty, Holder)>,
    maps: Vec<(String, PlacedMap)>,
    bindings: Vec<Binding>,
    strikes: Vec<Strike>,
}

impl State {
    /// The state before the first record; `genesis` may sign the first bundle.
    pub fn new(genesis: Vec<Operator>) -> Self {
        Self {
            genesis: Arc::new(genesis),
            head: 0,
            chain: [0; 32],
            chain_by_offset: VecDeque::new(),
            recent: VecDeque::new(),
            seen: BTreeSet::new(),
            proposals: BTreeMap::new(),
            in_force: None,
            holders: BTreeMap::new(),
            maps: BTreeMap::new(),
            bindings: BTreeMap::new(),
            binding_order: VecDeque::new(),
            strikes: VecDeque::new(),
            snapshot_at: 0,
        }
    }

    /// Offset of the next record to fold.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Digest over all records folded so far and what became of them.
    pub fn chain(&self) -> [u8; 32] {
        self.chain
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&Arc<Certificate>> {
        self.in_force.as_ref()
    }

    /// Published versions that are not in force, by version.
    pub fn proposals(&self) -> &BTreeMap<u64, Proposal> {
        &self.proposals
    }

    /// Holder of `duty`.
    pub fn holder(&self, duty: &Duty) -> Option<&Holder> {
        self.holders.get(duty)
    }

    /// The map that the log holds for the group called `name`.
    pub fn map(&self, name: &str) -> Option<&PlacedMap> {
        self.maps.get(name)
    }

    /// The binding of `key`.
    pub fn binding(&self, key: &BindingKey) -> Option<&Binding> {
        self.bindings.get(key)
    }

    /// Targets that ended under `request`.
    pub fn strikes_of(&self, request: Fingerprint) -> impl Iterator<Item = Strike> {
        self.strikes
            .iter()
            .filter(move |strike| strike.request == request)
            .copied()
    }

    /// Offset at which the latest snapshot in the log was taken.
    pub fn snapshot_at(&self) -> u64 {
        self.snapshot_at
    }

    /// Operators whose signatures count now.
    pub fn operators(&self) -> &[Operator] {
        let in_force = self.in_force.as_ref();
        in_force.map_or(&self.genesis, |certificate| &certificate.bundle.fleet().operators)
    }

    /// The image of this state.
    pub fn image(&self) -> Image {
        let in_order = self.binding_order.iter().filter_map(|key| self.bindings.get(key));
        Image {
            head: self.head,
            chain: self.chain,
            recent: self.recent.iter().copied().collect(),
            proposals: self
                .proposals
                .iter()
                .map(|(version, found)| (*version, found.clone()))
                .collect(),
            in_force: self.in_force.clone(),
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
            bindings: in_order.cloned().collect(),
            strikes: self.strikes.iter().copied().collect(),
        }
    }

    /// The state that `image` was taken of. The certificate is not verified here: see [`crate::Reader`].
    pub fn from_image(genesis: Vec<Operator>, image: Image) -> Self {
        let mut state = Self::new(genesis);
        state.head = image.head;
        state.snapshot_at = image.head;
        state.chain = image.chain;
        state.seen = image.recent.iter().copied().collect();
        state.recent = image.recent.into();
        state.proposals = image.proposals.into_iter().collect();
        state.in_force = image.in_force;
        state.holders = image.holders.into_iter().collect();
        state.maps = image.maps.into_iter().collect();
        state.binding_order = image.bindings.iter().map(|binding| binding.key).collect();
        state.bindings = image
            .bindings
            .into_iter()
            .map(|binding| (binding.key, binding))
            .collect();
        state.strikes = image.strikes.into();
        state.remember_chain();
        state
    }

    pub(crate) fn remember_chain(&mut self) {
        self.chain_by_offset.push_back((self.head, self.chain));
        if self.chain_by_offset.len() > REMEMBERED_CHAIN {
            self.chain_by_offset.pop_front();
        }
    }

    pub(crate) fn chain_at(&self, offset: u64) -> Option<[u8; 32]> {
        let index = self.chain_by_offset.binary_search_by_key(&offset, |(at, _)| *at).ok()?;
        self.chain_by_offset.get(index).map(|(_, chain)| *chain)
    }
}

impl Image {
    /// Offset of the first record that the image does not contain.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// The bundle in force in this image.
    pub fn in_force(&self) -> Option<&Arc<Certificate>> {
        self.in_force.as_ref()
    }

    /// Encodes the image for a snapshot record or a peer.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising plain data into memory has no way to fail; an empty image is refused by every reader.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes what [`Image::encode`] wrote.
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
