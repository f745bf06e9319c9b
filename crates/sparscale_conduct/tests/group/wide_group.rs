//! The leader of many ranks limits the number of links that it opens concurrently, and its successor has its
//! connections ready.

use std::io::ErrorKind;
use std::net::UdpSocket;
use std::time::Duration;

use crate::engines::World;

const RANKS: usize = 24;
/// Group size above which agents keep standby connections.
const LARGE: usize = 26;
/// Twice the number of links that a leader opens concurrently: on a busy machine the check may fall into the second
/// batch.
const MOST: usize = 16;
/// Time until the check; shorter than a leader's timeout for opening a stream.
const LOOK: Duration = Duration::from_millis(250);

/// Boxes whose agents never answer: packets that arrive stay unread.
fn silent_agents(world: &World) -> Vec<UdpSocket> {
    let silent = |rank| {
        let socket = UdpSocket::bind(world.agent_address(rank)).expect("a free address");
        socket.set_nonblocking(true).expect("a socket that does not wait");
        socket
    };
    let ranks = world.lock().ranks();
    (1..ranks).map(silent).collect()
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
fn dials_few() {
    let world = World::of(6, RANKS);
    let silent = silent_agents(&world);
    let leader = world.agent(0);
    world.wait("a claim", |group| !group.claims.is_empty());
    while !silent.iter().any(was_dialled) {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(LOOK);
    let dialled = silent.iter().filter(|socket| was_dialled(socket)).count();
    assert!(dialled <= MOST, "{dialled} links were being opened at once");
    leader.shutdown_background();
}

/// The next candidate for leadership is connected to every other agent before it leads.
#[test]
fn next_stands_by() {
    let world = World::of(11, LARGE);
    world.lock().others_lead = true;
    let silent: Vec<UdpSocket> = silent_agents(&world).into_iter().skip(1).collect();
    let next = world.agent(1);
    world.wait("a dial of each other agent", |_| silent.iter().all(was_dialled));
    assert!(world.lock().claims.is_empty(), "it leads");
    next.shutdown_background();
}
