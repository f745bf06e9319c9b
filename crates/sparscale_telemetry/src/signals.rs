//! Signals that stop a process or make it reload its files.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals handled by a process. A signal that arrives before the process waits for it isn't lost.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Starts to listen. A program must call this first, because until then each of these signals ends the process.
    pub fn listen() -> Result<Self, std::io::Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, and calls `reload` at each SIGHUP.
    pub async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
