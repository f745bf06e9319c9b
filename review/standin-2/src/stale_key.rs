//! A key is revoked; later the store comes back from a copy from before that, and an entry is killed and starts again.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::net::{Reader, connect};
use crate::system::{KEY, System, call, kill, request_with, unix_ms};

const ENTRIES: usize = 7;
/// The entry that is killed.
const KILLED: usize = ENTRIES - 1;
const REVOKED_KEY: &str = "k2";
const ROUTES: &str = r#"[{"name":"r","host":"review.example","path_prefix":"/r/","kind":"idempotent","timeout_ms":1000,"latency_goal_ms":120,"service":"app","attempts":2}]"#;
const SERVICES: &str = r#"[{"name":"app","health_path":"/health","max_conns":200}]"#;
/// From this time after the ack of the revocation on, no request with the key may run.
const REVOKE: Duration = Duration::from_millis(5_000);

pub fn run(folder: &str) -> i32 {
    let mut system = System::start(folder);
    system.configure_keys(7, ROUTES, SERVICES, &[KEY, REVOKED_KEY]);
    let address = system.server_address(0);
    let _server = system.start_server(&[address.to_string(), "i-0".to_owned()]);
    system.register("i-0", "app", address, "ready", unix_ms());
    system.start_entries(ENTRIES);
    let copy = system.store.copy();
    system.record.note("the store is copied");
    std::thread::sleep(Duration::from_millis(1_000));
    system.configure_keys(8, ROUTES, SERVICES, &[KEY]);
    let revoked_at = Instant::now();
    system.record.note("version 8, without key k2, is acknowledged");
    let is_over = AtomicBool::new(false);
    let mut sent = HashMap::new();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..ENTRIES)
            .map(|index| {
                let (system, is_over) = (&system, &is_over);
                let (entry, record) = (system.entry_address(index), system.record.clone());
                scope.spawn(move || {
                    let mut sent = Vec::new();
                    let (mut asked_at, mut misses) = (Instant::now(), 0);
                    for number in 0.. {
                        // The platform asks each node every second; after two misses it gets no new channels.
                        if asked_at.elapsed() > Duration::from_secs(1) {
                            asked_at = Instant::now();
                            misses = if system.is_ready(index) { 0 } else { misses + 1 };
                            if misses > 0 {
                                record.note(&format!("front-{index} isn't ready: miss {misses}"));
                            }
                        }
                        if misses >= 2 {
                            std::thread::sleep(Duration::from_millis(25));
                            continue;
                        }
                        if is_over.load(Ordering::SeqCst) {
                            break;
                        }
                        let id = format!("q{index}.{number}");
                        if let Ok(stream) = connect(entry) {
                            let age = revoked_at.elapsed();
                            let text = request_with(REVOKED_KEY, "GET", "/r/small/x", &id, 1_000);
                            let answer = call(&mut Reader::new(stream), &text, 0);
                            record.note(&format!(
                                "caller sent {id} with k2 to front-{index}, {} ms after the ack: status {}",
                                age.as_millis(),
                                answer.status
                            ));
                            sent.push((id, age));
                        }
                        std::thread::sleep(Duration::from_millis(25));
                    }
                    sent
                })
            })
            .collect();
        let wait_until = |ms: u64| {
            std::thread::sleep(Duration::from_millis(ms).saturating_sub(revoked_at.elapsed()));
        };
        let mut started = None;
        if system.has_trouble {
            wait_until(5_400);
            system.store.go_away();
            system.record.note("the store is away");
            wait_until(5_800);
            system.store.restore(copy);
            system.record.note("the store is back, from its copy");
            wait_until(6_000);
            kill(system.entries[KILLED].child.id());
            system.record.note(&format!("front-{KILLED} is killed"));
            wait_until(6_300);
            started = Some(system.start_entry(KILLED, ENTRIES, false));
            system.record.note(&format!("front-{KILLED} starts again"));
            wait_until(7_800);
            system.configure_keys(8, ROUTES, SERVICES, &[KEY]);
            system.record.note("the operator writes version 8 again");
        }
        wait_until(10_000);
        is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            sent.extend(caller.join().unwrap());
        }
        drop(started);
    });
    std::thread::sleep(Duration::from_millis(300));
    let text = std::fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
    let run: Vec<(&str, Duration)> = text
        .lines()
        .filter_map(|line| line.split_once(": runs ").map(|(_, id)| id))
        .filter_map(|id| sent.get(id).map(|age| (id, *age)))
        .collect();
    let late = run.iter().filter(|(_, age)| *age > REVOKE).count();
    let summary = format!(
        "{late} requests with the revoked key ran that were sent more than {} ms after the ack, of {} sent",
        REVOKE.as_millis(),
        sent.len()
    );
    system.record.note(&summary);
    println!("{summary}");
    i32::from(late > 0)
}
