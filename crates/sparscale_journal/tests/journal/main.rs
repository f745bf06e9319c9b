//! Tests of the log: its fold, and appends whose answers are lost.

mod common;
mod log_fold;
mod lost_answers;
mod restored_log;
