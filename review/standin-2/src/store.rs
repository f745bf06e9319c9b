//! A stand-in of the platform's store: a log with keyed topics.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::net::{Message, Reader, respond};

pub type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<Topics>>,
    /// How often it came back from an older copy.
    era: Arc<AtomicU64>,
    is_away: Arc<AtomicBool>,
}

impl Store {
    /// Starts the store.
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(address).expect("address of the store");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || {
                    let _nodelay = stream.set_nodelay(true);
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(call)) = reader.message() {
                        if store.is_away.load(Ordering::SeqCst) {
                            return;
                        }
                        let (status, body) = store.answer(&call);
                        let era = store.era.load(Ordering::SeqCst);
                        let headers = format!(
                            "Store-Era: {era}
Content-Type: application/json
"
                        );
                        if respond(&mut reader.stream, status, &headers, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// A copy of everything that it holds.
    pub fn copy(&self) -> Topics {
        self.topics.lock().unwrap().clone()
    }

    /// Closes its channels, and answers nothing until it is restored.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: Topics) {
        *self.topics.lock().unwrap() = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    /// Writes a record of a keyed topic; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        topics
            .entry(topic.to_owned())
            .or_default()
            .push((key.to_owned(), value.as_bytes().to_vec()));
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let target = call.start.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let is_keyed = topic.starts_with("keyed.");
        let name = match query.get("part") {
            Some(part) if *part != "0" => format!("{topic}/{part}"),
            _ => topic.to_owned(),
        };
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(name).or_default();
        match path {
            "/api/log-newest" => (200, newest(records)),
            "/api/log-read" => {
                let from: usize = query.get("from").and_then(|text| text.parse().ok()).unwrap_or(0);
                if from > records.len() {
                    return (410, br#"{"first":0}"#.to_vec());
                }
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let mut record = Vec::new();
                    if is_keyed {
                        record.push(key.len() as u8);
                        record.extend(key.as_bytes());
                    }
                    record.extend(value);
                    out.extend((record.len() as u32).to_be_bytes());
                    out.extend(record);
                }
                (200, out)
            }
            "/api/log-append" => {
                let wanted: Option<usize> = query.get("store_revision").and_then(|text| text.parse().ok());
                if wanted.is_some_and(|wanted| wanted != records.len()) {
                    return (412, format!("{{\"end\":{}}}", records.len()).into_bytes());
                }
                let offset = records.len();
                let mut rest = call.body.as_slice();
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    rest = &rest[4 + length..];
                    let key_length = if is_keyed { 1 + usize::from(record[0]) } else { 0 };
                    let key = if is_keyed {
                        String::from_utf8_lossy(&record[1..key_length]).into_owned()
                    } else {
                        String::new()
                    };
                    records.push((key, record[key_length..].to_vec()));
                }
                (
                    200,
                    format!("{{\"offset\":{offset},\"end\":{}}}", records.len()).into_bytes(),
                )
            }
            _ => (404, Vec::new()),
        }
    }
}

fn newest(records: &[(String, Vec<u8>)]) -> Vec<u8> {
    let mut latest = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        if value.is_empty() {
            latest.remove(key);
        } else {
            latest.insert(key, (offset, value));
        }
    }
    let item = |(key, (offset, value)): (&&String, &(usize, &Vec<u8>))| {
        format!(
            "{{\"key_file\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
            base64(value)
        )
    };
    let items: Vec<String> = latest.iter().map(item).collect();
    format!(
        "{{\"items\":[{}],\"more_pages\":false,\"end\":{}}}",
        items.join(","),
        records.len()
    )
    .into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |word, index| {
            word << 8 | u32::from(part.get(index).copied().unwrap_or(0))
        });
        for place in 0..4 {
            let sign = if place <= part.len() {
                SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char
            } else {
                '='
            };
            text.push(sign);
        }
    }
    text
}
