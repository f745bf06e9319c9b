//! All entries are killed and start again; a server crashes, then requests come with a part that crashes servers; sound
//! requests share their first part.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{BROKEN, CANNOT_RUN, HELD, HOST, Journal, Place, Process, unix_ms};
use crate::http::{Connection, message};
use crate::rank::{CRASHING_PART, GroupState};
use crate::store::Store;

const ENTRIES: [u8; 2] = [10, 11];
const STORE: u8 = 1;
/// Host numbers of the machines of the ranks: each has a model server and an agent.
const RANKS: [u8; 4] = [40, 41, 42, 43];
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// First part of all prompts.
const FIRST_PART: &str = "5c1e07a2";
const SOUND_CALLERS: usize = 16;
const CALM: Duration = Duration::from_secs(12);
/// Time from the return of the entries until a server crashes.
const BEFORE_CRASH: Duration = Duration::from_millis(900);
/// Time for which a crashed server is down, and time in which its group forms again (`form_ms`).
const DOWN: Duration = Duration::from_millis(2_500);
const FORM: Duration = Duration::from_millis(600);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which requests are counted after the crashes.
const COUNTED: Duration = Duration::from_secs(20);
const FEWEST: usize = 20;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-explain\",\"host\":\"{HOST}\",\"path_prefix\":\"/explain/\",\
         \"kind\":\"streaming\",\"timeout_ms\":8000,\"latency_goal_ms\":500,\"priority\":1,\"service\":\"huvo11a\",\
         \"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":120}}],\"services\":\
         [{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":348,\"protocol\":\"h1\",\"tls_mode\":false,\
         \"engine\":{{\"slots\":12,\"kv_capacity_tokens\":280000,\"kv_token_bytes\":35136,\"stride\":4,\"step_ms\":4.55,\
         \"per_seq_ms\":0.905,\"context_per_k\":0.0183,\"read_per_s\":61400.0,\"pairs_per_m\":0.525,\"chunk\":512,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":835,\"answer\":97}},\"form_ms\":600.0}}}}],\"limits\":\
         {{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\"tenants\":\
         [{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// The model servers, and what the platform does for them.
struct Group {
    place: Arc<Place>,
    store: Store,
    journal: Journal,
    servers: Mutex<Vec<Process>>,
    state: Mutex<GroupState>,
}

impl Group {
    fn address(&self, index: usize) -> SocketAddr {
        self.place.address(RANKS[index], 8_228)
    }

    fn start_server(&self, index: usize) -> io::Result<Process> {
        let id = format!("i-7f3a91c{index}");
        let born = unix_ms();
        let folder = &self.place.folder;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("rank")
            .arg(self.address(index).to_string())
            .args([&id, &index.to_string(), &RANKS.len().to_string(), &born.to_string()])
            .arg(folder.join("group.state"))
            .arg(folder.join("server.log"));
        let server = Process::start(&mut command, &folder.join("server.err"))?;
        let registration = format!(
            "{{\"service\":\"huvo11a\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"born\":{born},\"group\":{{\"name\":\"g-1\",\"epoch\":{},\"rank\":{index},\
             \"state\":\"open\"}},\"size\":{}}}",
            self.address(index),
            self.state.lock().unwrap().epoch,
            RANKS.len()
        );
        self.store.put("keyed.servers", &id, &registration);
        Ok(server)
    }

    fn set_state(&self, state: GroupState) -> io::Result<()> {
        let folder = &self.place.folder;
        fs::write(folder.join("group.new"), state.to_text())?;
        fs::rename(folder.join("group.new"), folder.join("group.state"))?;
        *self.state.lock().unwrap() = state;
        Ok(())
    }

    fn dead(&self) -> Vec<usize> {
        let mut servers = self.servers.lock().unwrap();
        (0..servers.len()).filter(|index| !servers[*index].runs()).collect()
    }

    /// Breaks the group once a rank is dead; starts the rank again after some time, and opens the group again.
    fn supervise(&self, stop: &AtomicBool) -> io::Result<()> {
        while !stop.load(Ordering::SeqCst) {
            let Some(first) = self.dead().first().copied() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let epoch = self.state.lock().unwrap().epoch;
            self.set_state(GroupState {
                epoch,
                broken: Some((unix_ms(), self.address(first).to_string())),
            })?;
            self.journal
                .line(format!("rank {first} has ended; its group stands still"));
            thread::sleep(DOWN);
            for index in self.dead() {
                let server = self.start_server(index)?;
                self.servers.lock().unwrap()[index] = server;
                self.journal
                    .line(format!("rank {index} is back under its id, with a new start"));
            }
            thread::sleep(FORM);
            if self.dead().is_empty() {
                self.set_state(GroupState {
                    epoch: epoch + 1,
                    broken: None,
                })?;
                self.journal.line("the group is open again, in a new epoch");
            }
        }
        Ok(())
    }
}

/// Sends a stream request and reads its whole answer; returns what the caller saw.
fn send(address: SocketAddr, id: &str, prefix: &str) -> String {
    let exchange = || -> io::Result<String> {
        let mut connection = Connection::open(address)?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(9)))?;
        let authorization = format!("Bearer {KEY}");
        let bytes = message(
            "POST /explain/2f HTTP/1.1",
            &[
                ("Host", HOST),
                ("X-Request-Id", id),
                ("X-Model", "m"),
                ("X-Token-Counts", "714,96"),
                ("X-Prompt-Prefix", prefix),
                ("X-Deadline-Ms", "8000"),
                ("Authorization", &authorization),
            ],
            format!("{{\"for\":\"{id}\"}}").as_bytes(),
        );
        connection.write(&bytes)?;
        let Some(head) = connection.read_head()? else {
            return Ok("no answer".to_owned());
        };
        let body = connection.read_body(&head, true, |_| {})?;
        if head.status() == 200 {
            return Ok(format!("200, {} bytes", body.len()));
        }
        Ok(format!(
            "{} {}",
            head.status(),
            String::from_utf8_lossy(&body).trim_end()
        ))
    };
    exchange().unwrap_or_else(|error| format!("a broken answer ({error})"))
}

/// A request of a sound caller: when it was sent.
type Sent = Arc<Mutex<Vec<(String, Instant)>>>;

fn call_soundly(place: &Place, caller: usize, sent: &Sent, journal: &Journal, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("sound-{caller}-{number}");
        let prefix = format!("{FIRST_PART}:40,{caller:04x}{number:04x}:674");
        sent.lock().unwrap().push((id.clone(), Instant::now()));
        let seen = send(place.callers(ENTRIES[(caller + number) % 2]), &id, &prefix);
        journal.line(format!("{id} gets {seen}"));
        thread::sleep(Duration::from_millis(if seen.starts_with("200") { 200 } else { 500 }));
    }
}

fn call_badly(place: &Place, journal: &Journal, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("bad-{number}");
        let prefix = format!("{FIRST_PART}:40,{CRASHING_PART}:60,ffff{number:04x}:614");
        let seen = send(place.callers(ENTRIES[number % 2]), &id, &prefix);
        journal.line(format!("{id}, with the part that crashes servers, gets {seen}"));
        thread::sleep(Duration::from_millis(250));
    }
}

fn start_agent(place: &Place, index: usize) -> io::Result<Process> {
    let host = RANKS[index];
    let name = format!("side-{host}");
    let settings = format!(
        "{{\"name\":\"{name}\",\"address\":\"{}\",\"peer_port\":7340,\"seeds\":[\"{}\",\"{}\"],\"engine\":\"{}\",\
         \"service\":\"huvo11a\",\"store\":\"{}\",\"metrics\":\"{}\",\"store_parts\":12,\"link_mbps\":20}}",
        place.address(host, 0).ip(),
        place.address(ENTRIES[0], 8_229),
        place.address(ENTRIES[1], 8_229),
        place.address(host, 8_228),
        place.address(STORE, 8_223),
        place.address(host, 9_464),
    );
    let path = place.folder.join(format!("{name}.json"));
    fs::write(&path, settings)?;
    let mut command = Command::new("target/release/platform-agent");
    command
        .current_dir(&place.root)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("SPARSCALE_CONFIG", path);
    Process::start(&mut command, &place.folder.join(format!("{name}.log")))
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<i32> {
    let journal = Journal::create(record)?;
    let place = Arc::new(Place::new(root)?);
    let store = Store::default();
    let store_address = place.address(STORE, 8_223);
    store.serve(store_address)?;
    store.put("keyed.op", "config", &config());
    let group = Arc::new(Group {
        place: Arc::clone(&place),
        store: store.clone(),
        journal: journal.clone(),
        servers: Mutex::default(),
        state: Mutex::default(),
    });
    group.set_state(GroupState { epoch: 1, broken: None })?;
    for index in 0..RANKS.len() {
        let server = group.start_server(index)?;
        group.servers.lock().unwrap().push(server);
    }
    let mut entries = Vec::new();
    for host in ENTRIES {
        entries.push(place.start_entry(host, &ENTRIES, store_address, true)?);
    }
    let mut agents = Vec::new();
    for index in 0..RANKS.len() {
        agents.push(start_agent(&place, index)?);
    }
    journal.line(format!(
        "trouble={trouble}; two entries, a group of {} servers and their agents are started",
        RANKS.len()
    ));
    for host in ENTRIES {
        if !place.await_ready(host, Duration::from_secs(10)) {
            journal.line("an entry is not ready in time");
            return Ok(CANNOT_RUN);
        }
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let supervisor = {
        let (group, stop) = (Arc::clone(&group), Arc::clone(&stop));
        thread::spawn(move || {
            let _ended = group.supervise(&stop);
        })
    };
    let sent = Sent::default();
    let mut callers = Vec::new();
    for caller in 0..SOUND_CALLERS {
        let (place, sent, journal, stop) = (place.clone(), sent.clone(), journal.clone(), stop.clone());
        callers.push(thread::spawn(move || {
            call_soundly(&place, caller, &sent, &journal, &stop)
        }));
    }
    let calm_since = Instant::now();
    thread::sleep(CALM);
    let calm_until = Instant::now();
    let read_log = || fs::read_to_string(place.folder.join("server.log")).unwrap_or_default();
    let mut counted_since = calm_until;
    if trouble {
        for entry in &mut entries {
            entry.kill();
        }
        journal.line("all entries are killed");
        thread::sleep(Duration::from_millis(300));
        for (entry, host) in entries.iter_mut().zip(ENTRIES) {
            *entry = place.start_entry(host, &ENTRIES, store_address, false)?;
        }
        journal.line("the entries start again");
        for host in ENTRIES {
            if !place.await_ready(host, Duration::from_secs(5)) {
                journal.line("an entry is not ready in time");
                return Ok(CANNOT_RUN);
            }
        }
        journal.line("the entries are ready");
        thread::sleep(BEFORE_CRASH);
        group.servers.lock().unwrap()[0].kill();
        journal.line("the server of rank 0 crashes (SIGKILL)");
        thread::sleep(Duration::from_millis(400));
        journal.line("requests with the part that crashes servers begin to come");
        let (caller_place, caller_journal, caller_stop) = (place.clone(), journal.clone(), stop.clone());
        callers.push(thread::spawn(move || {
            call_badly(&caller_place, &caller_journal, &caller_stop)
        }));
        // The last crash under such a request: none for a while after it.
        let limit = Instant::now() + Duration::from_secs(40);
        let mut crashes = 0;
        let mut last_crash = Instant::now();
        while crashes == 0 || last_crash.elapsed() < 2 * CONTACT {
            thread::sleep(Duration::from_millis(20));
            let now = read_log().matches(" crashes under ").count();
            if now > crashes {
                crashes = now;
                last_crash = Instant::now();
            }
            if Instant::now() > limit {
                journal.line(format!(
                    "{crashes} crashes under such requests, and no pause after them"
                ));
                break;
            }
        }
        if crashes == 0 {
            return Ok(CANNOT_RUN);
        }
        counted_since = last_crash + 2 * CONTACT;
        journal.line(format!(
            "{crashes} servers have crashed under such requests; 2 x contact_ms after the last one"
        ));
    }
    thread::sleep(COUNTED);
    let counted_until = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let log = read_log();
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ended = caller.join();
    }
    let _ended = supervisor.join();
    drop(agents);

    let mut begun: HashMap<&str, usize> = HashMap::new();
    for line in log.lines() {
        if let Some((_, id)) = line.split_once(" runs ") {
            *begun.entry(id).or_default() += 1;
        }
        journal.line(format!("server log: {line}"));
    }
    let sent = sent.lock().unwrap();
    let count = |since: Instant, until: Instant| {
        let within = sent.iter().filter(|(_, at)| *at >= since && *at < until);
        let ids: Vec<&str> = within.map(|(id, _)| id.as_str()).collect();
        let begun = ids.iter().filter(|id| begun.contains_key(*id)).count();
        (begun, ids.len())
    };
    // The last requests before the kill may be cut by it.
    let calm = count(calm_since, calm_until - Duration::from_secs(1));
    let late = count(counted_since, counted_until);
    let share = |(begun, sent): (usize, usize)| begun as f64 / sent.max(1) as f64;
    journal.line(format!(
        "sound requests that a server began at the first attempt: {} of {} in calm, {} of {} from 2 x contact_ms after the last crash",
        calm.0, calm.1, late.0, late.1
    ));
    if calm.1 < FEWEST || late.1 < FEWEST || share(calm) < 0.5 {
        journal.line("too few requests to judge");
        return Ok(CANNOT_RUN);
    }
    if share(late) < share(calm) / 2.0 {
        journal.line("LOST broken");
        return Ok(BROKEN);
    }
    Ok(HELD)
}
