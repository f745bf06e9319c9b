//! What every program's `main` does around its work.

use std::fmt::Display;
use std::process::ExitCode;

use crate::init_log;

/// Sets up the log, does `work`, says why it failed if it did, and waits for the last lines of the log.
pub async fn run_logged<E: Display>(program: &str, work: impl Future<Output = Result<(), E>>) -> ExitCode {
    let log = match init_log() {
        Ok(log) => log,
        Err(error) => return failed(program, &error),
    };
    let done = work.await;
    log.wait();
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(program, &error),
    }
}

fn failed(program: &str, error: &dyn Display) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::FAILURE
}
