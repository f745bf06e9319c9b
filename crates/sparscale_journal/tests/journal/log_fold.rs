//! The fold: the same state everywhere, versions only rise, nothing unapproved comes in force.
#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use crate::common::{Signer, bundle, operators, record, signers};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_bundle::Bundle;
use sparscale_journal::{Batch, Body, Claim, Duty, Entry, Reader, Refusal, Snapshot, State, Verdict};

/// What an operator or process does next, on the state that it last saw.
#[derive(Clone, Copy, Debug)]
enum Act {
    Publish { operator: u8, ahead: u8, flavour: u8 },
    Approve { operator: u8 },
    Roll { operator: u8 },
    Claim { node: u8 },
    Copy { back: u8 },
    Damage { back: u8 },
    Forge { operator: u8 },
    Snapshot,
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let operator = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Publish {
                operator,
                ahead: u8::arbitrary(g) % 3,
                flavour: u8::arbitrary(g) % 4,
            },
            4..8 => Self::Approve { operator },
            8..11 => Self::Roll { operator },
            11 => Self::Claim { node: operator },
            12 => Self::Copy { back: u8::arbitrary(g) },
            13 => Self::Damage { back: u8::arbitrary(g) },
            14 => Self::Forge { operator },
            _ => Self::Snapshot,
        }
    }
}

/// A history: acts, each on a state that may lag behind by some records.
#[derive(Clone, Debug)]
struct History(Vec<(Act, u8)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Vec::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(History))
    }
}

/// Lets every act happen and returns the log that comes of it.
fn write(history: &History) -> Vec<Vec<u8>> {
    let mut log: Vec<Vec<u8>> = Vec::new();
    for (act, lag) in &history.0 {
        let seen = log.len().saturating_sub(usize::from(lag % 4));
        let state = fold(&log[..seen]);
        if let Some(data) = data_of(*act, &state, &log) {
            log.push(data);
        }
    }
    log
}

fn data_of(act: Act, state: &State, log: &[Vec<u8>]) -> Option<Vec<u8>> {
    let signers = signers();
    let number = log.len() as u64;
    let base = state.in_force().map(|certificate| certificate.bundle.as_ref().clone());
    let base_version = base.as_ref().map_or(0, Bundle::version);
    let waiting = || {
        state
            .proposals()
            .values()
            .next_back()
            .map(|proposal| proposal.bundle.as_ref().clone())
    };
    let signer = |index: u8| -> &Signer { &signers[usize::from(index)] };
    let body = match act {
        Act::Publish {
            operator,
            ahead,
            flavour,
        } => {
            let next = bundle(base_version + 1 + u64::from(ahead), u32::from(flavour));
            signer(operator).publish(base.as_ref(), &next)
        }
        Act::Approve { operator } => signer(operator).approve(base_version, &waiting()?),
        Act::Roll { operator } => signer(operator).roll(base_version, &waiting()?),
        Act::Claim { node } => Body::Claim(Claim {
            duty: Duty::Placer("lark-a".to_owned()),
            node: node.to_string(),
            incarnation: 1,
            over: state
                .holder(&Duty::Placer("lark-a".to_owned()))
                .map_or(0, |holder| holder.fence),
        }),
        Act::Copy { back } => return log.get(usize::from(back) % log.len().max(1)).cloned(),
        Act::Damage { back } => {
            let mut data = log.get(usize::from(back) % log.len().max(1))?.clone();
            let middle = data.len() / 2;
            data[middle] ^= 0x55;
            return Some(data);
        }
        Act::Forge { operator } => forged(signer(operator), &bundle(base_version + 1, 1), base.as_ref()),
        Act::Snapshot => Body::Snapshot(Snapshot {
            at: state.head(),
            chain: state.chain(),
            image: state.image().encode(),
        }),
    };
    Some(record(number, body))
}

/// A publish record under another operator's name.
fn forged(signer: &Signer, next: &Bundle, base: Option<&Bundle>) -> Body {
    let mut body = signer.publish(base, next);
    if let Body::Publish(publish) = &mut body {
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
        .map(|(offset, data)| Entry {
            offset: offset as u64,
            data: Bytes::from(data.clone()),
        });
    Batch {
        earliest: earliest as u64,
        next: log.len() as u64,
        entries: entries.collect(),
    }
}

fn same(left: &State, right: &State) -> bool {
    left.chain() == right.chain() && left.image() == right.image()
}

fn check(property: fn(History) -> bool, seed: u64, tests: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(tests)
        .quickcheck(property);
}

#[test]
fn versions_rise() {
    fn rise(history: History) -> bool {
        let log = write(&history);
        let mut state = State::new(operators());
        let mut version = 0;
        for (offset, data) in log.iter().enumerate() {
            state.apply(offset as u64, data);
            let Some(certificate) = state.in_force() else { continue };
            let approved =
                certificate.verify(&operators()).is_ok() && certificate.approval.author != certificate.publisher;
            if certificate.bundle.version() < version || !approved {
                return false;
            }
            version = certificate.bundle.version();
        }
        true
    }
    check(rise, 21, 400);
}

#[test]
fn bundles_come_in_force() {
    // Guards the other properties: histories that never roll anything would prove nothing.
    let mut g = Gen::from_size_and_seed(40, 22);
    let rolled = (0..100)
        .filter(|_| fold(&write(&History::arbitrary(&mut g))).in_force().is_some())
        .count();
    assert!(rolled > 20, "only {rolled} of 100 histories rolled a bundle");
}

/// Readers that see copies, old batches again and holes end in the same state.
#[test]
fn readers_agree() {
    fn agree(history: History) -> bool {
        let log = write(&history);
        let whole = fold(&log);
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
        let rest = batch(&log, 0, 0);
        reader.fold(&rest, |_, _| {}, |_| {}).is_ok() && same(reader.state(), &whole)
    }
    check(agree, 23, 300);
}

/// After any truncation, a new reader starts from a snapshot to the same state, or says that it cannot.
#[test]
fn snapshot_bridges() {
    fn bridge(history: History) -> bool {
        let log = write(&history);
        let whole = fold(&log);
        (0..log.len()).all(|earliest| {
            let mut reader = Reader::new(operators());
            let read = batch(&log, 0, earliest);
            match reader.fold(&read, |_, _| {}, |_| {}) {
                Ok(_) => same(reader.state(), &whole),
                Err(_) => reader.state().head() == 0,
            }
        })
    }
    check(bridge, 24, 100);
}

#[test]
fn differing_snapshot() {
    let mut state = State::new(operators());
    let first = bundle(1, 0);
    state.apply(0, &record(0, signers()[0].publish(None, &first)));
    let snapshot = Snapshot {
        at: 1,
        chain: [9; 32],
        image: Vec::new(),
    };
    let outcome = state.apply(1, &record(1, Body::Snapshot(snapshot)));
    assert_eq!(outcome.verdict, Verdict::SnapshotDiffers);
}

#[test]
fn copy_counts_once() {
    let mut state = State::new(operators());
    let claim = |over| {
        Body::Claim(Claim {
            duty: Duty::Placer("lark-a".to_owned()),
            node: "entry-0".to_owned(),
            incarnation: 1,
            over,
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
fn loser_learns_winner() {
    let signers = signers();
    let mut state = State::new(operators());
    let theirs = bundle(1, 0);
    let ours = bundle(1, 1);
    state.apply(0, &record(0, signers[0].publish(None, &theirs)));
    let outcome = state.apply(1, &record(1, signers[1].publish(None, &ours)));
    let Verdict::Refused(refusal) = outcome.verdict else {
        panic!("the second publish of a version is refused");
    };
    assert_eq!(
        refusal,
        Refusal::VersionTaken {
            version: 1,
            author: "alice".to_owned(),
            offset: 0
        }
    );
    let other_content = state.apply(2, &record(2, signers[1].approve(0, &ours)));
    assert!(matches!(
        other_content.verdict,
        Verdict::Refused(Refusal::OtherContent { .. })
    ));
    let own = state.apply(3, &record(3, signers[0].approve(0, &theirs)));
    assert!(matches!(own.verdict, Verdict::Refused(Refusal::SelfApproval { .. })));
    let early = state.apply(4, &record(4, signers[0].roll(0, &theirs)));
    assert!(matches!(early.verdict, Verdict::Refused(Refusal::NotApproved { .. })));
    assert_eq!(
        state.apply(5, &record(5, signers[1].approve(0, &theirs))).verdict,
        Verdict::Accepted
    );
    assert_eq!(
        state.apply(6, &record(6, signers[2].roll(0, &theirs))).verdict,
        Verdict::Accepted
    );
    let again = state.apply(7, &record(7, signers[0].roll(0, &theirs)));
    assert!(matches!(again.verdict, Verdict::Refused(Refusal::NotNewer { .. })));
}

#[test]
fn older_image_refused() {
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
    let old = fold(&log[..3]).image().encode();
    let mut reader = Reader::new(operators());
    let adopted = reader.adopt(&fold(&log).image().encode());
    assert_eq!(adopted, Ok(()));
    assert!(
        reader.adopt(&old).is_err(),
        "a peer's older state must not bring an older version back"
    );
    let mut ahead = Reader::new(operators());
    assert_eq!(ahead.adopt(&fold(&log[..5]).image().encode()), Ok(()));
    assert!(
        ahead.adopt(&fold(&log[..4]).image().encode()).is_err(),
        "same version, but records would be lost"
    );
    let stranger = Reader::new(operators().into_iter().rev().take(1).collect()).adopt(&old);
    assert!(stranger.is_err(), "an image signed by unknown operators is refused");
}
