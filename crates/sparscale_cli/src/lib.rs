//! The operators' command line: publishes and activates bundles, manages keys, and explains decisions about requests.

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
