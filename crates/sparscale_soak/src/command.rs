//! The command line of the program, and the output of each round.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::fault::Plan;
use crate::layout::{DEFAULT_SIZE, GROUP_RANK_COUNT, MAX_HOSTS_PER_KIND, Size};
use crate::platform::Platform;
use crate::round::{self, Report, Round};

const NAME: &str = "soak";
/// Violations printed per round.
const MAX_PRINTED_VIOLATIONS: usize = 8;

/// Runs the rounds that the command line selects; fails if a promise was broken or a round could not be run.
pub async fn run(platform: Arc<dyn Platform>) -> ExitCode {
    let matches = command().get_matches();
    if !is_selected(&matches) {
        return ExitCode::SUCCESS;
    }
    let rounds = if ["seed", "rounds", "seconds", "plan", "entries", "targets"]
        .iter()
        .any(|name| matches.contains_id(name))
    {
        selected_rounds(&matches)
    } else {
        default_rounds()
    };
    let mut has_violations = false;
    for round in rounds {
        has_violations |= !run_round(Arc::clone(&platform), round).await;
    }
    if has_violations {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Rounds selected by the options of the command line.
fn selected_rounds(matches: &ArgMatches) -> Vec<Round> {
    let first = number(matches, "seed", 1);
    let plan = match matches.get_one::<String>("plan").map(String::as_str) {
        Some("series") => Plan::Series,
        Some("returns") => Plan::Returns,
        Some("restores") => Plan::Restores,
        Some("deadly") => Plan::Deadly,
        Some("groups") => Plan::Groups,
        Some("pressed") => Plan::Pressed,
        Some("parts") => Plan::Parts,
        Some("interrupted") => Plan::Interrupted,
        Some("crowded") => Plan::Crowded,
        _ => Plan::Single,
    };
    let size = Size {
        entries: number(matches, "entries", DEFAULT_SIZE.entries as u64) as usize,
        targets: number(matches, "targets", DEFAULT_SIZE.targets as u64) as usize,
        ranks: if plan == Plan::Groups {
            GROUP_RANK_COUNT
        } else {
            DEFAULT_SIZE.ranks
        },
    };
    let length = Duration::from_secs(number(matches, "seconds", 12));
    let round = |seed| Round {
        seed,
        length,
        plan,
        size,
    };
    (first..first + number(matches, "rounds", 1)).map(round).collect()
}

/// Rounds of a full test run: each plan, seeds whose faults can push retries over the budget, and one round with many
/// entries.
fn default_rounds() -> Vec<Round> {
    let round = |plan, seed, seconds, size| Round {
        seed,
        length: Duration::from_secs(seconds),
        plan,
        size,
    };
    let many_entries = Size {
        entries: 12,
        targets: 12,
        ranks: 0,
    };
    let with_group = Size {
        ranks: GROUP_RANK_COUNT,
        ..DEFAULT_SIZE
    };
    vec![
        round(Plan::Single, 1, 12, DEFAULT_SIZE),
        round(Plan::Series, 101, 20, DEFAULT_SIZE),
        round(Plan::Series, 103, 20, DEFAULT_SIZE),
        round(Plan::Series, 2, 12, many_entries),
        round(Plan::Returns, 201, 15, DEFAULT_SIZE),
        round(Plan::Restores, 401, 15, DEFAULT_SIZE),
        round(Plan::Deadly, 301, 15, DEFAULT_SIZE),
        round(Plan::Groups, 501, 15, with_group),
        round(Plan::Pressed, 604, 15, DEFAULT_SIZE),
        round(Plan::Parts, 701, 15, DEFAULT_SIZE),
        round(Plan::Interrupted, 901, 12, DEFAULT_SIZE),
        round(Plan::Crowded, 801, 12, DEFAULT_SIZE),
    ]
}

fn command() -> Command {
    let count =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help);
    let size = |name: &'static str, help: &'static str| {
        let range = value_parser!(u64).range(1..=(MAX_HOSTS_PER_KIND - GROUP_RANK_COUNT) as u64);
        Arg::new(name).long(name).value_parser(range).help(help)
    };
    let plan = Arg::new("plan")
        .long("plan")
        .value_parser(["single", "series", "returns", "restores", "deadly", "groups", "pressed", "parts", "crowded", "interrupted"])
        .help("Single faults; series of faults that also hit all processes at once; targets that restart under their ids; stores restored from older snapshots; requests that crash their targets; a group of engines and its agents; targets that limit their rate, request a backoff or drain; parts of prompts that crash targets; callers that all reach one entry; or targets that reset their responses [single]");
    // `cargo test NAME` passes the names to every test program.
    let names = Arg::new("names")
        .num_args(0..)
        .help("Names of tests; rounds run if there are none or if one matches this program");
    let nocapture = Arg::new("nocapture")
        .long("nocapture")
        .action(ArgAction::SetTrue)
        .help("Accepted as by other test programs; this one never captures output");
    Command::new(NAME)
        .about("Runs rounds of faults against real processes and checks the promises from outside")
        .arg(count("seed", "Seed of the first round [1]"))
        .arg(count("rounds", "Number of rounds, each with the next seed [1]"))
        .arg(count("seconds", "Seconds in which faults are injected in a round [12]"))
        .arg(size("entries", "Entries of a round [3]"))
        .arg(size("targets", "Targets of a round [4]"))
        .arg(plan)
        .arg(names)
        .arg(nocapture)
}

fn is_selected(matches: &ArgMatches) -> bool {
    let mut names = matches.get_many::<String>("names").unwrap_or_default().peekable();
    names.peek().is_none() || names.any(|name| NAME.contains(name.as_str()))
}

fn number(matches: &ArgMatches, name: &str, default: u64) -> u64 {
    matches.get_one(name).copied().unwrap_or(default)
}

/// Runs one round and prints its report; returns whether all promises held.
async fn run_round(platform: Arc<dyn Platform>, round: Round) -> bool {
    let seed = round.seed;
    let directory = directory(seed);
    let report = match create_empty_directory(&directory) {
        Ok(()) => round::run(platform, round, &directory).await,
        Err(error) => Err(format!("{}: {error}", directory.display())),
    };
    match report {
        Ok(report) => {
            print_report(round, &report, &directory);
            if report.violations.is_empty() {
                remove_directory(&directory);
            }
            report.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: not played: {error}; logs in {}", directory.display());
            false
        }
    }
}

fn print_report(round: Round, report: &Report, directory: &Path) {
    let Report {
        request_count,
        outcome_counts,
        fault_count,
        map_switch_count,
        stall_count,
        violations,
    } = report;
    let counts: Vec<String> = outcome_counts
        .iter()
        .map(|(name, count)| format!("{name}: {count}"))
        .collect();
    println!(
        "seed {}, {:?}, {} entries: {fault_count} faults, {map_switch_count} changes of map, {stall_count} stalls of the machine, {request_count} requests ({}), {} broken promises",
        round.seed,
        round.plan,
        round.size.entries,
        counts.join(", "),
        violations.len()
    );
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {}: {}", violation.promise, violation.details);
    }
    if !violations.is_empty() {
        println!("  logs in {}", directory.display());
    }
}

/// Directory for the logs and settings files of a round.
fn directory(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("sparscale-soak-{}-{seed}", std::process::id()))
}

/// Removes the files of a round without violations.
fn remove_directory(directory: &Path) {
    if let Err(error) = std::fs::remove_dir_all(directory) {
        println!("  {} stays: {error}", directory.display());
    }
}

fn create_empty_directory(directory: &Path) -> std::io::Result<()> {
    if directory.exists() {
        std::fs::remove_dir_all(directory)?;
    }
    std::fs::create_dir_all(directory)
}
