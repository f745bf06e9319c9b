//! Runs one agent.

use std::path::PathBuf;
use std::process::ExitCode;

// One worker: with more, each token wakes threads on other cores, which costs more than the work on it.
#[tokio::main(flavor = "multi_thread", worker_threads = 1)]
async fn main() -> ExitCode {
    let matches = sparscale_agent::command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    if let Err(error) = sparscale_telemetry::init_log() {
        eprintln!("sparscale-agent: {error}");
        return ExitCode::FAILURE;
    }
    if let Err(error) = sparscale_agent::run(&path).await {
        eprintln!("sparscale-agent: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
