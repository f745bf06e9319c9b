//! The targets that are there now.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// One incarnation of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of this incarnation, never used twice.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Hall that it stands in.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
}

/// All targets, as one reading of the platform's list gave them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Roster {
    /// Targets, ordered by id.
    pub targets: Vec<Target>,
}

impl Roster {
    /// A roster of `targets`, put into order.
    pub fn new(mut targets: Vec<Target>) -> Self {
        targets.sort_by(|left, right| left.id.cmp(&right.id));
        Self { targets }
    }

    /// The target with this id.
    pub fn find(&self, id: &str) -> Option<&Target> {
        let index = self
            .targets
            .binary_search_by(|target| target.id.as_str().cmp(id))
            .ok()?;
        self.targets.get(index)
    }

    /// Targets of one service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets.iter().filter(move |target| target.service == service)
    }
}
