//! The list of targets that a request was sent to.

use sparscale_catalog::{Incarnation, Instance};

/// Targets that a request was sent to, in order of the attempts.
#[derive(Debug, Default)]
pub(crate) struct AttemptedTargets {
    targets: Vec<Instance>,
}

impl AttemptedTargets {
    /// Adds a target.
    pub(crate) fn push(&mut self, instance: Instance) {
        self.targets.push(instance);
    }

    /// Whether the request was sent to `target`.
    pub(crate) fn contains(&self, target: Incarnation) -> bool {
        self.targets.iter().any(|instance| instance.key == target)
    }

    /// The target of the latest attempt.
    pub(crate) fn last(&self) -> Option<&Instance> {
        self.targets.last()
    }

    /// Number of attempts.
    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }

    /// Ids of the targets, for the log.
    pub(crate) fn ids(&self) -> Vec<&str> {
        self.targets
            .iter()
            .map(|instance| instance.target.id.as_str())
            .collect()
    }
}
