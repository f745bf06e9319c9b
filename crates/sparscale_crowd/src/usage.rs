//! Memory and descriptors of a process, read from the operating system.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval at which a [`Monitor`] samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time over which a process that has settled is idle.
const SETTLED_TIME: Duration = Duration::from_secs(1);
/// Processor time within [`SETTLED_TIME`] from which on a process is not idle, in ticks of 10 ms.
const MAX_SETTLED_TICKS: u64 = 10;

/// What a process uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Resident memory and the bytes that have arrived at its ports and are not read yet, in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// What `process`, which listens at `ports`, uses now; none once it has ended.
    pub fn of(process: u32, ports: &[u16]) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kb: u64 = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self {
            memory: resident_kb * 1024 + unread_bytes(ports),
            descriptors: fs::read_dir(format!("/proc/{process}/fd")).ok()?.count(),
        })
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory: self.memory.max(other.memory),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Bytes in the receive queues of established connections at local `ports`; 0 where the system does not show them.
fn unread_bytes(ports: &[u16]) -> u64 {
    const ESTABLISHED: &str = "01";
    let Ok(table) = fs::read_to_string("/proc/net/tcp") else {
        return 0;
    };
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = fields.get(1)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let is_counted = fields.get(3) == Some(&ESTABLISHED) && ports.contains(&port);
        let (_, received) = fields.get(4)?.split_once(':')?;
        is_counted.then(|| u64::from_str_radix(received, 16).ok())?
    };
    table.lines().skip(1).filter_map(queue).sum()
}

/// Processor time that `process` has used, in clock ticks; none once it has ended.
fn processor_ticks(process: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name of the program may contain spaces; it ends with the last parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    Some(ticks(11)? + ticks(12)?)
}

/// Waits until `process` has nothing left to do, so that it holds all that it will hold: it uses less than a tenth of a
/// processor for [`SETTLED_TIME`]. Returns after `timeout` at the latest.
pub async fn wait_until_settled(process: u32, timeout: Duration) {
    let started_at = Instant::now();
    let mut last_ticks = processor_ticks(process);
    while started_at.elapsed() < timeout {
        tokio::time::sleep(SETTLED_TIME).await;
        let ticks = processor_ticks(process);
        match (last_ticks, ticks) {
            (Some(last), Some(now)) if now - last >= MAX_SETTLED_TICKS => last_ticks = ticks,
            _ => return,
        }
    }
}

/// Samples the usage of a process until it is stopped.
#[derive(Debug)]
pub struct Monitor {
    peak: Arc<Mutex<Usage>>,
    is_stopped: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Monitor {
    /// Starts sampling `process`, which listens at `ports`.
    pub fn start(process: u32, ports: Vec<u16>) -> Self {
        let peak = Arc::new(Mutex::new(Usage::default()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sampler = {
            let (peak, is_stopped) = (Arc::clone(&peak), Arc::clone(&is_stopped));
            thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let Some(usage) = Usage::of(process, &ports) else {
                        return;
                    };
                    let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
                    *peak = peak.max(usage);
                    drop(peak);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Self {
            peak,
            is_stopped,
            sampler: Some(sampler),
        }
    }

    /// The most that the process has used of each.
    pub fn peak(&self) -> Usage {
        *self.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            // The sampler only fails if it panicked, which its own output shows.
            let _joined = sampler.join();
        }
    }
}
