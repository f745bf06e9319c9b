//! The data with which an entry sends requests directly to targets: the catalog of routes, services and workspaces, and the
//! roster of targets.
//!
//! Both are supplied by the caller as complete snapshots; this crate performs no I/O and reads no clock.

mod catalog;
mod directory;
mod document;
mod engine;
mod error;
mod incarnation;
mod roster;
mod routes;

pub use catalog::{Access, Catalog};
pub use directory::{Directory, Group, Seat};
pub use document::{Document, Kind, Limits, Route, Service, Share, Workspace};
pub use engine::{Engine, Experts};
pub use error::Error;
pub use incarnation::{Incarnation, Incarnations, Start};
pub use roster::{Membership, Roster, Standing, Target, start_mark};
pub use routes::{RouteKey, ServiceKey};
