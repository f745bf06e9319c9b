//! Many callers at once send bodies that the limits allow, on kept channels; the platform kills an entry that goes over
//! its memory limit.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{BROKEN, CANNOT_RUN, HELD, HOST, Journal, Place, Process, unix_ms};
use crate::http::{Connection, message};
use crate::store::Store;

const ENTRY: u8 = 10;
const STORE: u8 = 1;
/// Host numbers of the servers; `calc-app` has three.
const SERVERS: [u8; 3] = [30, 31, 32];
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `memory_mb` of a front machine of the site, and `body_bytes` of its configuration.
const MEMORY_MB: u64 = 260;
const BODY_BYTES: usize = 4_000_000;
/// Callers; the site has 101. They come within 0.6 s: so many at a time, with a pause between.
const CALLERS: usize = 84;
const WAVE: usize = 12;
const WAVE_PAUSE: Duration = Duration::from_millis(100);
/// Callers that send at once without the burst.
const CALM: usize = 6;
/// Times that a rule allows.
const ALLOWED: usize = 3;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-upload\",\"host\":\"{HOST}\",\"path_prefix\":\"/upload/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":8000,\"latency_goal_ms\":300,\"priority\":1,\
         \"service\":\"wuno96b\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\
         \"tls_mode\":false}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\
         \"idle_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// How a request ended at its caller.
enum End {
    Status(u16),
    NoAnswer(String),
}

/// Sends a request on a kept channel and reads the status of the answer.
fn send(connection: &mut Connection, id: &str, body: &[u8]) -> io::Result<u16> {
    let authorization = format!("Bearer {KEY}");
    let head = message(
        "POST /upload/2f HTTP/1.1",
        &[
            ("Host", HOST),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", "8000"),
            ("Authorization", &authorization),
        ],
        body,
    );
    connection.write(&head)?;
    let head = connection
        .read_head()?
        .ok_or(io::Error::other("the channel ended without an answer"))?;
    connection.read_body(&head, true, |_| {})?;
    Ok(head.status())
}

fn caller(address: SocketAddr, number: usize, body: &[u8], go: impl FnOnce()) -> (String, End) {
    let id = format!("big-{number}-{:08x}", std::process::id());
    let exchange = || -> io::Result<u16> {
        let mut connection = Connection::open(address)?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        // The channel is a kept one: a small request was answered on it before.
        let small = format!("small-{number}-{:08x}", std::process::id());
        let status = send(&mut connection, &small, b"{}")?;
        if status != 200 {
            return Err(io::Error::other(format!("the small request got {status}")));
        }
        go();
        send(&mut connection, &id, body)
    };
    match exchange() {
        Ok(status) => (id, End::Status(status)),
        Err(error) => (id, End::NoAnswer(error.to_string())),
    }
}

/// Resident memory of a process in kilobytes.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<i32> {
    let journal = Journal::create(record)?;
    let place = Place::new(root)?;
    let store = Store::default();
    store.serve(place.address(STORE, 8_223))?;
    store.put("keyed.op", "config", &config());
    let mut servers = Vec::new();
    for host in SERVERS {
        let id = format!("i-7f3a91{host}");
        let address = place.address(host, 8_080);
        let mut command = Command::new(std::env::current_exe()?);
        let log = place.folder.join("server.log");
        command.arg("server").arg(address.to_string()).arg(&id).arg(log);
        servers.push(Process::start(&mut command, &place.folder.join("server.err"))?);
        let registration = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":{}}}",
            unix_ms()
        );
        store.put("keyed.servers", &id, &registration);
    }
    let mut entry = place.start_entry(ENTRY, &[ENTRY], place.address(STORE, 8_223), true)?;
    journal.line(format!(
        "trouble={trouble}; the entry and {} servers are started",
        servers.len()
    ));
    if !place.await_ready(ENTRY, Duration::from_secs(10)) {
        journal.line("the entry is not ready in time");
        return Ok(CANNOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));

    // The platform: it kills a process that goes over its memory limit.
    let (stop, peak_kb, killed) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let platform = {
        let (stop, peak_kb, killed, journal) = (stop.clone(), peak_kb.clone(), killed.clone(), journal.clone());
        let pid = entry.child.id();
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Some(resident) = resident_kb(pid) else { return };
                peak_kb.fetch_max(resident, Ordering::SeqCst);
                if resident > MEMORY_MB * 1_024 {
                    crate::common::signal(pid, crate::common::SIGKILL);
                    killed.store(true, Ordering::SeqCst);
                    journal.line(format!(
                        "the entry holds {} MB, over its limit of {MEMORY_MB} MB; the platform kills it",
                        resident / 1_024
                    ));
                    return;
                }
                thread::sleep(Duration::from_millis(2));
            }
        })
    };

    let body: Arc<Vec<u8>> = Arc::new(vec![b'7'; BODY_BYTES]);
    let address = place.callers(ENTRY);
    let mut ends = Vec::new();
    if trouble {
        journal.line(format!(
            "{CALLERS} callers open channels and send a small request on each"
        ));
        let barrier = Arc::new(Barrier::new(CALLERS + 1));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (barrier, body) = (Arc::clone(&barrier), Arc::clone(&body));
                thread::spawn(move || {
                    let waits = std::cell::Cell::new(false);
                    let end = caller(address, number, &body, || {
                        waits.set(true);
                        barrier.wait();
                        thread::sleep(WAVE_PAUSE * (number / WAVE) as u32);
                    });
                    if !waits.get() {
                        barrier.wait();
                    }
                    end
                })
            })
            .collect();
        barrier.wait();
        journal.line(format!(
            "each sends a body of {BODY_BYTES} bytes, {WAVE} callers at a time, each {} ms",
            WAVE_PAUSE.as_millis()
        ));
        for caller in callers {
            ends.extend(caller.join());
        }
    } else {
        journal.line(format!(
            "{CALLERS} callers send a body of {BODY_BYTES} bytes each, {CALM} at once"
        ));
        let began = Instant::now();
        for first in (0..CALLERS).step_by(CALM) {
            let callers: Vec<_> = (first..(first + CALM).min(CALLERS))
                .map(|number| {
                    let body = Arc::clone(&body);
                    thread::spawn(move || caller(address, number, &body, || {}))
                })
                .collect();
            for caller in callers {
                ends.extend(caller.join());
            }
        }
        journal.line(format!("that took {:.1} s", began.elapsed().as_secs_f64()));
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let _ended = platform.join();
    journal.line(format!(
        "the entry held {} MB at most; it {}",
        peak_kb.load(Ordering::SeqCst) / 1_024,
        if entry.runs() { "still runs" } else { "has ended" }
    ));

    let log = fs::read_to_string(place.folder.join("server.log")).unwrap_or_default();
    let ran: HashSet<&str> = log
        .lines()
        .filter_map(|line| line.split_once(" runs ").map(|(_, id)| id))
        .collect();
    let mut lost = 0;
    let mut served = 0;
    for (id, end) in &ends {
        let has_run = ran.contains(id.as_str());
        let run = if has_run { "a server ran it" } else { "no server ran it" };
        match end {
            End::Status(status) => {
                served += usize::from(*status == 200);
                journal.line(format!("{id} gets {status}; {run}"));
            }
            End::NoAnswer(error) => {
                lost += usize::from(has_run);
                journal.line(format!("{id} gets no answer ({error}); {run}"));
            }
        }
    }
    if !trouble && served < CALLERS * 9 / 10 {
        journal.line(format!("only {served} requests were served without the burst"));
        return Ok(CANNOT_RUN);
    }
    journal.line(format!(
        "{served} of {} were served; {lost} were handed on to a sound server and lost with their kept channels, {ALLOWED} are allowed",
        ends.len()
    ));
    if lost > ALLOWED {
        journal.line("LOST broken");
        return Ok(BROKEN);
    }
    Ok(HELD)
}
