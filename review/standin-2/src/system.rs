//! The processes of a case, the record of what happened, and what the platform writes.

use std::fs::{self, File};
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{Reader, connect};
use crate::store::Store;

pub const HOST: &str = "review.example";
pub const KEY: &str = "k1";

/// The record of a case: what was sent, run and answered, with the time in ms.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.started_at.elapsed().as_millis());
        self.file
            .lock()
            .unwrap()
            .write_all(line.as_bytes())
            .expect("record.txt can be written");
    }
}

/// A process that is ended with the case.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Everything that a case runs.
pub struct System {
    pub record: Record,
    pub store: Store,
    pub has_trouble: bool,
    net: String,
    root: PathBuf,
    folder: PathBuf,
    pub entries: Vec<Process>,
}

impl Drop for System {
    fn drop(&mut self) {
        self.entries.clear();
        if let Ok(kept) = std::env::var("REVIEW_LOGS") {
            let _copied = fs::copy(self.folder.join("front-0.log"), kept);
        }
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Starts a process that is killed when the case ends, however it ends. To be called by the main thread.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: only a system call is made between fork and exec.
    let command = unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    };
    command.spawn()
}

/// Kills a process that the case has started.
pub fn kill(id: u32) {
    const SIGKILL: i32 = 9;
    unsafe extern "C" {
        fn kill(id: i32, signal: i32) -> i32;
    }
    // SAFETY: a plain system call.
    let result = unsafe { kill(id as i32, SIGKILL) };
    assert!(result == 0, "kill: {}", std::io::Error::last_os_error());
}

/// Why a case could not run.
pub fn unable(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    std::process::exit(2)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl System {
    pub fn start(case_folder: &str) -> Self {
        let root = std::env::current_dir().expect("current folder");
        let record = Record::new(&Path::new(case_folder).join("record.txt"));
        let id = std::process::id();
        let net = format!("127.{}.{}", 20 + id % 200, 1 + id / 200 % 250);
        let folder = std::env::temp_dir().join(format!("sparscale-review-{id}"));
        fs::create_dir_all(&folder).expect("temporary folder");
        let store_address = format!("{net}.1:8223").parse().unwrap();
        Self {
            has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
            store: Store::start(store_address),
            record,
            net,
            root,
            folder,
            entries: Vec::new(),
        }
    }

    pub fn server_address(&self, index: usize) -> SocketAddr {
        format!("{}.{}:8228", self.net, 100 + index).parse().unwrap()
    }

    pub fn entry_address(&self, index: usize) -> SocketAddr {
        format!("{}.{}:8227", self.net, 10 + index).parse().unwrap()
    }

    /// The file at whose appearance a server ends once it has no requests.
    pub fn end_file(&self, index: usize) -> PathBuf {
        self.folder.join(format!("end-{index}"))
    }

    /// Writes the configuration; `routes` and `services` are JSON lists.
    pub fn configure(&self, version: u64, routes: &str, services: &str) {
        self.configure_keys(version, routes, services, &[KEY]);
    }

    /// The same with other keys.
    pub fn configure_keys(&self, version: u64, routes: &str, services: &str, keys: &[&str]) {
        let limits = r#"{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}"#;
        let tenants = format!(
            r#"[{{"name":"t1","api_keys":["{}"],"priority":1}}]"#,
            keys.join("\",\"")
        );
        let config = format!(
            r#"{{"version":{version},"routes":{routes},"services":{services},"limits":{limits},"tenants":{tenants}}}"#
        );
        self.store.put("keyed.op", "config", &config);
    }

    /// Registers a server; it does that itself once it listens.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str, born: u64) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"1","slots":6,"state":"{state}","cold_left_ms":0,"call_seq":0,"born":{born}}}"#
        );
        self.record.note(&format!("server {id} is registered as {state}"));
        self.store.put("keyed.servers", id, &entry);
    }

    /// Starts a stand-in of a server, and returns once it listens. Its lines go to the record.
    pub fn start_server(&self, arguments: &[String]) -> Process {
        let program = std::env::current_exe().expect("own program");
        let mut command = Command::new(program);
        let mut child = spawn(command.arg("server").args(arguments).stdout(Stdio::piped())).expect("the server starts");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        match lines.next() {
            Some(Ok(line)) if line == "listening" => {}
            other => unable(&format!("a server does not listen: {other:?}")),
        }
        let record = self.record.clone();
        let name = arguments[1].clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(&format!("server {name}: {line}"));
            }
        });
        Process { child }
    }

    /// Starts the entries, as the deploy file says, and waits until they are ready.
    pub fn start_entries(&mut self, count: usize) {
        for index in 0..count {
            let entry = self.start_entry(index, count, true);
            self.entries.push(entry);
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        for index in 0..count {
            while !self.is_ready(index) {
                if Instant::now() > deadline {
                    unable("an entry does not become ready");
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        std::thread::sleep(Duration::from_millis(1_500));
    }

    /// Starts entry `index` of `count`.
    pub fn start_entry(&self, index: usize, count: usize, is_first_start: bool) -> Process {
        let address = self.entry_address(index);
        let ip = address.ip();
        let seeds: Vec<String> = (0..count.min(3))
            .map(|other| format!("\"{}\"", self.entry_address(other)))
            .collect();
        let settings = format!(
            r#"{{"name":"front-{index}","hall":"zone-a","address":"{ip}","callers":"{address}","ready":"{ip}:8220","peer_port":7340,
"seeds":[{}],"store":"{}.1:8223","first_start":{is_first_start},"metrics":"{ip}:9464",
"bounds":{{"drain_ms":3000,"apply_ms":3000,"revoke_ms":5000,"revoke_strict":true,"grace_s":8,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":118}},
"limits":{{"memory_mb":320,"descriptors":8200}}}}"#,
            seeds.join(","),
            self.net
        );
        let path = self.folder.join(format!("front-{index}.json"));
        fs::write(&path, settings).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("front-{index}.log")));
        let mut command = Command::new(self.root.join("target/release/platform-entry"));
        let child = spawn(command.arg(&path).stdout(log.expect("log")))
            .unwrap_or_else(|error| unable(&format!("platform-entry: {error}")));
        Process { child }
    }

    /// Whether an entry says that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let mut address = self.entry_address(index);
        address.set_port(8220);
        let asked = || {
            let mut reader = Reader::new(connect(address).ok()?);
            reader
                .stream
                .write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                .ok()?;
            reader.message().ok()?
        };
        asked().is_some_and(|message| message.status() == 200)
    }

    /// The log of an entry, as far as it is written.
    pub fn entry_log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("front-{index}.log"))).unwrap_or_default()
    }

    /// Most memory that an entry has held, in MB.
    pub fn entry_peak_mb(&self, index: usize) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.entries[index].child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        line.split_whitespace()
            .next()
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
            / 1_024
    }
}

/// A request of a caller, with its key, without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    request_with(KEY, method, path, id, deadline_ms)
}

/// The same with another key.
pub fn request_with(key: &str, method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{length}\r\n"
    )
}

/// What a caller got for a request.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Why it is not complete, if it isn't.
    pub broken: Option<String>,
}

/// Sends a request on a channel, and reads the answer at `bytes_per_s`.
pub fn call(channel: &mut Reader, request: &str, bytes_per_s: u64) -> Answer {
    let mut answer = Answer::default();
    let result = (|| {
        channel.stream.write_all(request.as_bytes())?;
        let head = channel.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        channel.paced_body(&head, bytes_per_s, &mut answer.body)
    })();
    answer.broken = result.err().map(|error: std::io::Error| error.to_string());
    answer
}
