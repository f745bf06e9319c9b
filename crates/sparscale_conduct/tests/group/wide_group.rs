//! A conductor of many ranks must not drown in them.

use std::io::ErrorKind;
use std::net::UdpSocket;
use std::time::Duration;

use crate::engines::World;

const RANKS: usize = 24;
/// More than are reached quickly enough without connections that stand.
const LARGE: usize = 26;
/// Links that a conductor may open at once, twice: on a busy machine the look may fall into the second turn.
const MOST: usize = 16;
/// Shorter than the time that a conductor gives an agent to answer.
const LOOK: Duration = Duration::from_millis(250);

/// Boxes whose agents never answer: what arrives there is left to lie.
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

/// Handshakes take processor time: with all of them at once, none is done in time on a small box.
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

/// The agent that is next in line has a connection to every other one before it leads.
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
