//! The halls that the operators evacuate.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;

/// The halls whose targets get no new requests, by order of the operators.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuations(BTreeSet<String>);

impl Evacuations {
    /// Whether `hall` is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.0.contains(hall)
    }

    /// Whether no hall is evacuated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Names of the evacuated halls, sorted.
    pub fn halls(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// The halls that are evacuated here or in `other`.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        Self(self.0.union(&other.0).cloned().collect())
    }
}

impl FromIterator<String> for Evacuations {
    fn from_iter<I: IntoIterator<Item = String>>(iter: I) -> Self {
        Self(iter.into_iter().collect())
    }
}

/// What the operators order, as one read of the store returns it.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Routes, services and workspaces.
    pub catalog: Arc<Catalog>,
    /// Evacuated halls.
    pub evacuations: Evacuations,
}
