//! Servers are replaced one after the other; each old one ends as soon as its last stream is answered.

use std::time::Duration;

use crate::server::{LONG_EVENTS, event};
use crate::streams::Streams;
use crate::system::{Process, System, unix_ms};

const SERVERS: usize = 20;
/// Number of servers that are replaced: 0.45 of them.
const REPLACED: usize = 9;
/// Time between two of them; the site lets seven begin each second.
const GAP: Duration = Duration::from_millis(600);
/// Time for which a server serves on at least once the store has taken that it drains.
const DRAIN: Duration = Duration::from_millis(3_000);
const CALLERS: usize = 60;
const DURATION: Duration = Duration::from_secs(16);

pub fn run(folder: &str) -> i32 {
    let mut system = System::start(folder);
    let routes = r#"[{"name":"r","host":"review.example","path_prefix":"/r/","kind":"streaming","timeout_ms":8000,"latency_goal_ms":500,"service":"app","attempts":2,"resumable":false}]"#;
    system.configure(1, routes, r#"[{"name":"app","health_path":"/health","max_conns":380}]"#);
    let mut servers = Vec::new();
    let born = unix_ms();
    for index in 0..SERVERS {
        servers.push(start(&system, index, born));
    }
    system.start_entries(1);
    let streams = Streams {
        callers: CALLERS,
        path: "/r/long",
        whole: (1..=LONG_EVENTS).map(event).collect(),
    };
    let release = || {
        if !system.has_trouble {
            return;
        }
        std::thread::sleep(Duration::from_secs(3));
        let drain_steps = (DRAIN.as_millis() / GAP.as_millis()) as usize;
        for step in 0..REPLACED + drain_steps - 1 {
            if step < REPLACED {
                servers.push(start(&system, SERVERS + step, born));
                system.register(
                    &format!("i-{step}"),
                    "app",
                    system.server_address(step),
                    "draining",
                    born,
                );
            }
            std::thread::sleep(GAP);
            // From now on the old one ends once it has no streams any more.
            if let Some(index) = (step + 1).checked_sub(drain_steps) {
                std::fs::write(system.end_file(index), "").expect("the end can be told");
                system
                    .record
                    .note(&format!("server i-{index} has drained for {} ms", DRAIN.as_millis()));
            }
        }
    };
    let (ends, answered) = streams.play(&system, folder, DURATION, release);
    let lost = ends
        .iter()
        .filter(|end| end.is_broken && answered.contains(end.id.as_str()))
        .count();
    let complete = ends.iter().filter(|end| end.is_whole).count();
    let summary = format!(
        "{lost} of {} streams, which servers answered in full, ended with a closed channel; {complete} were complete",
        ends.len()
    );
    system.record.note(&summary);
    println!("{summary}");
    if !system.has_trouble && complete != ends.len() {
        return 2;
    }
    i32::from(lost > 3)
}

/// Starts a server, which registers once it listens.
fn start(system: &System, index: usize, born: u64) -> Process {
    let (address, id) = (system.server_address(index), format!("i-{index}"));
    let end = format!("end={}", system.end_file(index).display());
    let server = system.start_server(&[address.to_string(), id.clone(), end]);
    system.register(&id, "app", address, "ready", born);
    server
}
