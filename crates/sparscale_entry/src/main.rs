//! Runs one entry.

use std::path::PathBuf;
use std::process::ExitCode;

// One worker thread: with more, each token wakes threads on other cores, which costs more than handling the token.
#[tokio::main(flavor = "multi_thread", worker_threads = 1)]
async fn main() -> ExitCode {
    let matches = sparscale_entry::command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    sparscale_telemetry::run_service("sparscale-entry", |signals| sparscale_entry::run(&path, signals)).await
}
