//! Entry point of the `sparscale` command.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = sparscale_cli::command().get_matches();
    sparscale_cli::run(&matches).await.into()
}
