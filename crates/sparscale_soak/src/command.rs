//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::platform::Platform;
use crate::round::{self, Report};

/// Name of the program.
const NAME: &str = "soak";
/// Violations of one round that are printed.
const PRINTED: usize = 8;

/// Plays the rounds that the command line names; fails if a promise was broken or a round could not be played.
pub async fn run(platform: Arc<dyn Platform>) -> ExitCode {
    let matches = command().get_matches();
    if !is_meant(&matches) {
        return ExitCode::SUCCESS;
    }
    let first = number(&matches, "seed", 1);
    let rounds = number(&matches, "rounds", 1);
    let length = Duration::from_secs(number(&matches, "seconds", 12));
    let mut broken = false;
    for seed in first..first + rounds {
        broken |= !play(Arc::clone(&platform), seed, length).await;
    }
    if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn command() -> Command {
    let count =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help);
    // `cargo test NAME` hands names to every test program.
    let names = Arg::new("names")
        .num_args(0..)
        .help("Names of tests; rounds are played if there are none, or if this program's is meant");
    let nocapture = Arg::new("nocapture")
        .long("nocapture")
        .action(ArgAction::SetTrue)
        .help("Taken, as by other test programs; nothing is captured here");
    Command::new(NAME)
        .about("Plays rounds of faults against real processes and checks the promises from outside")
        .arg(count("seed", "Seed of the first round [1]"))
        .arg(count("rounds", "Number of rounds, each with the next seed [1]"))
        .arg(count("seconds", "Time in which faults come in a round [12]"))
        .arg(names)
        .arg(nocapture)
}

fn is_meant(matches: &ArgMatches) -> bool {
    let mut names = matches.get_many::<String>("names").unwrap_or_default().peekable();
    names.peek().is_none() || names.any(|name| NAME.contains(name.as_str()))
}

fn number(matches: &ArgMatches, name: &str, usual: u64) -> u64 {
    matches.get_one(name).copied().unwrap_or(usual)
}

/// Plays one round and prints what it showed; tells whether all promises held.
async fn play(platform: Arc<dyn Platform>, seed: u64, length: Duration) -> bool {
    let folder = folder(seed);
    let report = match clear(&folder) {
        Ok(()) => round::play(platform, seed, length, &folder).await,
        Err(error) => Err(format!("{}: {error}", folder.display())),
    };
    match report {
        Ok(report) => {
            print(seed, &report, &folder);
            if report.violations.is_empty() {
                remove(&folder);
            }
            report.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: not played: {error}; logs in {}", folder.display());
            false
        }
    }
}

fn print(seed: u64, report: &Report, folder: &Path) {
    let Report {
        requests,
        outcomes,
        faults,
        stalls,
        violations,
    } = report;
    let counts: Vec<String> = outcomes
        .iter()
        .map(|(name, count)| format!("{name}: {count}"))
        .collect();
    println!(
        "seed {seed}: {faults} faults, {stalls} stalls of the machine, {requests} requests ({}), {} broken promises",
        counts.join(", "),
        violations.len()
    );
    for violation in violations.iter().take(PRINTED) {
        println!("  {}: {}", violation.promise, violation.what);
    }
    if !violations.is_empty() {
        println!("  logs in {}", folder.display());
    }
}

/// Where the files of a round go.
fn folder(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("sparscale-soak-{}-{seed}", std::process::id()))
}

/// The logs of a round in which everything held are of no use.
fn remove(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        println!("  {} stays: {error}", folder.display());
    }
}

fn clear(folder: &Path) -> std::io::Result<()> {
    if folder.exists() {
        std::fs::remove_dir_all(folder)?;
    }
    std::fs::create_dir_all(folder)
}
