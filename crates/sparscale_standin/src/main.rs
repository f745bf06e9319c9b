//! Runs one stand-in of a platform service.

use std::process::ExitCode;

use sparscale_standin::command;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::command().get_matches();
    sparscale_telemetry::run_logged("sparscale-standin", command::run(&matches)).await
}
