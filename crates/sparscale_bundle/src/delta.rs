//! Changes between two versions of a bundle, so that a small change needs only a small record in the log.

use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;
use crate::check::Error;
use crate::document::{Fleet, Workspace};

/// One change to a bundle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a workspace or replaces the workspace of that name.
    PutWorkspace(Workspace),
    /// Removes the workspace of that name.
    RemoveWorkspace(String),
    /// Replaces the fleet section.
    SetFleet(Box<Fleet>),
}

/// All changes from one version to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Changes, in the order of their application.
    pub changes: Vec<Change>,
}

impl Delta {
    /// Computes the changes that turn `old` into `new`.
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        let removed = old
            .workspaces()
            .filter(|workspace| new.workspace(&workspace.name).is_none())
            .map(|workspace| Change::RemoveWorkspace(workspace.name.clone()));
        // Removals come first because a key may move from a removed workspace to another one.
        let mut changes: Vec<Change> = removed.collect();
        if old.fleet() != new.fleet() {
            changes.push(Change::SetFleet(Box::new(new.fleet().as_ref().clone())));
        }
        let added_or_changed = new
            .workspaces()
            .filter(|workspace| old.workspace(&workspace.name) != Some(*workspace))
            .map(|workspace| Change::PutWorkspace(Workspace::clone(workspace)));
        changes.extend(added_or_changed);
        Self { changes }
    }

    /// Applies the changes to `base` and returns the result with version `version`.
    pub fn apply(&self, base: &Bundle, version: u64) -> Result<Bundle, Error> {
        let mut bundle = base.with_version(version);
        for change in &self.changes {
            match change {
                Change::PutWorkspace(workspace) => bundle.put_workspace(workspace.clone())?,
                Change::RemoveWorkspace(name) => bundle.remove_workspace(name),
                Change::SetFleet(fleet) => bundle.replace_fleet(Fleet::clone(fleet))?,
            }
        }
        Ok(bundle)
    }
}
