//! Builds the directory of targets that a process uses from the roster and the evacuated halls.

use std::sync::Arc;

use sparscale_catalog::{Directory, Evacuations, Incarnations, Roster};

/// Builds directories of targets, in which each target has the key of its current start.
#[derive(Debug, Default)]
pub(crate) struct Builder {
    incarnations: Incarnations,
    /// The last directory: a roster is confirmed far more often than it changes.
    latest: Option<Built>,
}

/// A directory, and what it was built from.
#[derive(Debug)]
struct Built {
    roster_digest: u64,
    evacuations: Evacuations,
    directory: Arc<Directory>,
}

impl Builder {
    /// The directory of `roster`, in which the targets in evacuated halls are marked.
    pub(crate) fn build(&mut self, roster: &Roster, evacuations: Evacuations) -> Arc<Directory> {
        let roster_digest = roster.digest();
        if let Some(latest) = &self.latest
            && latest.roster_digest == roster_digest
            && latest.evacuations == evacuations
        {
            return Arc::clone(&latest.directory);
        }
        let directory = Arc::new(if evacuations.is_empty() {
            Directory::new(roster, &mut self.incarnations)
        } else {
            Directory::new(&roster.with_evacuated(&evacuations), &mut self.incarnations)
        });
        self.latest = Some(Built {
            roster_digest,
            evacuations,
            directory: Arc::clone(&directory),
        });
        directory
    }
}
