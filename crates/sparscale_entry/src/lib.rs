//! The entry: takes requests from callers, routes them to agents and streams the responses back.
//!
//! All entries are equal. Each follows the log, keeps a board of targets, and may hold the placer duty of a group.

mod api;
pub mod assembly;
mod binding;
mod board_control;
mod completion;
mod dispatch;
mod duty;
mod job;
pub mod limits;
mod peer;
mod placer;
mod placer_context;
mod placer_group;
mod problem;
mod program;
mod quarantine;
mod respond;
mod response_stream;
mod route_log;
mod settings;
mod ticket;
mod unserved;

pub use program::{Error, command, run};
pub use settings::{Raw, Settings};
