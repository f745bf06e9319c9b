//! The number of entries among which common limits are divided.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_mesh::{self as mesh, DEFAULT_ENTRIES_PER_LOAD_STEP, Mesh, Settings};
use sparscale_wire::{Endpoint, Identity, Role};
use tokio::runtime::Runtime;

/// An entry with its own runtime, so that it can be terminated like a process.
struct Entry {
    runtime: Runtime,
    mesh: Arc<Mesh>,
    address: SocketAddr,
}

impl Entry {
    fn start(seeds: &[SocketAddr]) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let guard = runtime.enter();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = Endpoint::bind(any, Identity::SelfSigned(Role::Entry)).expect("a free port");
        let address = endpoint.local_address().expect("an address");
        let settings = Settings {
            address,
            role: Role::Entry,
            seeds: seeds.to_vec(),
            interval: Duration::from_millis(20),
            entries_per_load_step: DEFAULT_ENTRIES_PER_LOAD_STEP,
        };
        let mesh = Mesh::new(settings, Arc::new(Board::default()), Arc::new(endpoint));
        runtime.spawn(Arc::clone(&mesh).run_entry_links());
        runtime.spawn(Arc::clone(&mesh).accept());
        drop(guard);
        Self { runtime, mesh, address }
    }

    fn wait_for_status(&self, condition: impl FnMut(&mesh::Status) -> bool) -> mesh::Status {
        let mut status = self.mesh.status();
        let reached = async move {
            let result = tokio::time::timeout(Duration::from_secs(20), status.wait_for(condition)).await;
            *result.expect("the condition must hold within 20 s").expect("a mesh")
        };
        self.runtime.block_on(reached)
    }

    fn terminate(self) {
        self.runtime.shutdown_background();
    }
}

/// An entry without a link to any entry that it knows may be partitioned from all of them, and takes no share.
#[test]
fn no_share_without_links() {
    let terminated = Entry::start(&[]);
    let address = terminated.address;
    terminated.terminate();
    let unlinked = Entry::start(&[address]);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(unlinked.mesh.status().borrow().sharers, None);
}

/// Unresponsive entries still count, because they may only be partitioned and use their shares. If they are a majority,
/// the others take no share.
#[test]
fn unresponsive_entries_count() {
    let first = Entry::start(&[]);
    let others: Vec<Entry> = (0..4).map(|_| Entry::start(&[first.address])).collect();
    for entry in others.iter().chain([&first]) {
        entry.wait_for_status(|status| status.sharers == Some(5));
    }
    let mut others = others.into_iter();
    (0..2).filter_map(|_| others.next()).for_each(Entry::terminate);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(first.wait_for_status(|_| true).sharers, Some(5));
    others.next().expect("two others remain").terminate();
    first.wait_for_status(|status| status.sharers.is_none());
}
