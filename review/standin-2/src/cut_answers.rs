//! One of six servers crashes while callers slowly read large answers without a length, and is back after two seconds.

use std::sync::{Arc, Barrier};
use std::time::Duration;

use crate::net::{Reader, connect, set_receive_buffer};
use crate::server::{BIG_BYTES, big_byte};
use crate::system::{System, call, request, unix_ms};

const SERVERS: usize = 6;
const CALLERS: u64 = 120;
const SLOWEST_BYTES_PER_S: u64 = 250_000;
const STEP_BYTES_PER_S: u64 = 2_000;
const CRASH_AFTER: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(2_000);

pub fn run(folder: &str) -> i32 {
    let mut system = System::start(folder);
    let routes = r#"[{"name":"r","host":"review.example","path_prefix":"/r/","kind":"non_idempotent","timeout_ms":60000,"latency_goal_ms":1000,"service":"app","attempts":1}]"#;
    system.configure(1, routes, r#"[{"name":"app","health_path":"/health","max_conns":380}]"#);
    let addresses: Vec<_> = (0..SERVERS).map(|index| system.server_address(index)).collect();
    let arguments = |index: usize| {
        [
            addresses[index].to_string(),
            format!("i-{index}"),
            "channels=380".to_owned(),
        ]
    };
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        servers.push(system.start_server(&arguments(index)));
        system.register(
            &format!("i-{index}"),
            "app",
            system.server_address(index),
            "ready",
            unix_ms(),
        );
    }
    system.start_entries(1);
    let entry = system.entry_address(0);
    let begin = Arc::new(Barrier::new(CALLERS as usize + 1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (begin, record) = (Arc::clone(&begin), system.record.clone());
            std::thread::spawn(move || {
                let stream = connect(entry).expect("channel to the entry");
                set_receive_buffer(&stream, 16 << 10);
                let mut channel = Reader::new(stream);
                begin.wait();
                let id = format!("q{index}");
                let rate = SLOWEST_BYTES_PER_S + index * STEP_BYTES_PER_S;
                record.note(&format!("caller sends {id}, and reads {rate} bytes a second"));
                let answer = call(&mut channel, &request("POST", "/r/big/x", &id, 60_000), rate);
                let is_whole = answer.body.len() == BIG_BYTES
                    && answer
                        .body
                        .iter()
                        .enumerate()
                        .all(|(index, byte)| *byte == big_byte(index));
                record.note(&format!(
                    "caller has {id}: status {}, {} of {BIG_BYTES} bytes, {}",
                    answer.status,
                    answer.body.len(),
                    answer.broken.as_deref().unwrap_or("ended as complete")
                ));
                (answer.status, answer.broken.is_none(), is_whole)
            })
        })
        .collect();
    begin.wait();
    if system.has_trouble {
        std::thread::sleep(CRASH_AFTER);
        let _killed = servers[0].child.kill();
        let _status = servers[0].child.wait();
        system.record.note("server i-0 is killed");
        std::thread::sleep(DOWN);
        servers[0] = system.start_server(&arguments(0));
        system.record.note("server i-0 listens again, under its id");
        system.register("i-0", "app", system.server_address(0), "ready", unix_ms());
    }
    let results: Vec<(u16, bool, bool)> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let spoiled = results
        .iter()
        .filter(|(status, complete, whole)| *status == 200 && *complete && !whole)
        .count();
    let whole = results.iter().filter(|(_, _, whole)| *whole).count();
    let broken = results.iter().filter(|(_, complete, _)| !complete).count();
    let verdicts = system.entry_log(0).matches("\"verdict\":\"running\"").count();
    system.record.note(&format!(
        "{spoiled} answers of {CALLERS} ended as complete though bytes were missing, {whole} were whole, {broken} were seen to be broken off; the entry took the server for running at {verdicts} ends"
    ));
    println!("{spoiled} answers ended as complete though bytes were missing; {whole} whole, {broken} broken off");
    drop(servers);
    if !system.has_trouble && whole as u64 != CALLERS {
        return 2;
    }
    i32::from(spoiled > 0)
}
