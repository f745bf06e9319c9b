//! A lost answer of an append never leads to a second effect, and the writer tells the truth about it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{bundle, operators, signers};
use async_trait::async_trait;
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_journal::{Batch, Entry, Log, LogError, Reader, Receipt, Record, Settled, Verdict, Writer};
use tokio::time::Instant;

/// How the log treats one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    Answer,
    Refuse,
    LoseBefore,
    LoseAfter,
}

impl Arbitrary for Habit {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [Self::Answer, Self::Refuse, Self::LoseBefore, Self::LoseAfter];
        *g.choose(&all).expect("not empty")
    }
}

/// A log in memory that treats each append as its list of habits says, and answers when the list is used up.
struct MoodyLog {
    records: Mutex<Vec<Bytes>>,
    appends: Mutex<Vec<Habit>>,
    reads: Mutex<Vec<Habit>>,
}

impl MoodyLog {
    fn next(habits: &Mutex<Vec<Habit>>) -> Habit {
        habits.lock().expect("no panic").pop().unwrap_or(Habit::Answer)
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
impl Log for MoodyLog {
    async fn append(&self, data: Bytes) -> Result<u64, LogError> {
        let habit = Self::next(&self.appends);
        match habit {
            Habit::Refuse => return Err(refused()),
            Habit::LoseBefore => return Err(lost()),
            Habit::Answer | Habit::LoseAfter => {}
        }
        let mut records = self.records.lock().expect("no panic");
        records.push(data);
        if habit == Habit::LoseAfter {
            Err(lost())
        } else {
            Ok(records.len() as u64 - 1)
        }
    }

    async fn read(&self, from: u64, limit: usize, _wait: Duration) -> Result<Batch, LogError> {
        if Self::next(&self.reads) != Habit::Answer {
            return Err(lost());
        }
        let records = self.records.lock().expect("no panic");
        let numbered = records.iter().enumerate().skip(from as usize).take(limit);
        let entries = numbered.map(|(offset, data)| Entry {
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

fn settles_truly(appends: Vec<Habit>, reads: Vec<Habit>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let log = Arc::new(MoodyLog {
            records: Mutex::default(),
            appends: Mutex::new(appends.into_iter().take(6).collect()),
            reads: Mutex::new(reads.into_iter().take(6).collect()),
        });
        let first = bundle(1, 0);
        let record = Record::new(signers()[0].publish(None, &first));
        let mut writer = Writer::new(Arc::<MoodyLog>::clone(&log), Reader::new(operators()));
        let settled = writer.submit(&record, Instant::now() + Duration::from_secs(3)).await;
        let copies = log.records.lock().expect("no panic").clone();
        let mut state = sparscale_journal::State::new(operators());
        let verdicts: Vec<Verdict> = copies
            .iter()
            .enumerate()
            .map(|(offset, data)| state.apply(offset as u64, data).verdict)
            .collect();
        let effects = verdicts.iter().filter(|verdict| **verdict == Verdict::Accepted).count();
        let truthful = match settled {
            Settled::Judged(Receipt { offset, verdict }) => offset == 0 && verdict == Verdict::Accepted && effects == 1,
            Settled::NotAppended { .. } => copies.is_empty(),
            Settled::Unknown { .. } => effects <= 1,
        };
        truthful && effects <= 1
    })
}

#[test]
fn one_effect() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(8, 31))
        .tests(300)
        .quickcheck(settles_truly as fn(Vec<Habit>, Vec<Habit>) -> bool);
}
