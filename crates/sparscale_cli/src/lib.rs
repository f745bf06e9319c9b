//! The operators' program: bundles from a file to in force, and answers to "why".

mod bundle;
mod command;
mod error;
mod explain;
mod key;
mod operator;
mod report;
mod settings;

pub use command::{command, run};
pub use report::Exit;
