//! Writes log lines without blocking the code that logs them.
//!
//! Lines are buffered in memory, and a separate thread writes them to standard output. Lines of the level `info` are
//! dropped above a rate limit; warnings and errors, such as failed requests, are dropped only if the buffer is full
//! because the output is read too slowly. Dropped lines are counted, and a log line reports their number.

use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

/// Maximum number of lines of the level `info` per second.
const MAX_INFO_LINES_PER_SECOND: u32 = 400;
/// Maximum size of the buffered lines.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Pause after each write, so that the next write combines many lines.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time for which an ending process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Buffered lines and the state of the rate limit.
#[derive(Debug)]
struct LogBuffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last write.
    left_out: u64,
    /// Start of the current second of the rate limit.
    second_start: Instant,
    /// Lines of the level `info` received in the current second.
    lines_in_second: u32,
    /// Whether the thread is writing lines that it has taken from the buffer.
    is_writing: bool,
}

#[derive(Debug)]
struct Shared {
    buffer: Mutex<LogBuffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LogBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Log appender with a bounded buffer and a rate limit.
#[derive(Debug)]
pub(crate) struct BoundedAppender {
    layout: JsonLayout,
    shared: Arc<Shared>,
}

/// Handle by which a process waits until its last lines are written.
#[derive(Debug, Clone)]
pub struct LogFlusher {
    shared: Arc<Shared>,
}

impl BoundedAppender {
    /// Starts the writing thread.
    pub(crate) fn start() -> std::io::Result<(Self, LogFlusher)> {
        let shared = Arc::new(Shared {
            buffer: Mutex::new(LogBuffer {
                bytes: Vec::new(),
                left_out: 0,
                second_start: Instant::now(),
                lines_in_second: 0,
                is_writing: false,
            }),
            changed: Condvar::new(),
        });
        let writer_shared = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 << 10)
            .spawn(move || write_lines(&writer_shared))?;
        let appender = Self {
            layout: JsonLayout::default(),
            shared: Arc::clone(&shared),
        };
        Ok((appender, LogFlusher { shared }))
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let mut buffer = self.shared.lock();
        let is_exempt = record.level() > Level::Info;
        if !buffer.admit(line.len(), is_exempt, Instant::now()) {
            buffer.left_out += 1;
            return Ok(());
        }
        buffer.bytes.extend_from_slice(&line);
        buffer.bytes.push(b'\n');
        self.shared.changed.notify_one();
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        LogFlusher {
            shared: Arc::clone(&self.shared),
        }
        .wait();
        Ok(())
    }
}

impl LogBuffer {
    fn admit(&mut self, length: usize, is_exempt: bool, now: Instant) -> bool {
        if self.bytes.len() + length > MAX_BUFFERED_BYTES {
            return false;
        }
        if is_exempt {
            return true;
        }
        if now.duration_since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        self.lines_in_second <= MAX_INFO_LINES_PER_SECOND
    }
}

impl LogFlusher {
    /// Waits until all buffered lines are written, but only for a fraction of a second, so that a blocked output
    /// doesn't keep the process alive.
    pub fn wait(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut buffer = self.shared.lock();
        while (!buffer.bytes.is_empty() || buffer.is_writing) && Instant::now() < deadline {
            let wait_result = self.shared.changed.wait_timeout(buffer, WRITE_PAUSE);
            buffer = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Writes buffered lines until the process ends.
fn write_lines(shared: &Shared) {
    loop {
        let (bytes, left_out) = take_lines(shared);
        let mut output = std::io::stdout().lock();
        // A closed output must not end the process.
        let _closed = output.write_all(&bytes);
        if left_out > 0 {
            let _closed = writeln!(
                output,
                "{{\"level\":\"WARN\",\"message\":\"log lines left out\",\"kvs\":{{\"decision\":\"log\",\"left_out\":{left_out}}}}}"
            );
        }
        let _closed = output.flush();
        drop(output);
        shared.lock().is_writing = false;
        shared.changed.notify_all();
        std::thread::sleep(WRITE_PAUSE);
    }
}

/// Waits for lines and takes them from the buffer, with the number of dropped lines.
fn take_lines(shared: &Shared) -> (Vec<u8>, u64) {
    let mut buffer = shared.lock();
    while buffer.bytes.is_empty() && buffer.left_out == 0 {
        buffer = shared.changed.wait(buffer).unwrap_or_else(PoisonError::into_inner);
    }
    buffer.is_writing = true;
    (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.left_out))
}
