//! Most callers come to one entry, and read answers of 400 kB slowly but steadily.

use std::sync::{Arc, Barrier};

use crate::net::{Reader, connect, set_receive_buffer};
use crate::server::LARGE_BYTES;
use crate::system::{System, call, request, unix_ms};

const SERVERS: usize = 3;
/// Callers of the crowd; the site has 295.
const CALLERS: usize = 250;
const CALM_CALLERS: usize = 40;
const BYTES_PER_S: u64 = 20_000;

pub fn run(folder: &str) -> i32 {
    let mut system = System::start(folder);
    let routes = r#"[{"name":"r","host":"review.example","path_prefix":"/r/","kind":"non_idempotent","timeout_ms":8000,"latency_goal_ms":1000,"service":"app","attempts":1}]"#;
    system.configure(1, routes, r#"[{"name":"app","health_path":"/health","max_conns":380}]"#);
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let (address, id) = (system.server_address(index), format!("i-{index}"));
        servers.push(system.start_server(&[address.to_string(), id.clone()]));
        system.register(&id, "app", address, "ready", unix_ms());
    }
    system.start_entries(1);
    let callers = if system.has_trouble { CALLERS } else { CALM_CALLERS };
    let entry = system.entry_address(0);
    let begin = Arc::new(Barrier::new(callers));
    let threads: Vec<_> = (0..callers)
        .map(|index| {
            let (begin, record) = (Arc::clone(&begin), system.record.clone());
            std::thread::spawn(move || {
                let stream = connect(entry).expect("channel to the entry");
                set_receive_buffer(&stream, 16 << 10);
                let mut channel = Reader::new(stream);
                call(
                    &mut channel,
                    &request("POST", "/r/small/x", &format!("s{index}"), 8_000),
                    0,
                );
                begin.wait();
                let id = format!("q{index}");
                record.note(&format!("caller sends {id} on its kept channel"));
                let answer = call(&mut channel, &request("POST", "/r/large/x", &id, 8_000), BYTES_PER_S);
                record.note(&format!(
                    "caller has {id}: status {}, {} of {LARGE_BYTES} bytes, {}",
                    answer.status,
                    answer.body.len(),
                    answer.broken.as_deref().unwrap_or("ended as complete")
                ));
                (answer.status, answer.broken.is_some(), answer.body.len() == LARGE_BYTES)
            })
        })
        .collect();
    let ends: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let broken = ends
        .iter()
        .filter(|(status, broken, _)| *status == 200 && *broken)
        .count();
    let whole = ends.iter().filter(|(_, _, whole)| *whole).count();
    let summary = format!(
        "{broken} of {callers} answers to callers that read {BYTES_PER_S} bytes a second ended with a closed channel, {whole} were whole; the entry held {} MB at most",
        system.entry_peak_mb(0)
    );
    system.record.note(&summary);
    println!("{summary}");
    if !system.has_trouble && whole != callers {
        return 2;
    }
    i32::from(broken > 3)
}
