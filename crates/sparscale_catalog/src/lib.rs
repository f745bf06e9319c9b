//! What an entry has to know to send requests straight to targets: the catalog of routes, services and workspaces,
//! and the roster of targets.
//!
//! Both come whole and versioned from outside; nothing here reads a clock or a socket.

mod catalog;
mod document;
mod engine;
mod error;
mod roster;
mod routes;

pub use catalog::{Access, Catalog};
pub use document::{Document, Kind, Limits, Route, Service, Share, Workspace};
pub use engine::{Engine, Experts};
pub use error::Error;
pub use roster::{Membership, Roster, Standing, Target};
pub use routes::{RouteKey, ServiceKey};
