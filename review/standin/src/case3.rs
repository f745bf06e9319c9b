//! A key is taken away; seconds later the store comes back from a copy that still has the key, and an entry is killed and
//! starts again beside it.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{BROKEN, CANNOT_RUN, HELD, HOST, Journal, Outcome, Place, Process, Request, call, unix_ms};
use crate::store::Store;

/// The entries; the second one is killed.
const ENTRIES: [u8; 2] = [10, 11];
const STORE: u8 = 1;
const SERVER: u8 = 30;
const SERVER_ID: &str = "i-7f3a91c2";
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const TAKEN_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Callers that send all the time.
const CALLERS: usize = 4;
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time from the acknowledgement of the revocation until the store is away.
const BEFORE_DRILL: Duration = Duration::from_millis(5_500);
/// Time for which the store is away, and the killed entry is down.
const AWAY: Duration = Duration::from_millis(1_000);
/// Time after which the operator has written its newest configuration again.
const REWRITE: Duration = Duration::from_millis(1_500);

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-doc\",\"host\":\"{HOST}\",\"path_prefix\":\"/upload/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":8000,\"latency_goal_ms\":300,\"priority\":1,\
         \"service\":\"wuno96b\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\
         \"tls_mode\":false}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\
         \"idle_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<i32> {
    let journal = Journal::create(record)?;
    let place = Place::new(root)?;
    let store = Store::default();
    let store_address = place.address(STORE, 8_223);
    store.serve(store_address)?;
    store.put("keyed.op", "config", &config(7, &[KEPT_KEY, TAKEN_KEY]));
    let address = place.address(SERVER, 8_080);
    let mut command = Command::new(std::env::current_exe()?);
    let log = place.folder.join("server.log");
    command.arg("server").arg(address.to_string()).arg(SERVER_ID).arg(log);
    let _server = Process::start(SERVER_ID, &mut command, &place.folder.join("server.err"))?;
    let registration = format!(
        "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":{}}}",
        unix_ms()
    );
    store.put("keyed.servers", SERVER_ID, &registration);
    let mut entries = Vec::new();
    for host in ENTRIES {
        entries.push(place.start_entry(host, &ENTRIES, store_address, true)?);
    }
    journal.line(format!("trouble={trouble}; two entries and a server are started"));
    for host in ENTRIES {
        if !place.await_ready(host, Duration::from_secs(10)) {
            journal.line("an entry is not ready in time");
            return Ok(CANNOT_RUN);
        }
    }
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    journal.line("the platform makes a copy of the store");
    thread::sleep(Duration::from_millis(500));
    store.put("keyed.op", "config", &config(8, &[KEPT_KEY]));
    let acknowledged = Instant::now();
    journal.line("the operator takes a key away: version 8 is acknowledged");

    // Callers use both keys all the time at the entry that will be killed.
    let send = |number: usize, key: &str| {
        let id = format!("req-{number}-{:08x}", std::process::id());
        let request = Request {
            id: &id,
            method: "POST",
            path: "/upload/2f",
            key,
            deadline_ms: 2_000,
            body: b"{\"rate\":1}",
        };
        let sent_at = acknowledged.elapsed();
        let outcome = call(place.callers(ENTRIES[1]), &request);
        (id, sent_at, outcome)
    };
    let describe = |outcome: &Outcome| match outcome {
        Outcome::Complete { status, body, .. } => {
            format!("{status} {}", String::from_utf8_lossy(body).trim_end())
        }
        Outcome::Broken(error) => format!("no answer ({error})"),
    };
    thread::sleep(Duration::from_millis(2_500));
    let (id, at, outcome) = send(0, TAKEN_KEY);
    journal.line(format!(
        "{id} with the taken key, sent {} ms after the acknowledgement, gets {}",
        at.as_millis(),
        describe(&outcome)
    ));
    thread::sleep(BEFORE_DRILL.saturating_sub(acknowledged.elapsed()));
    if trouble {
        store.set_down(true);
        entries[1].kill();
        journal.line("the store is away, and an entry is killed");
        thread::sleep(AWAY);
        store.restore(&copy);
        store.set_down(false);
        let restored = Instant::now();
        entries[1] = place.start_entry(ENTRIES[1], &ENTRIES, store_address, false)?;
        journal.line("the store is back from the copy, with the next era; the entry starts again");
        let store = store.clone();
        let journal = journal.clone();
        thread::spawn(move || {
            thread::sleep(REWRITE.saturating_sub(restored.elapsed()));
            store.put("keyed.op", "config", &config(8, &[KEPT_KEY]));
            journal.line("the operator has written version 8 again");
        });
    }
    let mut sent = Vec::new();
    let mut served_kept = 0;
    let until = Instant::now() + Duration::from_secs(4);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (send, describe, journal) = (&send, &describe, &journal);
                scope.spawn(move || {
                    let (mut sent, mut served_kept) = (Vec::new(), 0);
                    for number in 1.. {
                        if Instant::now() >= until {
                            break;
                        }
                        let (id, at, outcome) = send(caller * 10_000 + number, TAKEN_KEY);
                        journal.line(format!(
                            "{id} with the taken key, sent {} ms after the acknowledgement, gets {}",
                            at.as_millis(),
                            describe(&outcome)
                        ));
                        sent.push((id, at));
                        if number % 10 == 0 {
                            let (id, _, outcome) = send(caller * 10_000 + 5_000 + number, KEPT_KEY);
                            served_kept += usize::from(matches!(outcome, Outcome::Complete { status: 200, .. }));
                            journal.line(format!("{id} with the other key gets {}", describe(&outcome)));
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                    (sent, served_kept)
                })
            })
            .collect();
        for caller in callers {
            if let Ok((ids, served)) = caller.join() {
                sent.extend(ids);
                served_kept += served;
            }
        }
    });
    thread::sleep(Duration::from_secs(1));
    let log = fs::read_to_string(place.folder.join("server.log")).unwrap_or_default();
    let ran: HashSet<&str> = log
        .lines()
        .filter_map(|line| line.split_once(" runs ").map(|(_, id)| id))
        .collect();
    for line in log.lines() {
        journal.line(format!("server log: {line}"));
    }
    let late: Vec<&str> = sent
        .iter()
        .filter(|(id, at)| *at > REVOKE && ran.contains(id.as_str()))
        .map(|(id, _)| id.as_str())
        .collect();
    journal.line(format!(
        "{} requests with the taken key ran though they were sent more than {} ms after the acknowledgement: {}",
        late.len(),
        REVOKE.as_millis(),
        late.join(" ")
    ));
    if served_kept == 0 {
        journal.line("no request with the other key was served");
        return Ok(CANNOT_RUN);
    }
    if late.is_empty() {
        return Ok(HELD);
    }
    journal.line("CONFIG broken");
    Ok(BROKEN)
}
