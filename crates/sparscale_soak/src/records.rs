//! Records of the stub store, in order for each topic.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use bytes::Bytes;

/// A record of a topic; without a value it deletes its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Topic of the record.
    pub topic: &'static str,
    /// Key of the record.
    pub key: String,
    /// Value, or none to delete the key.
    pub value: Option<Bytes>,
}

/// All records of the store.
#[derive(Debug, Default)]
pub struct Records {
    topics: BTreeMap<&'static str, Vec<Record>>,
    /// When each record was added, in the order of `topics`.
    added_at: BTreeMap<&'static str, Vec<Instant>>,
    /// How often the store was restored from an older snapshot.
    era: u64,
}

impl Records {
    /// Appends a record to its topic.
    pub fn add(&mut self, record: Record) {
        self.added_at.entry(record.topic).or_default().push(Instant::now());
        self.topics.entry(record.topic).or_default().push(record);
    }

    /// Records of `topic`, in order.
    pub fn in_topic(&self, topic: &str) -> &[Record] {
        self.topics.get(topic).map_or(&[], Vec::as_slice)
    }

    /// Latest value of each key of `topic` that is not deleted.
    pub fn latest_values(&self, topic: &str) -> BTreeMap<&str, &Bytes> {
        let mut newest = BTreeMap::new();
        for record in self.in_topic(topic) {
            match &record.value {
                Some(value) => newest.insert(record.key.as_str(), value),
                None => newest.remove(record.key.as_str()),
            };
        }
        newest
    }

    /// How often the store was restored from an older snapshot.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Restores the state of `snapshot_at`; returns the latest lost record of each key, in the order in which they were
    /// written.
    pub(crate) fn restore(&mut self, snapshot_at: Instant) -> Vec<Record> {
        self.era += 1;
        let mut lost = Vec::new();
        for (topic, records) in &mut self.topics {
            let added_at = self.added_at.entry(topic).or_default();
            let kept_count = added_at.partition_point(|at| *at <= snapshot_at);
            added_at.truncate(kept_count);
            lost.extend(records.split_off(kept_count));
        }
        let mut seen = BTreeSet::new();
        let newest = lost
            .into_iter()
            .rev()
            .filter(|record| seen.insert((record.topic, record.key.clone())));
        let mut newest: Vec<Record> = newest.collect();
        newest.reverse();
        newest
    }

    /// Whether the key of `record` was written after `since`.
    pub(crate) fn is_written_since(&self, record: &Record, since: Instant) -> bool {
        let records = self.in_topic(record.topic);
        let added_at = self.added_at.get(record.topic).map_or(&[][..], Vec::as_slice);
        let first_later = added_at.partition_point(|at| *at <= since);
        records[first_later..].iter().any(|later| later.key == record.key)
    }
}
