//! The fold: applies one record to the state and returns a verdict.
//!
//! It is deterministic, so processes that have folded the same records agree on the state and on every verdict.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt as _, Snafu, ensure};
use sparscale_bundle::{Bundle, Fleet, Group, Hash, sign};
use sparscale_place::Shape;
use sparscale_quarantine::Strike;

use crate::record::{
    Approve, Binding, BindingKey, BundleContent, Claim, DecodeError, MapChange, Publish, Record, RecordBody, RecordId,
    Roll, Snapshot,
};
use crate::state::{
    Holder, MAX_REMEMBERED_BINDINGS, MAX_REMEMBERED_IDS, MAX_REMEMBERED_STRIKES, PlacedMap, Proposal, State,
};

/// Maximum number of pending proposals; further ones are rejected until one is rolled.
const MAX_PROPOSALS: usize = 32;

/// Result of folding one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Id of the record; `None` if it cannot be decoded.
    pub id: Option<RecordId>,
    /// Effect of the record.
    pub verdict: Verdict,
}

/// Effect of a record on the state.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// A record with this id was folded before; it has no second effect.
    Duplicate,
    /// The record was rejected and has no effect.
    Refused(Refusal),
    /// The record cannot be decoded and has no effect; readers raise an alarm.
    Damaged(String),
    /// The record is a snapshot whose chain digest differs from that of this reader.
    SnapshotDiffers,
}

/// Reason for the rejection of a record; in a race it names the record that won.
#[derive(Debug, Clone, PartialEq, Snafu, Serialize, Deserialize)]
pub enum Refusal {
    /// The signature is invalid.
    #[snafu(display("{message}"))]
    Signature {
        /// Error of the signature check.
        message: String,
    },
    /// The base is not the active version.
    #[snafu(display(
        "base {base} is not the active version: {author} rolled version {version} at offset {offset}; publish again on base {version}"
    ))]
    StaleBase {
        /// Base of the record.
        base: u64,
        /// Active version.
        version: u64,
        /// Operator who rolled the active version.
        author: String,
        /// Offset of that roll.
        offset: u64,
    },
    /// The record names a base but no bundle is active.
    #[snafu(display("base {base} is not active, no bundle is; publish a complete bundle with base 0"))]
    NoBase {
        /// Base of the record.
        base: u64,
    },
    /// The version was published before.
    #[snafu(display("version {version} was published by {author} at offset {offset} first; publish the next version"))]
    VersionTaken {
        /// Version of the record.
        version: u64,
        /// Operator who published it.
        author: String,
        /// Offset of that publication.
        offset: u64,
    },
    /// The version is not higher than the active one.
    #[snafu(display(
        "version {version} is not higher than version {in_force}, rolled by {author} at offset {offset}; publish a higher version"
    ))]
    NotNewer {
        /// Version of the record.
        version: u64,
        /// Active version.
        in_force: u64,
        /// Operator who rolled the active version.
        author: String,
        /// Offset of that roll.
        offset: u64,
    },
    /// No proposal has this version.
    #[snafu(display("version {version} is not pending; publish it first"))]
    NoProposal {
        /// Version of the record.
        version: u64,
    },
    /// The hash differs from the published one.
    #[snafu(display(
        "version {version} has hash {published}, not {given}; review the version again before you sign it"
    ))]
    OtherContent {
        /// Version of the record.
        version: u64,
        /// Published hash.
        published: Hash,
        /// Signed hash.
        given: Hash,
    },
    /// The publisher tried to approve their own version.
    #[snafu(display("{author} published version {version} and cannot approve it; ask another operator"))]
    SelfApproval {
        /// Publisher.
        author: String,
        /// Version of the record.
        version: u64,
    },
    /// The version was approved before.
    #[snafu(display("version {version} was already approved by {author}; roll it"))]
    ApprovedBefore {
        /// Version of the record.
        version: u64,
        /// Operator who approved it.
        author: String,
    },
    /// The version was not approved.
    #[snafu(display("version {version} is not approved; ask another operator to approve it"))]
    NotApproved {
        /// Version of the record.
        version: u64,
    },
    /// The content is not a valid bundle.
    #[snafu(display("content is not a valid bundle: {message}"))]
    Content {
        /// Error of the bundle check.
        message: String,
    },
    /// Too many versions are pending.
    #[snafu(display("{MAX_PROPOSALS} versions are already pending; roll one first"))]
    TooMany,
    /// Another process claimed the duty first.
    #[snafu(display("{node} holds the duty with fence {fence}; claim it only after {node} has become unresponsive"))]
    DutyTaken {
        /// Process that holds the duty.
        node: String,
        /// Fence of that process.
        fence: u64,
    },
    /// The placer no longer holds the group's duty.
    #[snafu(display("fence {fence} was superseded by fence {holder}; stop acting as placer"))]
    OldFence {
        /// Fence of the record.
        fence: u64,
        /// Fence of the current holder.
        holder: u64,
    },
    /// The map's base is not the latest map.
    #[snafu(display("map base {base} is not the latest map {latest}; compute a new map from map {latest}"))]
    MapBase {
        /// Base of the record.
        base: u64,
        /// Number of the latest map.
        latest: u64,
    },
    /// The map's dimensions differ from those of the group.
    #[snafu(display("map does not match the dimensions of group {group}; compute a new map from the active bundle"))]
    MapShape {
        /// Name of the group.
        group: String,
    },
    /// The key is already bound.
    #[snafu(display("idempotency key is bound to target {target}, incarnation {incarnation}; query that target"))]
    Bound {
        /// Target that the key is bound to.
        target: String,
        /// Incarnation of its agent.
        incarnation: u64,
    },
}

impl State {
    /// Folds the encoded record `bytes` at `offset`; an offset below the head was folded before and changes nothing.
    ///
    /// The caller must not skip offsets; [`crate::Reader`] ensures this.
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Outcome {
        if offset < self.head {
            return Outcome {
                id: None,
                verdict: Verdict::Duplicate,
            };
        }
        match Record::decode(bytes) {
            Ok(record) => self.apply_record(offset, &record),
            Err(error) => self.skip_damaged(offset, &error),
        }
    }

    fn skip_damaged(&mut self, offset: u64, error: &DecodeError) -> Outcome {
        self.advance(offset, None, false);
        Outcome {
            id: None,
            verdict: Verdict::Damaged(error.to_string()),
        }
    }

    fn apply_record(&mut self, offset: u64, record: &Record) -> Outcome {
        let verdict = if self.known_ids.contains(&record.id) {
            Verdict::Duplicate
        } else {
            self.remember_id(record.id);
            self.judge(offset, &record.body)
        };
        self.advance(offset, Some(record.id), verdict == Verdict::Accepted);
        Outcome {
            id: Some(record.id),
            verdict,
        }
    }

    fn judge(&mut self, offset: u64, body: &RecordBody) -> Verdict {
        let result = match body {
            RecordBody::Publish(publish) => self.publish(offset, publish),
            RecordBody::Approve(approve) => self.approve(approve),
            RecordBody::Roll(roll) => self.roll(offset, roll),
            RecordBody::Claim(claim) => self.claim(offset, claim),
            RecordBody::Map(change) => self.change_map(offset, change),
            RecordBody::Bind(binding) => self.bind(binding),
            RecordBody::Strike(strike) => {
                self.record_strike(*strike);
                Ok(())
            }
            RecordBody::Snapshot(snapshot) => return self.check_snapshot(snapshot),
        };
        result.map_or_else(Verdict::Refused, |()| Verdict::Accepted)
    }

    fn remember_id(&mut self, id: RecordId) {
        self.known_ids.insert(id);
        self.recent_ids.push_back(id);
        if self.recent_ids.len() <= MAX_REMEMBERED_IDS {
            return;
        }
        if let Some(oldest) = self.recent_ids.pop_front() {
            self.known_ids.remove(&oldest);
        }
    }

    fn advance(&mut self, offset: u64, id: Option<RecordId>, accepted: bool) {
        let mut digest = Sha256::new();
        digest.update(self.chain_digest);
        digest.update(offset.to_be_bytes());
        digest.update(id.map_or([0; 16], |id| *id.as_bytes()));
        digest.update([u8::from(accepted)]);
        self.chain_digest = digest.finalize().into();
        self.head = offset + 1;
        self.record_chain_digest();
    }

    fn publish(&mut self, offset: u64, publish: &Publish) -> Result<(), Refusal> {
        self.verify(&publish.statement(), &publish.signature)?;
        self.require_base(publish.base)?;
        self.require_newer(publish.version)?;
        if let Some(earlier) = self.proposals.get(&publish.version) {
            return VersionTakenSnafu {
                version: publish.version,
                author: &earlier.author,
                offset: earlier.offset,
            }
            .fail();
        }
        ensure!(self.proposals.len() < MAX_PROPOSALS, TooManySnafu);
        let bundle = self.resulting_bundle(publish)?;
        let proposal = Proposal::new(offset, publish, bundle);
        self.proposals.insert(publish.version, proposal);
        Ok(())
    }

    fn resulting_bundle(&self, publish: &Publish) -> Result<Bundle, Refusal> {
        let bundle = match &publish.content {
            BundleContent::Whole(bundle) => bundle.clone(),
            BundleContent::Delta(delta) => {
                let base = self
                    .active_certificate
                    .as_ref()
                    .context(NoBaseSnafu { base: publish.base })?;
                let applied = delta.apply(&base.bundle, publish.version);
                applied.map_err(|error| content_refusal(error.to_string()))?
            }
        };
        if bundle.version() != publish.version || bundle.hash() != publish.hash {
            return Err(content_refusal(
                "hash or version differs from the signed one".to_owned(),
            ));
        }
        Ok(bundle)
    }

    fn approve(&mut self, approve: &Approve) -> Result<(), Refusal> {
        self.verify(&approve.statement(), &approve.signature)?;
        let version = approve.version;
        let proposal = self.proposals.get_mut(&version).context(NoProposalSnafu { version })?;
        require_same_hash(version, proposal.bundle.hash(), approve.hash)?;
        if proposal.author == approve.author {
            let author = &approve.author;
            return SelfApprovalSnafu { author, version }.fail();
        }
        if let Some(earlier) = &proposal.approval {
            let author = &earlier.author;
            return ApprovedBeforeSnafu { version, author }.fail();
        }
        ensure!(proposal.base == approve.base, NoProposalSnafu { version });
        proposal.approval = Some(approve.clone());
        Ok(())
    }

    fn roll(&mut self, offset: u64, roll: &Roll) -> Result<(), Refusal> {
        self.verify(&roll.statement(), &roll.signature)?;
        let version = roll.version;
        self.require_newer(version)?;
        self.require_base(roll.base)?;
        let proposal = self.proposals.get(&version).context(NoProposalSnafu { version })?;
        require_same_hash(version, proposal.bundle.hash(), roll.hash)?;
        ensure!(proposal.base == roll.base, NoProposalSnafu { version });
        let approval = proposal.approval.clone().context(NotApprovedSnafu { version })?;
        let certificate = proposal.certificate(roll, approval, offset);
        self.retain_fitting_maps(certificate.bundle.fleet());
        self.active_certificate = Some(Arc::new(certificate));
        // All other proposals have a base that is no longer active.
        self.proposals.clear();
        Ok(())
    }

    /// Removes the maps of groups whose ranks or dimensions changed; such a group starts from its initial map again.
    fn retain_fitting_maps(&mut self, fleet: &Fleet) {
        let old_fleet = self
            .active_certificate
            .as_ref()
            .map(|certificate| Arc::clone(certificate.bundle.fleet()));
        let Some(old_fleet) = old_fleet else { return };
        self.maps.retain(|name, placed| {
            let same_ranks = old_fleet.group(name).map(|old| &old.ranks) == fleet.group(name).map(|new| &new.ranks);
            same_ranks && fleet.group(name).is_some_and(|new| placed.map.fits(shape(new)))
        });
    }

    fn claim(&mut self, offset: u64, claim: &Claim) -> Result<(), Refusal> {
        let current = self.holders.get(&claim.duty);
        if let Some(holder) = current.filter(|holder| holder.fence != claim.superseded_fence) {
            let node = &holder.node;
            return DutyTakenSnafu {
                node,
                fence: holder.fence,
            }
            .fail();
        }
        let holder = Holder {
            node: claim.node.clone(),
            incarnation: claim.incarnation,
            fence: offset + 1,
        };
        self.holders.insert(claim.duty.clone(), holder);
        Ok(())
    }

    fn change_map(&mut self, offset: u64, change: &MapChange) -> Result<(), Refusal> {
        let duty = crate::Duty::Placer(change.group.clone());
        let holder = self.holders.get(&duty).map_or(0, |holder| holder.fence);
        ensure!(
            change.fence == holder,
            OldFenceSnafu {
                fence: change.fence,
                holder
            }
        );
        let latest = self.maps.get(&change.group);
        let number = latest.map_or(0, |placed| placed.number);
        ensure!(
            change.base == number,
            MapBaseSnafu {
                base: change.base,
                latest: number
            }
        );
        let fleet = self
            .active_certificate
            .as_ref()
            .map(|certificate| certificate.bundle.fleet());
        let fits = fleet
            .and_then(|fleet| fleet.group(&change.group))
            .is_some_and(|group| change.map.fits(shape(group)));
        ensure!(fits, MapShapeSnafu { group: &change.group });
        let placed = PlacedMap {
            number: offset + 1,
            base: change.base,
            map: Arc::new(change.map.clone()),
            previous: latest.map(|placed| Arc::clone(&placed.map)),
        };
        self.maps.insert(change.group.clone(), placed);
        Ok(())
    }

    fn bind(&mut self, binding: &Binding) -> Result<(), Refusal> {
        if let Some(earlier) = self.bindings.get(&binding.key) {
            let target = &earlier.target;
            return BoundSnafu {
                target,
                incarnation: earlier.incarnation,
            }
            .fail();
        }
        self.bindings.insert(binding.key, binding.clone());
        self.binding_order.push_back(binding.key);
        if self.binding_order.len() > MAX_REMEMBERED_BINDINGS {
            self.remove_oldest_binding();
        }
        Ok(())
    }

    /// Records a strike; for a known strike only the standing may change, from counting to cleared.
    fn record_strike(&mut self, strike: Strike) {
        let is_same_strike =
            |known: &&mut Strike| (known.subject, known.ended_start) == (strike.subject, strike.ended_start);
        if let Some(known) = self.strikes.iter_mut().find(is_same_strike) {
            known.status = known.status.max(strike.status);
            return;
        }
        self.strikes.push_back(strike);
        if self.strikes.len() > MAX_REMEMBERED_STRIKES {
            self.strikes.pop_front();
        }
    }

    fn remove_oldest_binding(&mut self) {
        let oldest: Option<BindingKey> = self.binding_order.pop_front();
        if let Some(oldest) = oldest {
            self.bindings.remove(&oldest);
        }
    }

    fn check_snapshot(&mut self, snapshot: &Snapshot) -> Verdict {
        let own_digest = self.chain_digest_at(snapshot.head);
        if own_digest.is_some_and(|digest| digest != snapshot.chain_digest) {
            return Verdict::SnapshotDiffers;
        }
        self.snapshot_head = self.snapshot_head.max(snapshot.head);
        Verdict::Accepted
    }

    fn verify(&self, statement: &sign::Statement, signature: &sign::Signature) -> Result<(), Refusal> {
        let verified = sign::verify(statement, signature, self.operators());
        verified.map_err(|error| Refusal::Signature {
            message: error.to_string(),
        })
    }

    fn require_base(&self, base: u64) -> Result<(), Refusal> {
        match &self.active_certificate {
            Some(certificate) if certificate.bundle.version() != base => StaleBaseSnafu {
                base,
                version: certificate.bundle.version(),
                author: &certificate.roller,
                offset: certificate.offset,
            }
            .fail(),
            None if base != 0 => NoBaseSnafu { base }.fail(),
            _ => Ok(()),
        }
    }

    fn require_newer(&self, version: u64) -> Result<(), Refusal> {
        let Some(certificate) = &self.active_certificate else {
            return Ok(());
        };
        ensure!(
            version > certificate.bundle.version(),
            NotNewerSnafu {
                version,
                in_force: certificate.bundle.version(),
                author: &certificate.roller,
                offset: certificate.offset,
            }
        );
        Ok(())
    }
}

fn require_same_hash(version: u64, published: Hash, given: Hash) -> Result<(), Refusal> {
    ensure!(
        published == given,
        OtherContentSnafu {
            version,
            published,
            given
        }
    );
    Ok(())
}

fn content_refusal(message: String) -> Refusal {
    Refusal::Content { message }
}

/// Returns the dimensions of `group`'s expert map.
pub fn shape(group: &Group) -> Shape {
    Shape {
        ranks: group.ranks.len(),
        layers: group.layers as usize,
        experts: group.experts as usize,
        slots: group.slots as usize,
    }
}
