//! Runs one stand-in.

use std::process::ExitCode;

use sparscale_standin::command;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::command().get_matches();
    if let Err(error) = sparscale_telemetry::init_log() {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    if let Err(error) = command::run(&matches).await {
        eprintln!("sparscale-standin: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
