//! Counts the recent admissions of each workspace, so that requests of workspaces with few of them are admitted first.
//!
//! Load pattern: one workspace sends most of the requests of an overload. In the order of arrival, the others would
//! wait behind its requests and be rejected as often, although the group could serve all of theirs on time.
//!
//! Each entry counts its own admissions. It sees a sample of all requests, so the order of its counts is that of all
//! admissions, without any message.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::{Duration, Instant};

/// Time after which an admission counts for 1/e: longer than a request stays in a group, and short enough that a
/// workspace isn't held back for a burst that it has ended.
const DECAY: Duration = Duration::from_secs(4);
/// Time after which workspaces without recent admissions are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);
/// Count below which a workspace is dropped.
const MIN_COUNT: f64 = 0.05;
/// Maximum number of workspaces with a count. Further ones count as having none, which puts them first.
const MAX_WORKSPACES: usize = 4_096;

/// A workspace, as a hash of its name. Two workspaces with the same hash share their count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Workspace(u64);

impl Workspace {
    /// The workspace of this name. All requests without a workspace count as [`Workspace::default`].
    pub fn named(name: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Recent admissions of each workspace.
#[derive(Debug, Default)]
pub struct FairShares {
    /// Time to which the counts are scaled: an admission counts for more the later it is, so that the older counts need
    /// no update.
    origin: Option<Instant>,
    scaled_counts: HashMap<Workspace, f64>,
}

impl FairShares {
    /// Counts an admission.
    pub fn record(&mut self, workspace: Workspace, now: Instant) {
        let origin = *self.origin.get_or_insert(now);
        if now.saturating_duration_since(origin) > CLEANUP_INTERVAL
            || self.scaled_counts.len() >= MAX_WORKSPACES && !self.scaled_counts.contains_key(&workspace)
        {
            self.clean_up(now);
        }
        if self.scaled_counts.len() < MAX_WORKSPACES || self.scaled_counts.contains_key(&workspace) {
            let growth = self.growth(now);
            *self.scaled_counts.entry(workspace).or_default() += growth;
        }
    }

    /// Number of recent admissions of the workspace, of which older ones count for less.
    pub fn count(&self, workspace: Workspace, now: Instant) -> f64 {
        let scaled = self.scaled_counts.get(&workspace).copied().unwrap_or_default();
        scaled / self.growth(now)
    }

    /// Number of workspaces that have a count.
    pub fn len(&self) -> usize {
        self.scaled_counts.len()
    }

    /// Whether no workspace has a count.
    pub fn is_empty(&self) -> bool {
        self.scaled_counts.is_empty()
    }

    /// What an admission at `now` counts for, in units of one at the origin.
    fn growth(&self, now: Instant) -> f64 {
        let elapsed = self
            .origin
            .map_or(Duration::ZERO, |origin| now.saturating_duration_since(origin));
        elapsed.div_duration_f64(DECAY).exp()
    }

    /// Scales the counts to `now` and drops the small ones.
    fn clean_up(&mut self, now: Instant) {
        let growth = self.growth(now);
        self.scaled_counts.retain(|_, count| {
            *count /= growth;
            *count >= MIN_COUNT
        });
        self.origin = Some(now);
    }
}
