//! Tests of the fold: all readers reach the same state, versions never decrease, no unapproved bundle becomes active.
#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use crate::common::{Signer, bundle, operators, record, signers};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_bundle::Bundle;
use sparscale_journal::{Batch, Claim, Duty, LogEntry, Reader, RecordBody, Refusal, Snapshot, State, Verdict};

/// Next action of an operator or process, based on the state that it last read.
#[derive(Clone, Copy, Debug)]
enum Action {
    Publish {
        operator: u8,
        skipped_versions: u8,
        variant: u8,
    },
    Approve {
        operator: u8,
    },
    Roll {
        operator: u8,
    },
    Claim {
        node: u8,
    },
    Duplicate {
        distance: u8,
    },
    Damage {
        distance: u8,
    },
    Forge {
        operator: u8,
    },
    Snapshot,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let operator = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Publish {
                operator,
                skipped_versions: u8::arbitrary(g) % 3,
                variant: u8::arbitrary(g) % 4,
            },
            4..8 => Self::Approve { operator },
            8..11 => Self::Roll { operator },
            11 => Self::Claim { node: operator },
            12 => Self::Duplicate {
                distance: u8::arbitrary(g),
            },
            13 => Self::Damage {
                distance: u8::arbitrary(g),
            },
            14 => Self::Forge { operator },
            _ => Self::Snapshot,
        }
    }
}

/// A sequence of actions, each based on a state that may lag behind the log by up to three records.
#[derive(Clone, Debug)]
struct History(Vec<(Action, u8)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Vec::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(History))
    }
}

/// Performs every action and returns the resulting log.
fn write(history: &History) -> Vec<Vec<u8>> {
    let mut log: Vec<Vec<u8>> = Vec::new();
    for (action, lag) in &history.0 {
        let read_to = log.len().saturating_sub(usize::from(lag % 4));
        let state = fold(&log[..read_to]);
        if let Some(data) = encoded_record(*action, &state, &log) {
            log.push(data);
        }
    }
    log
}

fn encoded_record(action: Action, state: &State, log: &[Vec<u8>]) -> Option<Vec<u8>> {
    let signers = signers();
    let number = log.len() as u64;
    let base = state
        .active_certificate()
        .map(|certificate| certificate.bundle.as_ref().clone());
    let base_version = base.as_ref().map_or(0, Bundle::version);
    let pending_bundle = || {
        state
            .proposals()
            .values()
            .next_back()
            .map(|proposal| proposal.bundle.as_ref().clone())
    };
    let signer = |index: u8| -> &Signer { &signers[usize::from(index)] };
    let body = match action {
        Action::Publish {
            operator,
            skipped_versions,
            variant,
        } => {
            let new_bundle = bundle(base_version + 1 + u64::from(skipped_versions), u32::from(variant));
            signer(operator).publish(base.as_ref(), &new_bundle)
        }
        Action::Approve { operator } => signer(operator).approve(base_version, &pending_bundle()?),
        Action::Roll { operator } => signer(operator).roll(base_version, &pending_bundle()?),
        Action::Claim { node } => RecordBody::Claim(Claim {
            duty: Duty::Placer("lark-a".to_owned()),
            node: node.to_string(),
            incarnation: 1,
            superseded_fence: state
                .holder(&Duty::Placer("lark-a".to_owned()))
                .map_or(0, |holder| holder.fence),
        }),
        Action::Duplicate { distance } => return log.get(usize::from(distance) % log.len().max(1)).cloned(),
        Action::Damage { distance } => {
            let mut data = log.get(usize::from(distance) % log.len().max(1))?.clone();
            let middle = data.len() / 2;
            data[middle] ^= 0x55;
            return Some(data);
        }
        Action::Forge { operator } => forged(signer(operator), &bundle(base_version + 1, 1), base.as_ref()),
        Action::Snapshot => RecordBody::Snapshot(Snapshot {
            head: state.head(),
            chain_digest: state.chain_digest(),
            image: state.image().encode(),
        }),
    };
    Some(record(number, body))
}

/// A publish record whose author is not the operator who signed it.
fn forged(signer: &Signer, next: &Bundle, base: Option<&Bundle>) -> RecordBody {
    let mut body = signer.publish(base, next);
    if let RecordBody::Publish(publish) = &mut body {
        let other = if signer.name == "alice" { "bob" } else { "alice" };
        publish.author = String::from(other);
    }
    body
}

fn fold(log: &[Vec<u8>]) -> State {
    let mut state = State::new(operators());
    for (offset, data) in log.iter().enumerate() {
        state.apply(offset as u64, data);
    }
    state
}

fn batch(log: &[Vec<u8>], from: usize, earliest: usize) -> Batch {
    let entries = log
        .iter()
        .enumerate()
        .skip(from.max(earliest))
        .map(|(offset, data)| LogEntry {
            offset: offset as u64,
            data: Bytes::from(data.clone()),
        });
    Batch {
        earliest: earliest as u64,
        next: log.len() as u64,
        entries: entries.collect(),
    }
}

fn is_same_state(left: &State, right: &State) -> bool {
    left.chain_digest() == right.chain_digest() && left.image() == right.image()
}

fn check(property: fn(History) -> bool, seed: u64, tests: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(tests)
        .quickcheck(property);
}

#[test]
fn versions_never_decrease() {
    fn never_decrease(history: History) -> bool {
        let log = write(&history);
        let mut state = State::new(operators());
        let mut version = 0;
        for (offset, data) in log.iter().enumerate() {
            state.apply(offset as u64, data);
            let Some(certificate) = state.active_certificate() else {
                continue;
            };
            let is_approved =
                certificate.verify(&operators()).is_ok() && certificate.approval.author != certificate.publisher;
            if certificate.bundle.version() < version || !is_approved {
                return false;
            }
            version = certificate.bundle.version();
        }
        true
    }
    check(never_decrease, 21, 400);
}

#[test]
fn histories_activate_bundles() {
    // The other properties would pass vacuously if the generated histories rarely activated a bundle.
    let mut g = Gen::from_size_and_seed(40, 22);
    let rolled = (0..100)
        .filter(|_| fold(&write(&History::arbitrary(&mut g))).active_certificate().is_some())
        .count();
    assert!(rolled > 20, "only {rolled} of 100 histories rolled a bundle");
}

/// Readers that receive duplicates, old batches and batches with gaps reach the same state.
#[test]
fn readers_reach_same_state() {
    fn agree(history: History) -> bool {
        let log = write(&history);
        let expected = fold(&log);
        let mut reader = Reader::new(operators());
        for (index, (_, lag)) in history.0.iter().enumerate() {
            let end = index.min(log.len());
            let from = end.saturating_sub(usize::from(*lag) % 7);
            let mut read = batch(&log[..end], from, 0);
            if lag % 5 == 0 && !read.entries.is_empty() {
                read.entries.remove(0);
            }
            if reader.fold(&read, |_, _| {}, |_| {}).is_err() {
                return false;
            }
        }
        let complete = batch(&log, 0, 0);
        reader.fold(&complete, |_, _| {}, |_| {}).is_ok() && is_same_state(reader.state(), &expected)
    }
    check(agree, 23, 300);
}

/// After any truncation of the log, a new reader reaches the same state from a snapshot or returns an error.
#[test]
fn snapshot_covers_expired_records() {
    fn covers(history: History) -> bool {
        let log = write(&history);
        let expected = fold(&log);
        (0..log.len()).all(|earliest| {
            let mut reader = Reader::new(operators());
            let read = batch(&log, 0, earliest);
            match reader.fold(&read, |_, _| {}, |_| {}) {
                Ok(_) => is_same_state(reader.state(), &expected),
                Err(_) => reader.state().head() == 0,
            }
        })
    }
    check(covers, 24, 100);
}

#[test]
fn differing_snapshot_is_reported() {
    let mut state = State::new(operators());
    let first = bundle(1, 0);
    state.apply(0, &record(0, signers()[0].publish(None, &first)));
    let snapshot = Snapshot {
        head: 1,
        chain_digest: [9; 32],
        image: Vec::new(),
    };
    let outcome = state.apply(1, &record(1, RecordBody::Snapshot(snapshot)));
    assert_eq!(outcome.verdict, Verdict::SnapshotDiffers);
}

#[test]
fn duplicate_has_no_effect() {
    let mut state = State::new(operators());
    let claim = |over| {
        RecordBody::Claim(Claim {
            duty: Duty::Placer("lark-a".to_owned()),
            node: "entry-0".to_owned(),
            incarnation: 1,
            superseded_fence: over,
        })
    };
    let first = record(1, claim(0));
    assert_eq!(state.apply(0, &first).verdict, Verdict::Accepted);
    assert_eq!(state.apply(1, &record(2, claim(1))).verdict, Verdict::Accepted);
    assert_eq!(state.apply(2, &first).verdict, Verdict::Duplicate);
    let duty = Duty::Placer("lark-a".to_owned());
    assert_eq!(state.holder(&duty).map(|holder| holder.fence), Some(2));
}

#[test]
fn refusal_names_winner() {
    let signers = signers();
    let mut state = State::new(operators());
    let first_published = bundle(1, 0);
    let second_published = bundle(1, 1);
    state.apply(0, &record(0, signers[0].publish(None, &first_published)));
    let outcome = state.apply(1, &record(1, signers[1].publish(None, &second_published)));
    let Verdict::Refused(refusal) = outcome.verdict else {
        panic!("the second publication of a version must be rejected");
    };
    assert_eq!(
        refusal,
        Refusal::VersionTaken {
            version: 1,
            author: "alice".to_owned(),
            offset: 0
        }
    );
    let other_content = state.apply(2, &record(2, signers[1].approve(0, &second_published)));
    assert!(matches!(
        other_content.verdict,
        Verdict::Refused(Refusal::OtherContent { .. })
    ));
    let self_approval = state.apply(3, &record(3, signers[0].approve(0, &first_published)));
    assert!(matches!(
        self_approval.verdict,
        Verdict::Refused(Refusal::SelfApproval { .. })
    ));
    let unapproved_roll = state.apply(4, &record(4, signers[0].roll(0, &first_published)));
    assert!(matches!(
        unapproved_roll.verdict,
        Verdict::Refused(Refusal::NotApproved { .. })
    ));
    assert_eq!(
        state
            .apply(5, &record(5, signers[1].approve(0, &first_published)))
            .verdict,
        Verdict::Accepted
    );
    assert_eq!(
        state.apply(6, &record(6, signers[2].roll(0, &first_published))).verdict,
        Verdict::Accepted
    );
    let repeated_roll = state.apply(7, &record(7, signers[0].roll(0, &first_published)));
    assert!(matches!(
        repeated_roll.verdict,
        Verdict::Refused(Refusal::NotNewer { .. })
    ));
}

#[test]
fn older_or_untrusted_image_is_rejected() {
    let signers = signers();
    let first = bundle(1, 0);
    let second = bundle(2, 1);
    let log = [
        record(0, signers[0].publish(None, &first)),
        record(1, signers[1].approve(0, &first)),
        record(2, signers[0].roll(0, &first)),
        record(3, signers[0].publish(Some(&first), &second)),
        record(4, signers[1].approve(1, &second)),
        record(5, signers[0].roll(1, &second)),
    ];
    let old_image = fold(&log[..3]).image().encode();
    let mut reader = Reader::new(operators());
    let adopted = reader.adopt(&fold(&log).image().encode());
    assert_eq!(adopted, Ok(()));
    assert!(
        reader.adopt(&old_image).is_err(),
        "a peer's older state must not restore an older bundle version"
    );
    let mut ahead = Reader::new(operators());
    assert_eq!(ahead.adopt(&fold(&log[..5]).image().encode()), Ok(()));
    assert!(
        ahead.adopt(&fold(&log[..4]).image().encode()).is_err(),
        "the image has the same version but lacks folded records"
    );
    let untrusted = Reader::new(operators().into_iter().rev().take(1).collect()).adopt(&old_image);
    assert!(
        untrusted.is_err(),
        "an image signed by unknown operators must be rejected"
    );
}
