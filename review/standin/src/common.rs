//! What the cases share: the record, processes, signals, settings files and the operator's configuration.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, message};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// `prctl` option: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// The record of a run: one line for each thing that was sent, answered, run or done.
#[derive(Clone)]
pub struct Journal {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Journal {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let line = format!("{seconds:9.3} {}\n", text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// A process that the case started; it ends with this value.
pub struct Process {
    pub child: Child,
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, number: i32) {
    unsafe {
        kill(pid as i32, number);
    }
}

impl Process {
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        // The process ends with the case, also if the case is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    pub fn signal(&self, number: i32) {
        signal(self.child.id(), number);
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.runs() {
            self.signal(SIGCONT);
            self.kill();
        }
    }
}

/// Addresses and files of one run.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub second_octet: u8,
    pub third_octet: u8,
}

impl Place {
    /// A temporary folder and a loopback network of its own.
    pub fn new(root: &Path) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("sparscale-review-{id}"));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            root: root.to_owned(),
            folder,
            second_octet: (id % 200) as u8 + 20,
            third_octet: (id / 200 % 200) as u8 + 20,
        })
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second_octet, self.third_octet, host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// Starts an entry with the command of the deploy file; its settings are those of `deploy/entry.json`, filled with
    /// the values of a small deployment.
    pub fn start_entry(&self, host: u8, seeds: &[u8], store: SocketAddr, first_start: bool) -> io::Result<Process> {
        let name = format!("entry-{host}");
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.address(*seed, 8_229)))
            .collect();
        let settings = format!(
            "{{\"name\":\"{name}\",\"hall\":\"hall-a\",\"address\":\"{}\",\"callers\":\"{}\",\"ready\":\"{}\",\
             \"peer_port\":7340,\"seeds\":[{}],\"store\":\"{store}\",\"first_start\":{first_start},\"metrics\":\"{}\",\
             \"bounds\":{{\"drain_ms\":2000,\"apply_ms\":2000,\"revoke_ms\":5000,\"revoke_strict\":true,\"grace_s\":8,\
             \"budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":90}}}}",
            self.address(host, 0).ip(),
            self.address(host, 8_227),
            self.address(host, 8_220),
            seeds.join(","),
            self.address(host, 9_464),
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let mut command = Command::new("target/release/platform-entry");
        command
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SPARSCALE_CONFIG", path);
        Process::start(&mut command, &self.folder.join(format!("{name}.log")))
    }

    /// Address for callers of an entry.
    pub fn callers(&self, host: u8) -> SocketAddr {
        self.address(host, 8_227)
    }

    /// Whether an entry says that it is ready.
    pub fn is_ready(&self, host: u8) -> bool {
        let ready = || -> io::Result<bool> {
            let mut connection = Connection::open(self.address(host, 8_220))?;
            connection.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            connection.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let head = connection.read_head()?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        ready().unwrap_or(false)
    }

    pub fn await_ready(&self, host: u8, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready(host) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|time| time.as_millis() as u64)
        .unwrap_or(0)
}

/// The digest that servers put into `X-Response-Seal`: FNV-1a of the whole body, and its length.
pub fn seal(body: &[u8]) -> String {
    let hash = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{hash:016x}.{:x}", body.len())
}

/// One request of a caller.
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// What a caller got.
pub enum Outcome {
    /// An answer that ended as its framing says.
    Complete {
        status: u16,
        seal: Option<String>,
        request_id: Option<String>,
        body: Vec<u8>,
    },
    /// The channel ended or fell silent before the answer was complete.
    Broken(String),
}

pub const HOST: &str = "ficu95.example";

/// Sends one request on a channel of its own and reads the answer.
pub fn call(address: SocketAddr, request: &Request<'_>) -> Outcome {
    let exchange = || -> io::Result<Outcome> {
        let mut connection = Connection::open(address)?;
        let limit = Duration::from_millis(request.deadline_ms + 2_000);
        connection.stream.set_read_timeout(Some(limit))?;
        let deadline = request.deadline_ms.to_string();
        let authorization = format!("Bearer {}", request.key);
        let bytes = message(
            &format!("{} {} HTTP/1.1", request.method, request.path),
            &[
                ("Host", HOST),
                ("X-Request-Id", request.id),
                ("X-Deadline-Ms", &deadline),
                ("Authorization", &authorization),
            ],
            request.body,
        );
        connection.write(&bytes)?;
        let Some(head) = connection.read_head()? else {
            return Ok(Outcome::Broken("the channel ended without an answer".to_owned()));
        };
        let body = connection.read_body(&head, true, |_| {})?;
        Ok(Outcome::Complete {
            status: head.status(),
            seal: head.header("x-response-seal").map(str::to_owned),
            request_id: head.header("x-request-id").map(str::to_owned),
            body,
        })
    };
    exchange().unwrap_or_else(|error| Outcome::Broken(error.to_string()))
}
