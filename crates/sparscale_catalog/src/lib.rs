//! The data with which an entry sends requests directly to targets: the catalog of routes, services and workspaces, and
//! the roster of targets.
//!
//! Both are supplied by the caller as complete snapshots; this crate performs no I/O and reads no clock.

mod catalog;
pub mod cold;
mod directory;
mod document;
mod engine;
mod error;
mod evacuation;
mod incarnation;
mod roster;
mod routes;

pub use catalog::{Access, Catalog};
pub use directory::{Directory, Group, Instance};
pub use document::{Document, Limits, RequestKind, Route, Service, Share, Workspace};
pub use engine::{EngineProfile, ExpertLayout};
pub use error::Error;
pub use evacuation::{Configuration, Evacuations};
pub use incarnation::{Incarnation, Incarnations, StartId};
pub use roster::{Membership, Roster, Target, TargetStatus, start_mark};
pub use routes::{RouteKey, ServiceKey};
