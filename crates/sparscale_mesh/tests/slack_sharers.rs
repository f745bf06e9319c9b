//! Among how many entries what all have in common is divided.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_mesh::{FEW_ENTRIES, Line, Mesh, Settings};
use sparscale_wire::{Endpoint, Identity, Role};
use tokio::runtime::Runtime;

/// An entry on a runtime of its own, so that it can be ended like a process.
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
        let inside = runtime.enter();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = Endpoint::bind(any, Identity::Made(Role::Entry)).expect("a free port");
        let address = endpoint.local_address().expect("an address");
        let settings = Settings {
            address,
            role: Role::Entry,
            seeds: seeds.to_vec(),
            interval: Duration::from_millis(20),
            few_entries: FEW_ENTRIES,
        };
        let mesh = Mesh::new(settings, Arc::new(Board::default()), Arc::new(endpoint));
        runtime.spawn(Arc::clone(&mesh).link_entries());
        runtime.spawn(Arc::clone(&mesh).accept());
        drop(inside);
        Self { runtime, mesh, address }
    }

    fn wait(&self, what: impl FnMut(&Line) -> bool) -> Line {
        let mut line = self.mesh.line();
        let seen = async move {
            let told = tokio::time::timeout(Duration::from_secs(20), line.wait_for(what)).await;
            *told.expect("it never came about").expect("a mesh")
        };
        self.runtime.block_on(seen)
    }

    fn end(self) {
        self.runtime.shutdown_background();
    }
}

/// One that hears nobody of those that it knows of may be cut off from all: it takes nothing.
#[test]
fn nobody_heard() {
    let gone = Entry::start(&[]);
    let address = gone.address;
    gone.end();
    let alone = Entry::start(&[address]);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(alone.mesh.line().borrow().sharers, None);
}

/// Entries that are not heard any more still count: they may be cut off, and spend. Where they are most, nothing is left to
/// take.
#[test]
fn silent_ones_count() {
    let first = Entry::start(&[]);
    let others: Vec<Entry> = (0..4).map(|_| Entry::start(&[first.address])).collect();
    for entry in others.iter().chain([&first]) {
        entry.wait(|line| line.sharers == Some(5));
    }
    let mut others = others.into_iter();
    (0..2).filter_map(|_| others.next()).for_each(Entry::end);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(first.wait(|_| true).sharers, Some(5));
    others.next().expect("two are left").end();
    first.wait(|line| line.sharers.is_none());
}
