//! An answer without a length, whose server crashes in the middle of it while the entry is frozen.

use std::fs;
use std::io;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::Duration;

use crate::common::{
    BROKEN, CANNOT_RUN, HELD, HOST, Journal, Outcome, Place, Process, Request, SIGCONT, SIGSTOP, call, seal, unix_ms,
};
use crate::server::whole_body;
use crate::store::Store;

const ENTRY: u8 = 10;
const SERVER: u8 = 30;
const STORE: u8 = 1;
const SERVER_ID: &str = "i-7f3a91c2";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUNDS: usize = 3;
/// Time for which the entry is frozen, and the server is down after its crash.
const FREEZE: Duration = Duration::from_millis(4_000);
const DOWN: Duration = Duration::from_millis(2_500);

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":8000,\"latency_goal_ms\":500,\"priority\":1,\"service\":\"wuno96b\",\"attempts\":2,\
             \"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/health\",\
         \"max_conns\":100,\"protocol\":\"h1\",\"tls_mode\":false}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-doc", "/doc/", "idempotent"),
        route("r-job", "/job/", "non_idempotent"),
        route("r-stream", "/stream/", "streaming"),
    )
}

fn registration(place: &Place, born: u64) -> String {
    format!(
        "{{\"service\":\"wuno96b\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":12,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":{born}}}",
        place.address(SERVER, 8_080)
    )
}

fn start_server(place: &Place, store: &Store) -> io::Result<Process> {
    let mut command = Command::new(std::env::current_exe()?);
    command
        .arg("server")
        .arg(place.address(SERVER, 8_080).to_string())
        .arg(SERVER_ID)
        .arg(place.folder.join("server.log"));
    let server = Process::start(&mut command, &place.folder.join("server.err"))?;
    store.put("keyed.servers", SERVER_ID, &registration(place, unix_ms()));
    Ok(server)
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<i32> {
    let journal = Journal::create(record)?;
    let place = Place::new(root)?;
    let store = Store::default();
    store.serve(place.address(STORE, 8_223))?;
    store.put("keyed.op", "config", &config());
    let mut server = start_server(&place, &store)?;
    let mut entry = place.start_entry(ENTRY, &[ENTRY], place.address(STORE, 8_223), true)?;
    journal.line(format!("trouble={trouble}; the entry and the server are started"));
    if !place.await_ready(ENTRY, Duration::from_secs(10)) {
        journal.line("the entry is not ready in time");
        return Ok(CANNOT_RUN);
    }
    thread::sleep(Duration::from_secs(3));

    let mut broken = 0;
    let mut started = 0;
    for round in 0..ROUNDS {
        let requests: Vec<(String, &str, String)> = [("GET", "doc"), ("POST", "job"), ("POST", "stream")]
            .into_iter()
            .map(|(method, kind)| {
                (
                    format!("{kind}-{round}-{:08x}", std::process::id()),
                    method,
                    format!("/{kind}/2f"),
                )
            })
            .collect();
        let address = place.callers(ENTRY);
        let callers: Vec<_> = requests
            .iter()
            .cloned()
            .map(|(id, method, path)| {
                journal.line(format!("a caller sends {id}: {method} {path}, waits 8000 ms"));
                thread::spawn(move || {
                    let request = Request {
                        id: &id,
                        method,
                        path: &path,
                        key: KEY,
                        deadline_ms: 8_000,
                        body: if method == "GET" { b"" } else { b"{\"rate\":1}" },
                    };
                    call(address, &request)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(400));
        if trouble {
            entry.signal(SIGSTOP);
            journal.line("the entry is frozen (SIGSTOP)");
            thread::sleep(Duration::from_millis(100));
            server.kill();
            journal.line("the server crashes (SIGKILL)");
            thread::sleep(DOWN);
            server = start_server(&place, &store)?;
            journal.line("the server is back under its id, with a new start");
            thread::sleep(FREEZE - DOWN - Duration::from_millis(100));
            entry.signal(SIGCONT);
            journal.line("the entry wakes (SIGCONT)");
        }
        for (caller, (id, _, path)) in callers.into_iter().zip(&requests) {
            let outcome = caller.join().unwrap_or(Outcome::Broken("no outcome".to_owned()));
            let whole = whole_body(id, path);
            match outcome {
                Outcome::Complete {
                    status,
                    seal: sealed,
                    request_id,
                    body,
                } => {
                    let is_success = (200..300).contains(&status);
                    let is_own = request_id.as_deref() == Some(id.as_str());
                    let is_whole = sealed.as_deref() == Some(seal(&body).as_str()) && body == whole;
                    started += usize::from(is_success);
                    journal.line(format!(
                        "{id} gets {status}, complete by its framing: {} of {} bytes of the server's body, digest {}",
                        body.len(),
                        whole.len(),
                        if is_whole { "right" } else { "wrong" }
                    ));
                    if is_success && !(is_whole && is_own) {
                        broken += 1;
                        journal.line(format!(
                            "MIXED broken: {id} is a success without the server's whole body"
                        ));
                    }
                }
                Outcome::Broken(error) => journal.line(format!("{id} gets no complete answer: {error}")),
            }
        }
        thread::sleep(Duration::from_secs(3));
    }
    if !entry.runs() {
        journal.line("the entry has ended by itself");
    }
    let runs = fs::read_to_string(place.folder.join("server.log")).unwrap_or_default();
    for line in runs.lines() {
        journal.line(format!("server log: {line}"));
    }
    if !trouble && started != ROUNDS * 3 {
        journal.line(format!("only {started} requests were served without trouble"));
        return Ok(CANNOT_RUN);
    }
    journal.line(format!("{broken} answers broke the rule"));
    Ok(if broken > 0 { BROKEN } else { HELD })
}
