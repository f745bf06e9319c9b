//! When an entry that has just started counts as knowing the others, so that it may send to cold targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sparscale_belief::Board;
use sparscale_mesh::{DEFAULT_ENTRIES_PER_LOAD_STEP, Mesh, Settings};
use sparscale_policy::rate_limit::{Members, SETTLING_TIME};
use sparscale_wire::{Endpoint, Identity, Role};

fn start(seeds: &[SocketAddr]) -> Arc<Mesh> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = Endpoint::bind(any, Identity::SelfSigned(Role::Entry)).expect("a free port");
    let settings = Settings {
        address: endpoint.local_address().expect("an address"),
        role: Role::Entry,
        seeds: seeds.to_vec(),
        interval: Duration::from_millis(20),
        entries_per_load_step: DEFAULT_ENTRIES_PER_LOAD_STEP,
    };
    let mesh = Mesh::new(settings, Arc::new(Board::default()), Arc::new(endpoint));
    tokio::spawn(Arc::clone(&mesh).run_entry_links());
    tokio::spawn(Arc::clone(&mesh).accept());
    mesh
}

async fn wait_for(mesh: &Mesh, condition: impl FnMut(&Members) -> bool) {
    let mut members = mesh.members();
    let reached = tokio::time::timeout(Duration::from_secs(20), members.wait_for(condition)).await;
    reached
        .expect("the condition must hold within 20 s")
        .expect("the mesh is not dropped");
}

/// Entries that start together must not divide the rate of a cold target while they still learn of each other.
#[tokio::test(flavor = "multi_thread")]
async fn all_start() {
    let begin = Instant::now();
    let first = start(&[]);
    assert!(!first.members().borrow().is_settled, "before any view");
    let second = start(&[first.address()]);
    let third = start(&[first.address()]);
    for mesh in [&first, &second, &third] {
        wait_for(mesh, |members| members.is_settled).await;
        assert!(begin.elapsed() >= SETTLING_TIME, "{:?}", begin.elapsed());
        assert_eq!(mesh.members().borrow().live.len(), 3);
        assert!(mesh.members().borrow().is_complete);
    }
}
