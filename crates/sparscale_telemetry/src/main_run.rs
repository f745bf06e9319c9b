//! What every program's `main` does around its work.

use std::fmt::Display;
use std::process::ExitCode;

use crate::init_log;
use crate::stop::Signals;

/// The same for a program that runs until it is told to stop: `work` gets the signals, for which this listens before anything
/// else.
pub async fn run_service<E: Display, F: Future<Output = Result<(), E>>>(
    program: &str,
    work: impl FnOnce(Signals) -> F,
) -> ExitCode {
    match Signals::listen() {
        Ok(signals) => run_logged(program, work(signals)).await,
        Err(error) => failed(program, &format!("signals cannot be received: {error}")),
    }
}

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
