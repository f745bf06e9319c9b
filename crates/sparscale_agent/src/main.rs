//! Program that runs one agent.

use std::path::PathBuf;
use std::process::ExitCode;

// With more than one worker, each token wakes threads on other cores, which costs more than forwarding the token.
#[tokio::main(flavor = "multi_thread", worker_threads = 1)]
async fn main() -> ExitCode {
    let matches = sparscale_agent::command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    sparscale_telemetry::run_service("sparscale-agent", |signals| sparscale_agent::run(&path, signals)).await
}
