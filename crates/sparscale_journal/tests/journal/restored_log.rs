//! A log is restored from an older copy and then grows beyond the head of a process that had folded the lost records.
//!
//! The offsets do not show that the records after the copy were replaced. The next snapshot does, because it carries
//! the digest of the whole chain.

use bytes::Bytes;
use sparscale_journal::{Alarm, Batch, LogEntry, Reader, RecordBody, Snapshot, State};

use crate::common::{bundle, operators, record, signers};

/// Records that the restored copy contains.
const RESTORED_RECORDS: usize = 2;

fn history(variant: u32) -> Vec<Vec<u8>> {
    let first = bundle(1, 0);
    let second = bundle(2, variant);
    let signers = signers();
    let bodies = [
        signers[0].publish(None, &first),
        signers[1].approve(0, &first),
        signers[0].publish(Some(&first), &second),
        signers[1].approve(1, &second),
    ];
    let numbered = bodies.into_iter().enumerate();
    let number = |index: usize| {
        if index < RESTORED_RECORDS {
            index
        } else {
            index + 10 * variant as usize
        }
    };
    numbered
        .map(|(index, body)| record(number(index) as u64, body))
        .collect()
}

fn batch(log: &[Vec<u8>], from: usize) -> Batch {
    let entries = log.iter().enumerate().skip(from).map(|(offset, data)| LogEntry {
        offset: offset as u64,
        data: Bytes::from(data.clone()),
    });
    Batch {
        earliest: 0,
        next: log.len() as u64,
        entries: entries.collect(),
    }
}

/// Appends the snapshot that a process writes after it has folded all of `log`.
fn with_snapshot(mut log: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let mut state = State::new(operators());
    for (offset, data) in log.iter().enumerate() {
        state.apply(offset as u64, data);
    }
    let image = state.image();
    let snapshot = Snapshot {
        head: image.head(),
        chain_digest: state.chain_digest(),
        image: image.encode(),
    };
    log.push(record(99, RecordBody::Snapshot(snapshot)));
    log
}

/// Returns the alarms of a process that has folded `known` and then reads on in `log`.
fn alarms(known: &[Vec<u8>], log: &[Vec<u8>]) -> Vec<Alarm> {
    let mut reader = Reader::new(operators());
    let mut alarms = Vec::new();
    reader
        .fold(&batch(known, 0), |_, _| {}, |_| {})
        .expect("the original log folds");
    reader
        .fold(&batch(log, known.len()), |_, _| {}, |alarm| alarms.push(alarm))
        .expect("the restored log folds");
    alarms
}

#[test]
fn snapshot_reveals_restored_log() {
    let before = history(1);
    let after = with_snapshot(history(2));
    assert_eq!(
        before[..RESTORED_RECORDS],
        after[..RESTORED_RECORDS],
        "both logs must share the restored records"
    );
    let raised = alarms(&before, &after);
    assert!(
        matches!(raised[..], [Alarm::SnapshotDiffers { offset: 4 }]),
        "{raised:?}"
    );
}

#[test]
fn unchanged_log_raises_no_alarm() {
    let raised = alarms(&history(1), &with_snapshot(history(1)));
    assert!(raised.is_empty(), "{raised:?}");
}
