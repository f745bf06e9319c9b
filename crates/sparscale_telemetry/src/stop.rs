//! Waiting for the end of a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT; at each SIGHUP it does `reload`.
pub async fn wait_for_stop(mut reload: impl FnMut()) -> Result<(), std::io::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(),
        }
    }
}
