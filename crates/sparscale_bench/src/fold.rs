//! The log's fold: time, bytes and memory at the size that the system is designed for.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use sparscale_bundle::{Bundle, KeyHash, Operator, Workspace};
use sparscale_journal::{Batch, Binding, BindingKey, Body, Claim, Duty, Entry, Reader, Record};

use crate::operators::Operators;
use crate::route;
use crate::usage::{line, resident_mib};

const RECORDS: u64 = 10_000;
const WORKSPACES: usize = 8_500;

/// A bundle with 20 groups of 64 ranks and `workspaces` workspaces, signed for by `operators`.
pub(crate) fn large_bundle(workspaces: usize, operators: Vec<Operator>) -> Result<Bundle, String> {
    let mut document = route::bundle(20, 64)?.to_document();
    document.fleet.operators = operators;
    document.workspaces = (0..workspaces).map(workspace).collect();
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

/// The next version, with one workspace's weight changed.
pub(crate) fn next_version(bundle: &Bundle) -> Result<Bundle, String> {
    let version = bundle.version() + 1;
    let mut changed = workspace(version as usize % WORKSPACES.min(100));
    changed.weight = 2 + (version % 100) as u32;
    let delta = sparscale_bundle::Delta {
        changes: vec![sparscale_bundle::Change::PutWorkspace(changed)],
    };
    delta.apply(bundle, version).map_err(|error| error.to_string())
}

fn batch(records: &[Vec<u8>]) -> Batch {
    let entries = records.iter().enumerate().map(|(offset, data)| Entry {
        offset: offset as u64,
        data: Bytes::from(data.clone()),
    });
    Batch {
        earliest: 0,
        next: records.len() as u64,
        entries: entries.collect(),
    }
}

/// A log that starts with a large bundle; after it one record in `every` group of three is an operator's change.
fn history(operators: &Operators, workspaces: usize, every: u64) -> Result<Vec<Vec<u8>>, String> {
    let mut bundle = large_bundle(workspaces, operators.public())?;
    let mut records: Vec<Vec<u8>> = operators.rollout(None, &bundle).into_iter().map(encode).collect();
    let mut turn = 0;
    while (records.len() as u64) < RECORDS {
        turn += 1;
        if turn % every == 0 {
            let next = next_version(&bundle)?;
            records.extend(operators.rollout(Some(&bundle), &next).into_iter().map(encode));
            bundle = next;
        } else {
            records.extend((0..3).map(|part| encode(small(turn * 3 + part))));
        }
    }
    Ok(records)
}

fn small(number: u64) -> Body {
    if number.is_multiple_of(10) {
        return Body::Claim(Claim {
            duty: Duty::Placer(format!("group-{}", number % 20)),
            node: "entry-1".to_owned(),
            incarnation: number,
            over: 0,
        });
    }
    Body::Bind(Binding {
        key: BindingKey::new("teal", &number.to_string()),
        target: "rank-0-0".to_owned(),
        incarnation: 1,
        body: [0; 32],
    })
}

fn encode(body: Body) -> Vec<u8> {
    Record::new(body).encode()
}

fn fold_ms(operators: &Operators, records: &[Vec<u8>]) -> Result<f64, String> {
    let batch = batch(records);
    let mut reader = Reader::new(operators.public());
    let began = Instant::now();
    reader
        .fold(&batch, |_, _| {}, |_| {})
        .map_err(|error| error.to_string())?;
    Ok(began.elapsed().as_secs_f64() * 1_000.0)
}

pub(crate) fn run() -> Result<(), String> {
    let operators = Operators::new();
    println!("fold of {RECORDS} records at {WORKSPACES} workspaces, 1,280 targets");
    for (name, every) in [
        ("one record in 20 an operator's", 20),
        ("one in 5", 5),
        ("every record an operator's", 1),
    ] {
        let records = history(&operators, WORKSPACES, every)?;
        println!("{name:<34}{:>10.1} ms", fold_ms(&operators, &records)?);
    }
    println!("\none change of one workspace: bytes of its publish record, time to apply");
    let mut points = Vec::new();
    for workspaces in [1_000, 2_000, 4_000, 8_500] {
        let bundle = large_bundle(workspaces, operators.public())?;
        let next = next_version(&bundle)?;
        let delta = encode(operators.publish(Some(&bundle), &next));
        let whole = encode(operators.publish(None, &next));
        let began = Instant::now();
        for _ in 0..200 {
            std::hint::black_box(next_version(&bundle)?.hash());
        }
        let micros = began.elapsed().as_secs_f64() * 1e6 / 200.0;
        println!(
            "{workspaces:>7} workspaces: delta {:>6} B, whole {:>9} B, apply {micros:>7.1} µs",
            delta.len(),
            whole.len()
        );
        points.push((workspaces as f64, micros));
    }
    println!("slope {:.4} µs a workspace", line(&points).0);
    memory(&operators)
}

fn memory(operators: &Operators) -> Result<(), String> {
    let own = std::process::id();
    let records: Vec<Vec<u8>> = {
        let bundle = large_bundle(WORKSPACES, operators.public())?;
        operators.rollout(None, &bundle).into_iter().map(encode).collect()
    };
    let readers: Result<Vec<Arc<Reader>>, String> = (0..8)
        .map(|_| {
            let mut reader = Reader::new(operators.public());
            reader
                .fold(&batch(&records), |_, _| {}, |_| {})
                .map_err(|error| error.to_string())?;
            Ok(Arc::new(reader))
        })
        .collect();
    let with_eight = resident_mib(own)?;
    let readers = readers?;
    let more: Result<Vec<Reader>, String> = (0..8)
        .map(|_| {
            let mut reader = Reader::new(operators.public());
            reader
                .fold(&batch(&records), |_, _| {}, |_| {})
                .map_err(|error| error.to_string())?;
            Ok(reader)
        })
        .collect();
    let with_sixteen = resident_mib(own)?;
    println!(
        "\nmemory of one folded state at {WORKSPACES} workspaces: {:.1} MiB (slope over {} and {} states)",
        (with_sixteen - with_eight) / 8.0,
        readers.len(),
        readers.len() + more?.len()
    );
    Ok(())
}
