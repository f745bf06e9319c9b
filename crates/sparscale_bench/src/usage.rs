//! Reads processor time, memory and loopback traffic from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc`; the value is fixed for user space on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time (user and system) of process `pid` so far, in seconds.
pub(crate) fn processor_seconds(pid: u32) -> Result<f64, String> {
    let text = read(&format!("/proc/{pid}/stat"))?;
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

/// Returns the resident memory of process `pid`, in MiB.
pub(crate) fn resident_mib(pid: u32) -> Result<f64, String> {
    let text = read(&format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0);
    Ok(kib / 1_024.0)
}

/// Returns the number of bytes that the loopback device has received.
pub(crate) fn loopback_bytes() -> Result<f64, String> {
    let text = read("/proc/net/dev")?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or_default();
    Ok(line
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0))
}

fn read(path: &str) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

/// Returns slope and intercept of the least-squares line through `points`.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
