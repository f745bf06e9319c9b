//! A log that is restored from an older copy and has grown past what a process had folded.
//!
//! Nothing in its offsets shows that: the records between the copy and the process's head were replaced. The next snapshot
//! does, since it carries the digest of the whole chain.

use bytes::Bytes;
use sparscale_journal::{Alarm, Batch, Body, Entry, Reader, Snapshot, State};

use crate::common::{bundle, operators, record, signers};

/// Records that the copy still had.
const COPIED: usize = 2;

fn history(flavour: u32) -> Vec<Vec<u8>> {
    let first = bundle(1, 0);
    let second = bundle(2, flavour);
    let signers = signers();
    let bodies = [
        signers[0].publish(None, &first),
        signers[1].approve(0, &first),
        signers[0].publish(Some(&first), &second),
        signers[1].approve(1, &second),
    ];
    let numbered = bodies.into_iter().enumerate();
    let number = |index: usize| {
        if index < COPIED {
            index
        } else {
            index + 10 * flavour as usize
        }
    };
    numbered
        .map(|(index, body)| record(number(index) as u64, body))
        .collect()
}

fn batch(log: &[Vec<u8>], from: usize) -> Batch {
    let entries = log.iter().enumerate().skip(from).map(|(offset, data)| Entry {
        offset: offset as u64,
        data: Bytes::from(data.clone()),
    });
    Batch {
        earliest: 0,
        next: log.len() as u64,
        entries: entries.collect(),
    }
}

/// The log's digest of all its records, as a process appends it that has folded them.
fn with_snapshot(mut log: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let mut state = State::new(operators());
    for (offset, data) in log.iter().enumerate() {
        state.apply(offset as u64, data);
    }
    let image = state.image();
    let snapshot = Snapshot {
        at: image.head(),
        chain: state.chain(),
        image: image.encode(),
    };
    log.push(record(99, Body::Snapshot(snapshot)));
    log
}

/// The alarms of a process that has folded `known`, and then reads on in `log`.
fn alarms(known: &[Vec<u8>], log: &[Vec<u8>]) -> Vec<Alarm> {
    let mut reader = Reader::new(operators());
    let mut alarms = Vec::new();
    reader
        .fold(&batch(known, 0), |_, _| {}, |_| {})
        .expect("the log as it was");
    reader
        .fold(&batch(log, known.len()), |_, _| {}, |alarm| alarms.push(alarm))
        .expect("the log as it is");
    alarms
}

#[test]
fn snapshot_tells() {
    let before = history(1);
    let after = with_snapshot(history(2));
    assert_eq!(before[..COPIED], after[..COPIED], "the copy");
    let told = alarms(&before, &after);
    assert!(matches!(told[..], [Alarm::SnapshotDiffers { offset: 4 }]), "{told:?}");
}

#[test]
fn same_log_silent() {
    let told = alarms(&history(1), &with_snapshot(history(1)));
    assert!(told.is_empty(), "{told:?}");
}
