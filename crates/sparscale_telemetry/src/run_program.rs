//! Common part of every program's `main`: sets up signals and log, runs the program, and turns its result into an exit
//! code.

use std::fmt::Display;
use std::process::ExitCode;

use crate::init_log;
use crate::signals::Signals;

/// Runs `work` like [`run_logged`], for a program that runs until a stop signal arrives. Signals are listened for
/// before anything else, so that none ends the process without a drain.
pub async fn run_service<E: Display, F: Future<Output = Result<(), E>>>(
    program: &str,
    work: impl FnOnce(Signals) -> F,
) -> ExitCode {
    match Signals::listen() {
        Ok(signals) => run_logged(program, work(signals)).await,
        Err(error) => report_failure(program, &format!("signals cannot be received: {error}")),
    }
}

/// Sets up the log, runs `work`, waits until the last log lines are written, and prints the error if `work` failed.
pub async fn run_logged<E: Display>(program: &str, work: impl Future<Output = Result<(), E>>) -> ExitCode {
    let flusher = match init_log() {
        Ok(flusher) => flusher,
        Err(error) => return report_failure(program, &error),
    };
    let result = work.await;
    flusher.wait();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(program, &error),
    }
}

fn report_failure(program: &str, error: &dyn Display) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::FAILURE
}
