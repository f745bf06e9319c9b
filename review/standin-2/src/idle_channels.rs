//! Servers answer streams without a length, and close idle channels after two seconds.

use std::time::Duration;

use crate::server::{EVENTS, event};
use crate::streams::Streams;
use crate::system::{System, unix_ms};

const SERVERS: usize = 3;
const CALLERS: usize = 30;
const DURATION: Duration = Duration::from_secs(45);

pub fn run(folder: &str) -> i32 {
    let mut system = System::start(folder);
    let routes = r#"[{"name":"r","host":"review.example","path_prefix":"/r/","kind":"streaming","timeout_ms":8000,"latency_goal_ms":500,"service":"app","attempts":2,"resumable":false}]"#;
    system.configure(1, routes, r#"[{"name":"app","health_path":"/health","max_conns":380}]"#);
    let idle = if system.has_trouble { "idle=2000" } else { "idle=120000" };
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let (address, id) = (system.server_address(index), format!("i-{index}"));
        servers.push(system.start_server(&[address.to_string(), id.clone(), idle.to_owned()]));
        system.register(&id, "app", address, "ready", unix_ms());
    }
    system.start_entries(1);
    let streams = Streams {
        callers: CALLERS,
        path: "/r/stream",
        whole: (1..=EVENTS).map(event).collect(),
    };
    let (ends, answered) = streams.play(&system, folder, DURATION, || {});
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
    drop(servers);
    if !system.has_trouble && complete != ends.len() {
        return 2;
    }
    i32::from(lost > 3)
}
