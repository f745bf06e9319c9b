//! The fold: one deterministic step from state and record to state and verdict.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt as _, Snafu, ensure};
use sparscale_bundle::{Bundle, Fleet, Group, Hash, sign};
use sparscale_place::Shape;
use sparscale_quarantine::Strike;

use crate::record::{
    Approve, Binding, BindingKey, Body, Claim, Content, DecodeError, Id, MapChange, Publish, Record, Roll, Snapshot,
};
use crate::state::{Holder, PlacedMap, Proposal, REMEMBERED_BINDINGS, REMEMBERED_IDS, REMEMBERED_STRIKES, State};

/// Proposals that may wait at one time; more are refused until one is rolled.
const MAX_PROPOSALS: usize = 32;

/// What the fold made of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Id of the record; none if it was damaged.
    pub id: Option<Id>,
    /// What became of it.
    pub verdict: Verdict,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// It took effect.
    Accepted,
    /// Its id was counted before; no second effect.
    Duplicate,
    /// It has no effect.
    Refused(Refusal),
    /// It cannot be decoded; it has no effect and readers raise an alarm.
    Damaged(String),
    /// A snapshot whose digest differs from this reader's own fold.
    SnapshotDiffers,
}

/// Why a record has no effect, naming the record that won where there was a race.
#[derive(Debug, Clone, PartialEq, Snafu, Serialize, Deserialize)]
pub enum Refusal {
    /// The signature does not hold.
    #[snafu(display("{message}"))]
    Signature {
        /// What the check said.
        message: String,
    },
    /// The base is not the version in force.
    #[snafu(display(
        "base {base} is not in force: {author} rolled version {version} at offset {offset}; publish again on that base"
    ))]
    StaleBase {
        /// Base of the record.
        base: u64,
        /// Version in force.
        version: u64,
        /// Operator who rolled it.
        author: String,
        /// Offset of that roll.
        offset: u64,
    },
    /// There is no bundle in force that a base could name.
    #[snafu(display("base {base} is not in force: nothing is; publish a whole bundle with base 0"))]
    NoBase {
        /// Base of the record.
        base: u64,
    },
    /// The version was published before.
    #[snafu(display("version {version} was published by {author} at offset {offset} first; publish the next version"))]
    VersionTaken {
        /// Version of the record.
        version: u64,
        /// Operator who was first.
        author: String,
        /// Offset of that publish record.
        offset: u64,
    },
    /// The version does not rise.
    #[snafu(display(
        "version {version} does not rise above version {in_force}, rolled by {author} at offset {offset}"
    ))]
    NotNewer {
        /// Version of the record.
        version: u64,
        /// Version in force.
        in_force: u64,
        /// Operator who rolled it.
        author: String,
        /// Offset of that roll.
        offset: u64,
    },
    /// No such version waits.
    #[snafu(display("no version {version} waits to be rolled; publish it first"))]
    NoProposal {
        /// Version of the record.
        version: u64,
    },
    /// The hash is not the one that was published.
    #[snafu(display("version {version} has hash {published}, not {given}; look at it again before you sign"))]
    OtherContent {
        /// Version of the record.
        version: u64,
        /// Hash that was published.
        published: Hash,
        /// Hash that was signed.
        given: Hash,
    },
    /// The publisher approved their own version.
    #[snafu(display("{author} published version {version} and cannot approve it; ask another operator"))]
    SelfApproval {
        /// Publisher.
        author: String,
        /// Version of the record.
        version: u64,
    },
    /// The version was approved before.
    #[snafu(display("version {version} was approved by {author} already; roll it"))]
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
    #[snafu(display("the content is no valid bundle: {message}"))]
    Content {
        /// What the check said.
        message: String,
    },
    /// Too many versions wait.
    #[snafu(display("{MAX_PROPOSALS} versions wait already; roll one first"))]
    TooMany,
    /// Another process took the duty first.
    #[snafu(display("{node} holds the duty with fence {fence}; wait until it is silent"))]
    DutyTaken {
        /// Process that was first.
        node: String,
        /// Its fence.
        fence: u64,
    },
    /// The placer does not hold the group's duty any more.
    #[snafu(display("fence {fence} was overtaken by fence {holder}; stop acting as placer"))]
    OldFence {
        /// Fence of the record.
        fence: u64,
        /// Fence of the present holder.
        holder: u64,
    },
    /// The map's base is not the latest map.
    #[snafu(display("map base {base} is not the latest map {latest}; decide again on that one"))]
    MapBase {
        /// Base of the record.
        base: u64,
        /// Number of the latest map.
        latest: u64,
    },
    /// The map does not fit the group.
    #[snafu(display("the map does not fit group {group}; decide again on the bundle in force"))]
    MapShape {
        /// Name of the group.
        group: String,
    },
    /// The key is bound already.
    #[snafu(display("the key is bound to target {target}, incarnation {incarnation}; ask there"))]
    Bound {
        /// Target that the key is bound to.
        target: String,
        /// Incarnation of its agent.
        incarnation: u64,
    },
}

impl State {
    /// Folds the record `bytes` found at `offset`. An offset below the head was folded before and changes nothing.
    ///
    /// The caller must not skip offsets; [`crate::Reader`] sees to that.
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
        let verdict = if self.seen.contains(&record.id) {
            Verdict::Duplicate
        } else {
            self.remember(record.id);
            self.judge(offset, &record.body)
        };
        self.advance(offset, Some(record.id), verdict == Verdict::Accepted);
        Outcome {
            id: Some(record.id),
            verdict,
        }
    }

    fn judge(&mut self, offset: u64, body: &Body) -> Verdict {
        let result = match body {
            Body::Publish(publish) => self.publish(offset, publish),
            Body::Approve(approve) => self.approve(approve),
            Body::Roll(roll) => self.roll(offset, roll),
            Body::Claim(claim) => self.claim(offset, claim),
            Body::Map(change) => self.change_map(offset, change),
            Body::Bind(binding) => self.bind(binding),
            Body::Strike(strike) => {
                self.strike(*strike);
                Ok(())
            }
            Body::Snapshot(snapshot) => return self.check_snapshot(snapshot),
        };
        result.map_or_else(Verdict::Refused, |()| Verdict::Accepted)
    }

    fn remember(&mut self, id: Id) {
        self.seen.insert(id);
        self.recent.push_back(id);
        if self.recent.len() <= REMEMBERED_IDS {
            return;
        }
        if let Some(oldest) = self.recent.pop_front() {
            self.seen.remove(&oldest);
        }
    }

    fn advance(&mut self, offset: u64, id: Option<Id>, accepted: bool) {
        let mut digest = Sha256::new();
        digest.update(self.chain);
        digest.update(offset.to_be_bytes());
        digest.update(id.map_or([0; 16], |id| *id.as_bytes()));
        digest.update([u8::from(accepted)]);
        self.chain = digest.finalize().into();
        self.head = offset + 1;
        self.remember_chain();
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
            Content::Whole(bundle) => bundle.clone(),
            Content::Delta(delta) => {
                let base = self.in_force.as_ref().context(NoBaseSnafu { base: publish.base })?;
                let applied = delta.apply(&base.bundle, publish.version);
                applied.map_err(|error| refused_content(error.to_string()))?
            }
        };
        if bundle.version() != publish.version || bundle.hash() != publish.hash {
            return Err(refused_content(
                "its hash or version is not the one that was signed".to_owned(),
            ));
        }
        Ok(bundle)
    }

    fn approve(&mut self, approve: &Approve) -> Result<(), Refusal> {
        self.verify(&approve.statement(), &approve.signature)?;
        let version = approve.version;
        let proposal = self.proposals.get_mut(&version).context(NoProposalSnafu { version })?;
        require_content(version, proposal.bundle.hash(), approve.hash)?;
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
        require_content(version, proposal.bundle.hash(), roll.hash)?;
        ensure!(proposal.base == roll.base, NoProposalSnafu { version });
        let approval = proposal.approval.clone().context(NotApprovedSnafu { version })?;
        let certificate = proposal.certificate(roll, approval, offset);
        self.keep_fitting_maps(certificate.bundle.fleet());
        self.in_force = Some(Arc::new(certificate));
        // Every other proposal names a base that is in force no more.
        self.proposals.clear();
        Ok(())
    }

    /// Drops the maps of groups whose ranks or dimensions changed: such a group starts from its initial map.
    fn keep_fitting_maps(&mut self, fleet: &Fleet) {
        let before = self
            .in_force
            .as_ref()
            .map(|certificate| Arc::clone(certificate.bundle.fleet()));
        let Some(before) = before else { return };
        self.maps.retain(|name, placed| {
            let same_ranks = before.group(name).map(|old| &old.ranks) == fleet.group(name).map(|new| &new.ranks);
            same_ranks && fleet.group(name).is_some_and(|new| placed.map.fits(shape(new)))
        });
    }

    fn claim(&mut self, offset: u64, claim: &Claim) -> Result<(), Refusal> {
        let held = self.holders.get(&claim.duty);
        if let Some(holder) = held.filter(|holder| holder.fence != claim.over) {
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
        let fleet = self.in_force.as_ref().map(|certificate| certificate.bundle.fleet());
        let fits = fleet
            .and_then(|fleet| fleet.group(&change.group))
            .is_some_and(|group| change.map.fits(shape(group)));
        ensure!(fits, MapShapeSnafu { group: &change.group });
        let placed = PlacedMap {
            number: offset + 1,
            base: change.base,
            map: Arc::new(change.map.clone()),
            before: latest.map(|placed| Arc::clone(&placed.map)),
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
        if self.binding_order.len() > REMEMBERED_BINDINGS {
            self.forget_oldest_binding();
        }
        Ok(())
    }

    /// A strike that is known already may only be cleared.
    fn strike(&mut self, strike: Strike) {
        let same = |known: &&mut Strike| (known.request, known.end) == (strike.request, strike.end);
        if let Some(known) = self.strikes.iter_mut().find(same) {
            known.standing = known.standing.max(strike.standing);
            return;
        }
        self.strikes.push_back(strike);
        if self.strikes.len() > REMEMBERED_STRIKES {
            self.strikes.pop_front();
        }
    }

    fn forget_oldest_binding(&mut self) {
        let oldest: Option<BindingKey> = self.binding_order.pop_front();
        if let Some(oldest) = oldest {
            self.bindings.remove(&oldest);
        }
    }

    fn check_snapshot(&mut self, snapshot: &Snapshot) -> Verdict {
        let own = self.chain_at(snapshot.at);
        if own.is_some_and(|own| own != snapshot.chain) {
            return Verdict::SnapshotDiffers;
        }
        self.snapshot_at = self.snapshot_at.max(snapshot.at);
        Verdict::Accepted
    }

    fn verify(&self, statement: &sign::Statement, signature: &sign::Signature) -> Result<(), Refusal> {
        let verified = sign::verify(statement, signature, self.operators());
        verified.map_err(|error| Refusal::Signature {
            message: error.to_string(),
        })
    }

    fn require_base(&self, base: u64) -> Result<(), Refusal> {
        match &self.in_force {
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
        let Some(certificate) = &self.in_force else {
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

fn require_content(version: u64, published: Hash, given: Hash) -> Result<(), Refusal> {
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

fn refused_content(message: String) -> Refusal {
    Refusal::Content { message }
}

/// Dimensions of `group` as its expert map needs them.
pub fn shape(group: &Group) -> Shape {
    Shape {
        ranks: group.ranks.len(),
        layers: group.layers as usize,
        experts: group.experts as usize,
        slots: group.slots as usize,
    }
}
