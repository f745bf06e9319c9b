//! What the stand-in of the store holds: for each topic, all records in order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use bytes::Bytes;

/// One record; without a value it drops its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Topic that it belongs to.
    pub topic: &'static str,
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Option<Bytes>,
}

/// All records.
#[derive(Debug, Default)]
pub struct Records {
    topics: BTreeMap<&'static str, Vec<Record>>,
    /// When each record was added, in the same order.
    added: BTreeMap<&'static str, Vec<Instant>>,
    /// How often it came back from an older copy.
    era: u64,
}

impl Records {
    /// Adds a record at the end of its topic.
    pub fn add(&mut self, record: Record) {
        self.added.entry(record.topic).or_default().push(Instant::now());
        self.topics.entry(record.topic).or_default().push(record);
    }

    /// Records of `topic`, in order.
    pub fn of(&self, topic: &str) -> &[Record] {
        self.topics.get(topic).map_or(&[], Vec::as_slice)
    }

    /// The newest record of each key of `topic` that was not dropped.
    pub fn newest(&self, topic: &str) -> BTreeMap<&str, &Bytes> {
        let mut newest = BTreeMap::new();
        for record in self.of(topic) {
            match &record.value {
                Some(value) => newest.insert(record.key.as_str(), value),
                None => newest.remove(record.key.as_str()),
            };
        }
        newest
    }

    /// How often it came back from an older copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Comes back from a copy made at `copied`; tells the newest lost record of each key, in the order in which they were written.
    pub(crate) fn restore(&mut self, copied: Instant) -> Vec<Record> {
        self.era += 1;
        let mut lost = Vec::new();
        for (topic, records) in &mut self.topics {
            let added = self.added.entry(topic).or_default();
            let kept = added.partition_point(|at| *at <= copied);
            added.truncate(kept);
            lost.extend(records.split_off(kept));
        }
        let mut known = BTreeSet::new();
        let newest = lost
            .into_iter()
            .rev()
            .filter(|record| known.insert((record.topic, record.key.clone())));
        let mut newest: Vec<Record> = newest.collect();
        newest.reverse();
        newest
    }

    /// Whether the key of `record` was written since `when`.
    pub(crate) fn is_written_since(&self, record: &Record, when: Instant) -> bool {
        let records = self.of(record.topic);
        let added = self.added.get(record.topic).map_or(&[][..], Vec::as_slice);
        let since = added.partition_point(|at| *at <= when);
        records[since..].iter().any(|later| later.key == record.key)
    }
}
