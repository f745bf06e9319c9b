//! Writes log lines without ever blocking the work that they tell of.
//!
//! Lines wait in memory, and a thread of its own writes them to standard output. Under load, lines of the level `info`
//! are left out beyond a number a second; warnings and errors, failed requests among them, only when a slow reader of
//! the output has filled the memory. What was left out is counted and told.

use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

/// Lines of the level `info` that one process writes in a second at most.
const LINES_PER_SECOND: u32 = 400;
/// Bytes that wait at most.
const WAITING_BYTES: usize = 1 << 20;
/// Pause between two writes, so that many lines share one.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time that the last lines get when a process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that wait to be written.
#[derive(Debug)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
    second: Instant,
    in_second: u32,
    writing: bool,
}

#[derive(Debug)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The appender of the one log.
#[derive(Debug)]
pub(crate) struct Bounded {
    layout: JsonLayout,
    shared: Arc<Shared>,
}

/// Lets a process wait for its last lines.
#[derive(Debug, Clone)]
pub struct Flush {
    shared: Arc<Shared>,
}

impl Bounded {
    /// Starts the thread that writes.
    pub(crate) fn start() -> std::io::Result<(Self, Flush)> {
        let shared = Arc::new(Shared {
            waiting: Mutex::new(Waiting {
                bytes: Vec::new(),
                left_out: 0,
                second: Instant::now(),
                in_second: 0,
                writing: false,
            }),
            changed: Condvar::new(),
        });
        let writing = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 << 10)
            .spawn(move || write(&writing))?;
        let bounded = Self {
            layout: JsonLayout::default(),
            shared: Arc::clone(&shared),
        };
        Ok((bounded, Flush { shared }))
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let mut waiting = self.shared.lock();
        let spared = record.level() > Level::Info;
        if !waiting.admit(line.len(), spared, Instant::now()) {
            waiting.left_out += 1;
            return Ok(());
        }
        waiting.bytes.extend_from_slice(&line);
        waiting.bytes.push(b'\n');
        self.shared.changed.notify_one();
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Flush {
            shared: Arc::clone(&self.shared),
        }
        .wait();
        Ok(())
    }
}

impl Waiting {
    fn admit(&mut self, length: usize, spared: bool, now: Instant) -> bool {
        if self.bytes.len() + length > WAITING_BYTES {
            return false;
        }
        if spared {
            return true;
        }
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.in_second <= LINES_PER_SECOND
    }
}

impl Flush {
    /// Waits until everything is written, for a short while.
    pub fn wait(&self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let mut waiting = self.shared.lock();
        while (!waiting.bytes.is_empty() || waiting.writing) && Instant::now() < until {
            let waited = self.shared.changed.wait_timeout(waiting, WRITE_PAUSE);
            waiting = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn write(shared: &Shared) {
    loop {
        let (bytes, left_out) = next(shared);
        let mut output = std::io::stdout().lock();
        // An output that nobody reads any more must not end the process.
        let _closed = output.write_all(&bytes);
        if left_out > 0 {
            let _closed = writeln!(
                output,
                "{{\"level\":\"WARN\",\"message\":\"log lines left out\",\"kvs\":{{\"decision\":\"log\",\"left_out\":{left_out}}}}}"
            );
        }
        let _closed = output.flush();
        drop(output);
        shared.lock().writing = false;
        shared.changed.notify_all();
        std::thread::sleep(WRITE_PAUSE);
    }
}

/// Waits for lines and takes them.
fn next(shared: &Shared) -> (Vec<u8>, u64) {
    let mut waiting = shared.lock();
    while waiting.bytes.is_empty() && waiting.left_out == 0 {
        waiting = shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
    }
    waiting.writing = true;
    (
        std::mem::take(&mut waiting.bytes),
        std::mem::take(&mut waiting.left_out),
    )
}
