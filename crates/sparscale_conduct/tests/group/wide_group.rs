//! The leader of many ranks limits the number of links that it opens concurrently, and its successor has its
//! connections ready.

use std::io::ErrorKind;
use std::net::UdpSocket;
use std::time::Duration;

use crate::engines::World;

const GROUP_RANKS: usize = 24;
/// Size of a group in which the first candidates keep standby connections.
const LARGE_GROUP_RANKS: usize = 26;
/// Twice the number of links that a leader opens concurrently: on a busy machine the check may fall into the second
/// batch.
const MAX_OPENING_LINKS: usize = 16;
/// Time until the check; shorter than a leader's timeout for opening a stream.
const CHECK_DELAY: Duration = Duration::from_millis(250);

/// Boxes whose agents never answer: packets that arrive stay unread.
fn unresponsive_agents(world: &World) -> Vec<UdpSocket> {
    let bind_socket = |rank| {
        let socket = UdpSocket::bind(world.agent_address(rank)).expect("a free address");
        socket.set_nonblocking(true).expect("a nonblocking socket");
        socket
    };
    let ranks = world.lock().ranks();
    (1..ranks).map(bind_socket).collect()
}

fn was_dialled(socket: &UdpSocket) -> bool {
    let mut packet = [0_u8; 2_048];
    match socket.peek_from(&mut packet) {
        Ok(_) => true,
        Err(error) => {
            assert_eq!(error.kind(), ErrorKind::WouldBlock);
            false
        }
    }
}

/// Handshakes take processor time: if all are started at once, none completes in time on a small box.
#[test]
fn limits_concurrent_dials() {
    let world = World::with_ranks(6, GROUP_RANKS);
    let unresponsive = unresponsive_agents(&world);
    let leader = world.start_agent(0);
    world.wait_for("a claim", |group| !group.claims.is_empty());
    while !unresponsive.iter().any(was_dialled) {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(CHECK_DELAY);
    let dialled = unresponsive.iter().filter(|socket| was_dialled(socket)).count();
    assert!(
        dialled <= MAX_OPENING_LINKS,
        "{dialled} links were being opened concurrently"
    );
    leader.shutdown_background();
}

/// The next candidate for leadership is connected to every other agent before it leads.
#[test]
fn candidate_connects_in_advance() {
    let world = World::with_ranks(11, LARGE_GROUP_RANKS);
    world.lock().others_claim_first = true;
    let unresponsive: Vec<UdpSocket> = unresponsive_agents(&world).into_iter().skip(1).collect();
    let candidate = world.start_agent(1);
    world.wait_for("a dial of each other agent", |_| unresponsive.iter().all(was_dialled));
    assert!(world.lock().claims.is_empty(), "the candidate claimed the leadership");
    candidate.shutdown_background();
}
