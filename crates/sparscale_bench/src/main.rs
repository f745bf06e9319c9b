//! Benchmarks. Each subcommand prints a table whose ratios and slopes come from a single run on one machine.

use std::process::ExitCode;

mod fold;
mod keys;
mod operators;
mod path;
mod place;
mod queue;
mod rollout;
mod route;
mod usage;

use clap::Command;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = Command::new("sparscale-bench")
        .about("Measures decisions, the fold of the log, the request path and rollouts")
        .subcommand_required(true)
        .subcommand(Command::new("route").about("Routing: time of a decision, step-time skew against baselines"))
        .subcommand(Command::new("place").about("Placement: skew and moves against baselines, time of a decision"))
        .subcommand(Command::new("queue").about("Tiers: goodput and latency under overload"))
        .subcommand(Command::new("fold").about("The log: time of a fold, size of deltas, memory"))
        .subcommand(Command::new("path").about("The request path: added time and processor time"))
        .subcommand(Command::new("rollout").about("Rollouts: time until active, bytes and processor time per follower"))
        .subcommand(Command::new("keys").about("At most once: added time, appends, fraction rejected in an outage"))
        .get_matches();
    let result = match matches.subcommand_name() {
        Some("route") => route::run(),
        Some("place") => {
            place::run();
            Ok(())
        }
        Some("queue") => queue::run(),
        Some("fold") => fold::run(),
        Some("path") => path::run().await,
        Some("keys") => keys::run().await,
        _ => rollout::run().await,
    };
    if let Err(error) = result {
        eprintln!("sparscale-bench: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
