//! Processor time, memory and loopback bytes, as the kernel counts them.

use std::fs;

/// Kernel ticks in a second; fixed for user space on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time of process `id` so far, in seconds.
pub(crate) fn processor_seconds(id: u32) -> Result<f64, String> {
    let text = read(&format!("/proc/{id}/stat"))?;
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

/// Resident memory of process `id`, in MiB.
pub(crate) fn resident_mib(id: u32) -> Result<f64, String> {
    let text = read(&format!("/proc/{id}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0);
    Ok(kib / 1_024.0)
}

/// Bytes that the loopback device has carried.
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

/// Slope and intercept of the least-squares line through `points`.
pub(crate) fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
