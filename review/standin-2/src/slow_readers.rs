//! A few callers read their answers slowly; the entry has nothing else to do but a few small requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::net::{Reader, connect, set_receive_buffer};
use crate::server::MEDIUM_BYTES;
use crate::system::{Answer, System, call, request, unix_ms};

const SLOW_CALLERS: usize = 5;
const SLOW_BYTES_PER_S: u64 = 3_000;
/// Span in which the processor time is measured, from the time at which the slow callers have sent.
const FROM: Duration = Duration::from_secs(18);
const SPAN: Duration = Duration::from_secs(10);
const SMALL_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(folder: &str) -> i32 {
    let mut system = System::start(folder);
    let routes = r#"[{"name":"r","host":"review.example","path_prefix":"/r/","kind":"idempotent","timeout_ms":8000,"latency_goal_ms":500,"service":"app","attempts":2}]"#;
    system.configure(1, routes, r#"[{"name":"app","health_path":"/health","max_conns":380}]"#);
    let address = system.server_address(0);
    let _server = system.start_server(&[address.to_string(), "i-0".to_owned()]);
    system.register("i-0", "app", address, "ready", unix_ms());
    system.start_entries(1);
    let entry = system.entry_address(0);
    let rate = if system.has_trouble { SLOW_BYTES_PER_S } else { 0 };
    for index in 0..SLOW_CALLERS {
        let record = system.record.clone();
        // They are still reading when the case ends.
        std::thread::spawn(move || {
            let stream = connect(entry).expect("channel to the entry");
            set_receive_buffer(&stream, 8 << 10);
            let id = format!("q{index}");
            record.note(&format!(
                "caller sends {id}, and reads {rate} bytes a second (0: at once)"
            ));
            let answer = call(
                &mut Reader::new(stream),
                &request("GET", "/r/medium/x", &id, 8_000),
                rate,
            );
            record.note(&format!(
                "caller has {id}: {} of {MEDIUM_BYTES} bytes",
                answer.body.len()
            ));
        });
    }
    std::thread::sleep(Duration::from_secs(5));
    let before = measure(&system, entry, "a");
    std::thread::sleep(FROM - Duration::from_secs(5) - SPAN / 2);
    let within = measure(&system, entry, "b");
    let share = |load: &Load| load.cpu_ms as f64 / load.span.as_millis() as f64;
    let text = |load: &Load| {
        format!(
            "{:.0} of 100 of a core at {} small requests, the slowest {} ms",
            share(load) * 100.0,
            load.requests,
            load.slowest.as_millis()
        )
    };
    let summary = format!("at first {}; later {}", text(&before), text(&within));
    system.record.note(&summary);
    println!("{summary}");
    i32::from(share(&within) > 0.8)
}

struct Load {
    cpu_ms: u64,
    span: Duration,
    requests: usize,
    slowest: Duration,
}

/// Sends small requests, and measures the processor time of the entry meanwhile.
fn measure(system: &System, entry: SocketAddr, name: &str) -> Load {
    let span = if name == "a" { SPAN / 2 } else { SPAN };
    let (cpu_before, began_at) = (system.entry_cpu_ms(0), Instant::now());
    let mut channel = Reader::new(connect(entry).expect("channel to the entry"));
    let mut load = Load {
        cpu_ms: 0,
        span,
        requests: 0,
        slowest: Duration::ZERO,
    };
    while began_at.elapsed() < span {
        let sent_at = Instant::now();
        let id = format!("{name}{}", load.requests);
        let Answer { status, broken, .. } = call(&mut channel, &request("GET", "/r/small/x", &id, 8_000), 0);
        let took = sent_at.elapsed();
        if status != 200 || broken.is_some() {
            system
                .record
                .note(&format!("small request {id}: status {status} {broken:?}"));
        }
        load.slowest = load.slowest.max(took);
        load.requests += 1;
        std::thread::sleep(SMALL_INTERVAL);
    }
    load.span = began_at.elapsed();
    load.cpu_ms = system.entry_cpu_ms(0) - cpu_before;
    system.record.note(&format!(
        "entry: {} ms of processor time in {} ms",
        load.cpu_ms,
        load.span.as_millis()
    ));
    load
}
