//! Measures the fold of the log at the size that the system is designed for: time, bytes and memory.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use sparscale_bundle::{Bundle, KeyHash, Operator, Workspace};
use sparscale_journal::{Batch, Binding, BindingKey, Claim, Duty, LogEntry, Reader, Record, RecordBody};

use crate::operators::Operators;
use crate::route;
use crate::usage::{fit_line, resident_mib};

const RECORD_COUNT: u64 = 10_000;
const WORKSPACE_COUNT: usize = 8_500;

/// Returns a bundle with 20 groups of 64 ranks, `workspace_count` workspaces and the given operators.
pub(crate) fn large_bundle(workspace_count: usize, operators: Vec<Operator>) -> Result<Bundle, String> {
    let mut document = route::bundle(20, 64)?.to_document();
    document.fleet.operators = operators;
    document.workspaces = (0..workspace_count).map(workspace).collect();
    Bundle::try_from(document).map_err(|error| error.to_string())
}

fn workspace(index: usize) -> Workspace {
    Workspace {
        name: format!("workspace-{index}"),
        tier: "gold".to_owned(),
        weight: 1,
        key_hashes: vec![KeyHash::of(&format!("key-{index}"))],
        in_flight: 100,
    }
}

/// Returns the next version of `bundle`, with the weight of one workspace changed.
pub(crate) fn next_version(bundle: &Bundle) -> Result<Bundle, String> {
    let version = bundle.version() + 1;
    let mut changed = workspace(version as usize % WORKSPACE_COUNT.min(100));
    changed.weight = 2 + (version % 100) as u32;
    let delta = sparscale_bundle::Delta {
        changes: vec![sparscale_bundle::Change::PutWorkspace(changed)],
    };
    delta.apply(bundle, version).map_err(|error| error.to_string())
}

fn batch(records: &[Vec<u8>]) -> Batch {
    let entries = records.iter().enumerate().map(|(offset, data)| LogEntry {
        offset: offset as u64,
        data: Bytes::from(data.clone()),
    });
    Batch {
        earliest: 0,
        next: records.len() as u64,
        entries: entries.collect(),
    }
}

/// Returns a log of at least [`RECORD_COUNT`] records, which starts with the rollout of a large bundle.
///
/// Groups of three records follow. Every `change_interval`th group rolls out an operator's change; the others hold
/// claims and bindings.
fn build_log(operators: &Operators, workspace_count: usize, change_interval: u64) -> Result<Vec<Vec<u8>>, String> {
    let mut bundle = large_bundle(workspace_count, operators.public_operators())?;
    let mut records: Vec<Vec<u8>> = operators
        .rollout_records(None, &bundle)
        .into_iter()
        .map(encode)
        .collect();
    let mut group_number = 0;
    while (records.len() as u64) < RECORD_COUNT {
        group_number += 1;
        if group_number % change_interval == 0 {
            let next = next_version(&bundle)?;
            records.extend(operators.rollout_records(Some(&bundle), &next).into_iter().map(encode));
            bundle = next;
        } else {
            records.extend((0..3).map(|index_in_group| encode(small_record(group_number * 3 + index_in_group))));
        }
    }
    Ok(records)
}

/// Returns a small record: one in ten is a claim, the others are bindings.
fn small_record(number: u64) -> RecordBody {
    if number.is_multiple_of(10) {
        return RecordBody::Claim(Claim {
            duty: Duty::Placer(format!("group-{}", number % 20)),
            node: "entry-1".to_owned(),
            incarnation: number,
            superseded_fence: 0,
        });
    }
    RecordBody::Bind(Binding {
        key: BindingKey::new("teal", &number.to_string()),
        target: "rank-0-0".to_owned(),
        incarnation: 1,
        body_hash: [0; 32],
    })
}

fn encode(body: RecordBody) -> Vec<u8> {
    Record::new(body).encode()
}

/// Returns the time to fold `records`, in milliseconds.
fn fold_ms(operators: &Operators, records: &[Vec<u8>]) -> Result<f64, String> {
    let batch = batch(records);
    let mut reader = Reader::new(operators.public_operators());
    let started = Instant::now();
    reader
        .fold(&batch, |_, _| {}, |_| {})
        .map_err(|error| error.to_string())?;
    Ok(started.elapsed().as_secs_f64() * 1_000.0)
}

pub(crate) fn run() -> Result<(), String> {
    let operators = Operators::new();
    println!("fold of {RECORD_COUNT} records at {WORKSPACE_COUNT} workspaces, 1,280 targets");
    for (name, change_interval) in [
        ("one record in 20 an operator's", 20),
        ("one in 5", 5),
        ("every record an operator's", 1),
    ] {
        let records = build_log(&operators, WORKSPACE_COUNT, change_interval)?;
        println!("{name:<34}{:>10.1} ms", fold_ms(&operators, &records)?);
    }
    println!("\none change of one workspace: bytes of its publish record, time to apply");
    let mut points = Vec::new();
    for workspace_count in [1_000, 2_000, 4_000, 8_500] {
        let bundle = large_bundle(workspace_count, operators.public_operators())?;
        let next = next_version(&bundle)?;
        let delta_record = encode(operators.publish_record(Some(&bundle), &next));
        let whole_record = encode(operators.publish_record(None, &next));
        let started = Instant::now();
        for _ in 0..200 {
            std::hint::black_box(next_version(&bundle)?.hash());
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / 200.0;
        println!(
            "{workspace_count:>7} workspaces: delta {:>6} B, whole {:>9} B, apply {micros:>7.1} µs",
            delta_record.len(),
            whole_record.len()
        );
        points.push((workspace_count as f64, micros));
    }
    println!("slope {:.4} µs a workspace", fit_line(&points).0);
    print_memory_per_state(&operators)
}

/// Prints the memory that one folded state takes, as the slope between eight and sixteen of them.
fn print_memory_per_state(operators: &Operators) -> Result<(), String> {
    let own_pid = std::process::id();
    let records: Vec<Vec<u8>> = {
        let bundle = large_bundle(WORKSPACE_COUNT, operators.public_operators())?;
        operators
            .rollout_records(None, &bundle)
            .into_iter()
            .map(encode)
            .collect()
    };
    let first_readers: Result<Vec<Arc<Reader>>, String> = (0..8)
        .map(|_| {
            let mut reader = Reader::new(operators.public_operators());
            reader
                .fold(&batch(&records), |_, _| {}, |_| {})
                .map_err(|error| error.to_string())?;
            Ok(Arc::new(reader))
        })
        .collect();
    let mib_with_eight = resident_mib(own_pid)?;
    let first_readers = first_readers?;
    let second_readers: Result<Vec<Reader>, String> = (0..8)
        .map(|_| {
            let mut reader = Reader::new(operators.public_operators());
            reader
                .fold(&batch(&records), |_, _| {}, |_| {})
                .map_err(|error| error.to_string())?;
            Ok(reader)
        })
        .collect();
    let mib_with_sixteen = resident_mib(own_pid)?;
    println!(
        "\nmemory of one folded state at {WORKSPACE_COUNT} workspaces: {:.1} MiB (slope over {} and {} states)",
        (mib_with_sixteen - mib_with_eight) / 8.0,
        first_readers.len(),
        first_readers.len() + second_readers?.len()
    );
    Ok(())
}
