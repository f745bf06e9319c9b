//! Which source a process follows, from the live list alone.
//!
//! The processes of a hall are put in order by a hash of their names. The first few read the log; each of the others
//! follows one that stands before it, in a tree of bounded fan-out, so that no process feeds more than a few.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};
use sparscale_wire::Role;

/// Processes of each hall that read the log themselves.
const READERS_PER_HALL: usize = 2;
/// Processes that one process feeds.
const FAN_OUT: usize = 8;

/// A process of the live list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Unique name.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Hall that it stands in.
    pub hall: String,
    /// Address of its socket.
    pub address: SocketAddr,
}

/// Where records come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another process.
    Peer {
        /// Address of its socket.
        address: SocketAddr,
        /// What it is.
        role: Role,
    },
}

/// The sources that the process called `name` in `hall` tries, best first. The log is always among them.
pub fn sources(name: &str, hall: &str, live: &[Node]) -> Vec<Source> {
    let own_hall = ordered(live.iter().filter(|node| node.hall == hall));
    let position = own_hall.iter().position(|node| node.name == name);
    let readers = own_hall.iter().take(READERS_PER_HALL).filter(|node| node.name != name);
    let other_halls = readers_of_other_halls(name, hall, live);
    let Some(index) = position.filter(|index| *index >= READERS_PER_HALL) else {
        let peers = readers.copied().chain(other_halls).map(peer);
        return std::iter::once(Source::Log).chain(peers).collect();
    };
    let parent = own_hall[(index - READERS_PER_HALL) / FAN_OUT];
    let mut found = vec![peer(parent)];
    found.extend(readers.filter(|node| node.name != parent.name).copied().map(peer));
    found.push(Source::Log);
    found.extend(other_halls.map(peer));
    found
}

fn readers_of_other_halls<'a>(name: &str, hall: &str, live: &'a [Node]) -> impl Iterator<Item = &'a Node> {
    let mut halls: Vec<&str> = live
        .iter()
        .map(|node| node.hall.as_str())
        .filter(|other| *other != hall)
        .collect();
    halls.sort_unstable();
    halls.dedup();
    // Each process asks another reader of a hall first, so that one reader does not meet them all.
    let turn = usize::from(hash(name)[0]);
    halls.into_iter().filter_map(move |hall| {
        let readers = ordered(live.iter().filter(|node| node.hall == hall));
        let count = readers.len().min(READERS_PER_HALL);
        readers.get(turn % count.max(1)).copied()
    })
}

fn ordered<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<&'a Node> {
    let mut nodes: Vec<&Node> = nodes.collect();
    nodes.sort_by_cached_key(|node| hash(&node.name));
    nodes
}

fn peer(node: &Node) -> Source {
    Source::Peer {
        address: node.address,
        role: node.role,
    }
}

fn hash(name: &str) -> [u8; 32] {
    Sha256::digest(name.as_bytes()).into()
}
