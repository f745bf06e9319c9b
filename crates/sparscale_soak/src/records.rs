//! What the stand-in of the store holds: for each topic, all records in order.

use std::collections::BTreeMap;

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
}

impl Records {
    /// Adds a record at the end of its topic.
    pub fn add(&mut self, record: Record) {
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
}
