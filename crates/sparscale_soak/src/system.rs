//! Entries with their stubs, for tests that judge the processes from outside.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use nix::sys::signal::Signal;

use crate::environment::Environment;
use crate::layout::{HOST, Net, Size};
use crate::platform::{BOUNDS, Platform};

/// Addresses of an entry that can be reached from outside its box.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
}

/// Entries, a store and targets that run until the system is stopped.
pub struct System(Environment);

impl System {
    /// Host of all routes.
    pub const HOST: &str = HOST;

    /// Starts `entries` entries and `targets` targets, with their files in `directory`. `round` selects the loopback
    /// network; each system of this process needs its own.
    pub async fn start(
        platform: Arc<dyn Platform>,
        entries: usize,
        targets: usize,
        round: u64,
        directory: &Path,
    ) -> Result<Self, String> {
        std::fs::create_dir_all(directory).map_err(|error| error.to_string())?;
        let size = Size {
            entries,
            targets,
            ranks: 0,
        };
        let net = Net::new(std::process::id(), round);
        Ok(Self(Environment::start(platform, net, size, BOUNDS, directory).await?))
    }

    /// Addresses of an entry.
    pub fn addresses(&self, entry: usize) -> EntryAddresses {
        let net = self.0.net;
        EntryAddresses {
            callers: net.caller_address(entry),
            ready: net.ready_address(entry),
            metrics: net.metrics_address(entry),
        }
    }

    /// Process id of an entry; none if it has ended.
    pub async fn process_id(&self, entry: usize) -> Option<u32> {
        self.0.process_id(entry).await
    }

    /// Sends SIGTERM to an entry.
    pub async fn terminate(&self, entry: usize) {
        self.0.signal(entry, Signal::SIGTERM).await;
    }

    /// Sets whether the store rejects all calls.
    pub fn set_store_unavailable(&self, is_unavailable: bool) {
        self.0.store.set_unavailable(is_unavailable);
    }

    /// Sets whether the targets reject all requests.
    pub fn set_targets_unavailable(&self, is_unavailable: bool) {
        for handle in &self.0.targets {
            handle.target.set_behavior(if is_unavailable {
                crate::behavior::Behavior::Rejecting
            } else {
                crate::behavior::Behavior::Healthy
            });
        }
    }

    /// Kills all processes.
    pub async fn stop(&self) {
        self.0.kill_all().await;
    }
}

/// A test that fails leaves no process behind.
impl Drop for System {
    fn drop(&mut self) {
        self.0.kill_remaining();
    }
}

impl std::fmt::Debug for System {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("System").finish_non_exhaustive()
    }
}
