//! Selects the sources that a process follows, from the box list alone.
//!
//! The processes of a hall are ordered by a hash of their names. The first few read the log; each of the others follows
//! an earlier one in a tree of bounded fan-out, which limits the number of followers per process.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};
use sparscale_wire::Role;

/// Number of processes in each hall that read the log directly.
const READERS_PER_HALL: usize = 2;
/// Maximum number of followers that the tree assigns to a process.
const FAN_OUT: usize = 8;

/// A process on a live box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Unique name.
    pub name: String,
    /// Role of the process.
    pub role: Role,
    /// Hall of the process.
    pub hall: String,
    /// Address of its socket for other processes.
    pub address: SocketAddr,
}

/// Source of log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another process.
    Peer {
        /// Address of its socket for other processes.
        address: SocketAddr,
        /// Role of the process.
        role: Role,
    },
}

/// Returns the sources for the process called `name` in `hall`, best first; the log is always among them.
pub fn sources(name: &str, hall: &str, live: &[Node]) -> Vec<Source> {
    let own_hall = ordered_by_hash(live.iter().filter(|node| node.hall == hall));
    let position = own_hall.iter().position(|node| node.name == name);
    let readers = own_hall.iter().take(READERS_PER_HALL).filter(|node| node.name != name);
    let other_halls = readers_of_other_halls(name, hall, live);
    let Some(index) = position.filter(|index| *index >= READERS_PER_HALL) else {
        let peers = readers.copied().chain(other_halls).map(peer_source);
        return std::iter::once(Source::Log).chain(peers).collect();
    };
    let parent = own_hall[(index - READERS_PER_HALL) / FAN_OUT];
    let mut sources = vec![peer_source(parent)];
    sources.extend(
        readers
            .filter(|node| node.name != parent.name)
            .copied()
            .map(peer_source),
    );
    sources.push(Source::Log);
    sources.extend(other_halls.map(peer_source));
    sources
}

fn readers_of_other_halls<'a>(name: &str, hall: &str, live: &'a [Node]) -> impl Iterator<Item = &'a Node> {
    let mut halls: Vec<&str> = live
        .iter()
        .map(|node| node.hall.as_str())
        .filter(|other| *other != hall)
        .collect();
    halls.sort_unstable();
    halls.dedup();
    // The hash spreads the processes over the readers of a hall, so that one reader does not serve them all.
    let choice = usize::from(hash(name)[0]);
    halls.into_iter().filter_map(move |hall| {
        let readers = ordered_by_hash(live.iter().filter(|node| node.hall == hall));
        let count = readers.len().min(READERS_PER_HALL);
        readers.get(choice % count.max(1)).copied()
    })
}

fn ordered_by_hash<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<&'a Node> {
    let mut nodes: Vec<&Node> = nodes.collect();
    nodes.sort_by_cached_key(|node| hash(&node.name));
    nodes
}

fn peer_source(node: &Node) -> Source {
    Source::Peer {
        address: node.address,
        role: node.role,
    }
}

fn hash(name: &str) -> [u8; 32] {
    Sha256::digest(name.as_bytes()).into()
}
