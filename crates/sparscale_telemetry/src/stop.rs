//! Waiting for the end of a process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a process acts on. One that comes before it is waited for is not lost.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens from now on. A program does so first of all: until then, each of these signals ends it.
    pub fn listen() -> Result<Self, std::io::Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; at each SIGHUP it does `reload`.
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
