//! Command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sparscale_place::Shape;

use crate::{boxes, group, keys, log_service, service, weights};

/// Returns the command with one subcommand for each stand-in.
pub fn command() -> Command {
    Command::new("sparscale-standin")
        .about("Stand-ins for the platform's services, for tests and the demo only")
        .subcommand_required(true)
        .subcommand(Command::new("log").about("The append-only log").arg(listen()))
        .subcommand(
            Command::new("boxes")
                .about("The list of live and draining boxes")
                .arg(listen()),
        )
        .subcommand(
            Command::new("weights")
                .about("The weight store")
                .arg(listen())
                .arg(number("bytes-per-second", "100000000")),
        )
        .subcommand(
            Command::new("service")
                .about("A plain service")
                .arg(listen())
                .arg(number("work-ms", "2")),
        )
        .subcommand(group_command())
        .subcommand(
            Command::new("keys")
                .about("Writes a throw-away certificate authority and certificates that it signed")
                .arg(
                    Arg::new("directory")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
}

fn group_command() -> Command {
    Command::new("group")
        .about("A group of ranks that advance in lock-step; give one --listen for each rank")
        .arg(listen().action(ArgAction::Append))
        .arg(number("layers", "1"))
        .arg(number("experts", "8"))
        .arg(number("slots", "8"))
        .arg(number("step-micros", "4500"))
        .arg(number("sequence-micros", "100"))
        .arg(number("batch", "64"))
        .arg(number("prefill-per-step", "512"))
        .arg(number("expert-bytes", "1000000"))
        .arg(Arg::new("weights").long("weights").help("Base URL of the weight store"))
        .arg(
            Arg::new("no-fence")
                .long("no-fence")
                .action(ArgAction::SetTrue)
                .help("Ranks accept orders with an outdated fence"),
        )
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to serve HTTP at")
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Runs the selected stand-in until the process is terminated.
pub async fn run(matches: &ArgMatches) -> Result<(), String> {
    match matches.subcommand() {
        Some(("log", matches)) => log_service::start(address(matches)?)?.await,
        Some(("boxes", matches)) => boxes::start(address(matches)?)?.await,
        Some(("weights", matches)) => {
            weights::start(address(matches)?, value(matches, "bytes-per-second") as f64)?.await
        }
        Some(("service", matches)) => {
            let work_time = Duration::from_millis(value(matches, "work-ms"));
            service::start(address(matches)?, work_time)?.await
        }
        Some(("group", matches)) => run_group(matches).await,
        Some(("keys", matches)) => {
            let directory = matches
                .get_one::<PathBuf>("directory")
                .ok_or("keys: DIRECTORY is missing; give the directory to write to")?;
            keys::write(directory)
        }
        _ => Err("no subcommand given; --help lists them".to_owned()),
    }
}

async fn run_group(matches: &ArgMatches) -> Result<(), String> {
    let addresses: Vec<SocketAddr> = matches.get_many("listen").into_iter().flatten().copied().collect();
    let settings = group::Settings {
        shape: Shape {
            ranks: addresses.len(),
            layers: value(matches, "layers") as usize,
            experts: value(matches, "experts") as usize,
            slots: value(matches, "slots") as usize,
        },
        addresses,
        base_step_time: Duration::from_micros(value(matches, "step-micros")),
        time_per_sequence: Duration::from_micros(value(matches, "sequence-micros")),
        batch_size: value(matches, "batch") as usize,
        prefill_per_step: value(matches, "prefill-per-step") as usize,
        checks_fence: !matches.get_flag("no-fence"),
        expert_bytes: value(matches, "expert-bytes"),
        weight_store_url: matches.get_one::<String>("weights").cloned(),
    };
    let servers = group::start(settings)?;
    futures::future::try_join_all(servers).await?;
    Ok(())
}

fn address(matches: &ArgMatches) -> Result<SocketAddr, String> {
    matches
        .get_one("listen")
        .copied()
        .ok_or_else(|| "--listen is missing; give the address to serve HTTP at".to_owned())
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}
