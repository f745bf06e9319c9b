//! Callers that ask for one stream after the other on kept channels.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::net::{Reader, connect};
use crate::system::{System, call, request};

pub struct Streams {
    pub callers: usize,
    /// The paths begin with it.
    pub path: &'static str,
    /// All events of a stream.
    pub whole: String,
}

/// How a stream ended at its caller.
pub struct End {
    pub id: String,
    pub is_broken: bool,
    pub is_whole: bool,
}

impl Streams {
    /// Lets the callers run for a while, and `meanwhile` beside them. Returns how the streams ended, and the ids of those
    /// that servers answered in full.
    pub fn play(
        &self,
        system: &System,
        folder: &str,
        duration: Duration,
        meanwhile: impl FnOnce(),
    ) -> (Vec<End>, HashSet<String>) {
        let entry = system.entry_address(0);
        let until = Instant::now() + duration;
        let mut ends = Vec::new();
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..self.callers)
                .map(|caller| scope.spawn(move || self.call_until(system, entry, caller, until)))
                .collect();
            meanwhile();
            for thread in threads {
                ends.extend(thread.join().unwrap());
            }
        });
        std::thread::sleep(Duration::from_millis(300));
        let text = std::fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
        let answered = |line: &str| {
            let (id, _) = line.split_once("has answered ")?.1.split_once(" in full")?;
            Some(id.to_owned())
        };
        (ends, text.lines().filter_map(answered).collect())
    }

    fn call_until(&self, system: &System, entry: std::net::SocketAddr, caller: usize, until: Instant) -> Vec<End> {
        // Callers begin at different times.
        std::thread::sleep(Duration::from_millis(caller as u64 * 53));
        let mut kept: Option<Reader> = None;
        let mut ends = Vec::new();
        for number in 0.. {
            if Instant::now() > until {
                break;
            }
            let mut channel = kept.take().unwrap_or_else(|| {
                // A channel counts as kept once it has carried a request.
                let mut channel = Reader::new(connect(entry).expect("channel to the entry"));
                call(
                    &mut channel,
                    &request("POST", "/r/small/x", &format!("s{caller}.{number}"), 8_000),
                    0,
                );
                channel
            });
            let id = format!("q{caller}.{number}");
            let answer = call(
                &mut channel,
                &request("POST", &format!("{}/{id}", self.path), &id, 8_000),
                0,
            );
            if let Some(reason) = &answer.broken {
                system.record.note(&format!(
                    "caller has {id}, sent on a kept channel: status {}, {} of {} bytes, then {reason}",
                    answer.status,
                    answer.body.len(),
                    self.whole.len()
                ));
            } else {
                system
                    .record
                    .note(&format!("caller has {id}: status {}, ended as complete", answer.status));
                kept = Some(channel);
            }
            ends.push(End {
                id,
                is_broken: answer.broken.is_some(),
                is_whole: answer.broken.is_none() && answer.body == self.whole.as_bytes(),
            });
        }
        ends
    }
}
