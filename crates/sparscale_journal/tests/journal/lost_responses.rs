//! An append whose request or response is lost takes effect at most once, and the writer reports its outcome correctly.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{bundle, operators, signers};
use async_trait::async_trait;
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_journal::{Batch, Log, LogEntry, LogError, Reader, Receipt, Record, SubmitOutcome, Verdict, Writer};
use tokio::time::Instant;

/// Behavior of the log in one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Respond,
    Reject,
    LoseRequest,
    LoseResponse,
}

impl Arbitrary for Behavior {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [Self::Respond, Self::Reject, Self::LoseRequest, Self::LoseResponse];
        *g.choose(&all).expect("not empty")
    }
}

/// An in-memory log that takes the behavior of each call from a list, and responds normally once the list is empty.
struct FaultyLog {
    records: Mutex<Vec<Bytes>>,
    appends: Mutex<Vec<Behavior>>,
    reads: Mutex<Vec<Behavior>>,
}

impl FaultyLog {
    fn next_behavior(behaviors: &Mutex<Vec<Behavior>>) -> Behavior {
        behaviors.lock().expect("no panic").pop().unwrap_or(Behavior::Respond)
    }
}

fn lost() -> LogError {
    LogError::Lost {
        message: "lost by the test".to_owned(),
    }
}

fn refused() -> LogError {
    LogError::Refused {
        message: "refused by the test".to_owned(),
    }
}

#[async_trait]
impl Log for FaultyLog {
    async fn append(&self, data: Bytes) -> Result<u64, LogError> {
        let behavior = Self::next_behavior(&self.appends);
        match behavior {
            Behavior::Reject => return Err(refused()),
            Behavior::LoseRequest => return Err(lost()),
            Behavior::Respond | Behavior::LoseResponse => {}
        }
        let mut records = self.records.lock().expect("no panic");
        records.push(data);
        if behavior == Behavior::LoseResponse {
            Err(lost())
        } else {
            Ok(records.len() as u64 - 1)
        }
    }

    async fn read(&self, from: u64, limit: usize, _wait: Duration) -> Result<Batch, LogError> {
        if Self::next_behavior(&self.reads) != Behavior::Respond {
            return Err(lost());
        }
        let records = self.records.lock().expect("no panic");
        let numbered = records.iter().enumerate().skip(from as usize).take(limit);
        let entries = numbered.map(|(offset, data)| LogEntry {
            offset: offset as u64,
            data: data.clone(),
        });
        Ok(Batch {
            earliest: 0,
            next: records.len() as u64,
            entries: entries.collect(),
        })
    }
}

fn reports_true_outcome(appends: Vec<Behavior>, reads: Vec<Behavior>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let log = Arc::new(FaultyLog {
            records: Mutex::default(),
            appends: Mutex::new(appends.into_iter().take(6).collect()),
            reads: Mutex::new(reads.into_iter().take(6).collect()),
        });
        let first = bundle(1, 0);
        let record = Record::new(signers()[0].publish(None, &first));
        let mut writer = Writer::new(Arc::<FaultyLog>::clone(&log), Reader::new(operators()));
        let outcome = writer.submit(&record, Instant::now() + Duration::from_secs(3)).await;
        let records = log.records.lock().expect("no panic").clone();
        let mut state = sparscale_journal::State::new(operators());
        let verdicts: Vec<Verdict> = records
            .iter()
            .enumerate()
            .map(|(offset, data)| state.apply(offset as u64, data).verdict)
            .collect();
        let effect_count = verdicts.iter().filter(|verdict| **verdict == Verdict::Accepted).count();
        let is_truthful = match outcome {
            SubmitOutcome::Judged(Receipt { offset, verdict }) => {
                offset == 0 && verdict == Verdict::Accepted && effect_count == 1
            }
            SubmitOutcome::NotAppended { .. } => records.is_empty(),
            SubmitOutcome::Unknown { .. } => effect_count <= 1,
        };
        is_truthful && effect_count <= 1
    })
}

#[test]
fn append_takes_effect_at_most_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(8, 31))
        .tests(300)
        .quickcheck(reports_true_outcome as fn(Vec<Behavior>, Vec<Behavior>) -> bool);
}
