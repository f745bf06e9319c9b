//! The configuration bundle: what operators publish, approve and roll.
//!
//! A [`Document`] is the text form. A [`Bundle`] is checked, and keeps its workspaces in hash buckets that are
//! shared between versions, so that a delta of one workspace costs the same at ten workspaces and at ten thousand.

mod bundle;
mod check;
mod delta;
mod document;
mod hash;
pub mod sign;

pub use bundle::Bundle;
pub use check::Error;
pub use delta::{Change, Delta};
pub use document::{
    Call, Document, Fleet, Group, Hall, KeyHash, Limits, Model, Operator, Placement, QuietHours, Service, Target, Tier,
    Workspace,
};
pub use hash::Hash;
