//! A stand-in of the platform's store: topics, and the calls that
//! entries and agents make.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::{Connection, Head, message};

#[derive(Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Clone, Default)]
struct State {
    topics: BTreeMap<String, Vec<Record>>,
}

/// The store; clones share one state.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let _ended = store.serve_connection(Connection::new(stream));
                });
            }
        });
        Ok(())
    }

    /// Writes a record, which is acknowledged when this returns.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.0.lock().unwrap();
        let record = Record {
            key: key.to_owned(),
            value: value.as_bytes().to_vec(),
        };
        state.topics.entry(topic.to_owned()).or_default().push(record);
    }

    fn serve_connection(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(&head, false, |_| {})?;
            let response = self.respond(&head, &body);
            connection.write(&response)?;
        }
        Ok(())
    }

    fn respond(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let mut state = self.0.lock().unwrap();
        let answer = |status: &str, body: &[u8]| {
            message(
                &format!("HTTP/1.1 {status}"),
                &[("Store-Era", "0"), ("Content-Type", "application/json")],
                body,
            )
        };
        let (_, target) = head.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let mut topic = parameter("topic").unwrap_or_default();
        if !topic.starts_with("keyed.") {
            topic = format!("{topic}/{}", parameter("part").unwrap_or_default());
        }
        let records = state.topics.entry(topic.clone()).or_default();
        let end = records.len();
        match path {
            "/api/log-read" => {
                let from: usize = parameter("from").and_then(|text| text.parse().ok()).unwrap_or(0);
                if from > end {
                    return answer("410 Gone", b"{\"first\":0}");
                }
                let mut bytes = Vec::new();
                bytes.extend_from_slice(&(end as u64).to_be_bytes());
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from..] {
                    bytes.extend_from_slice(&((1 + record.key.len() + record.value.len()) as u32).to_be_bytes());
                    bytes.push(record.key.len() as u8);
                    bytes.extend_from_slice(record.key.as_bytes());
                    bytes.extend_from_slice(&record.value);
                }
                answer("200 OK", &bytes)
            }
            "/api/log-newest" => {
                let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    if record.value.is_empty() {
                        newest.remove(record.key.as_str());
                    } else {
                        newest.insert(&record.key, (offset, record));
                    }
                }
                let items: Vec<String> = newest
                    .values()
                    .map(|(offset, record)| {
                        format!(
                            "{{\"key_file\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            record.key,
                            base64(&record.value)
                        )
                    })
                    .collect();
                let page = format!("{{\"items\":[{}],\"more_pages\":false,\"end\":{end}}}", items.join(","));
                answer("200 OK", page.as_bytes())
            }
            "/api/log-append" if topic.starts_with("keyed.") => {
                let mut rest = body;
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let key_length = rest[4] as usize;
                    if rest.len() < 4 + length || length < 1 + key_length {
                        return answer("400 Bad Request", b"");
                    }
                    records.push(Record {
                        key: String::from_utf8_lossy(&rest[5..5 + key_length]).into_owned(),
                        value: rest[5 + key_length..4 + length].to_vec(),
                    });
                    rest = &rest[4 + length..];
                }
                let content = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                answer("200 OK", content.as_bytes())
            }
            // A topic without keys: one record, appended if the partition ends as expected.
            "/api/log-append" => {
                let expected: Option<usize> = parameter("store_revision").and_then(|text| text.parse().ok());
                if expected.is_some_and(|expected| expected != end) {
                    return answer("412 Precondition Failed", format!("{{\"end\":{end}}}").as_bytes());
                }
                records.push(Record {
                    key: String::new(),
                    value: body.get(4..).unwrap_or_default().to_vec(),
                });
                let content = format!("{{\"offset\":{end},\"end\":{}}}", end + 1);
                answer("200 OK", content.as_bytes())
            }
            _ => answer("404 Not Found", b""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(chunk.get(1).copied().unwrap_or(0)) << 8
            | u32::from(chunk.get(2).copied().unwrap_or(0));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
