//! The command line of the program, and the output of each round.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::fault::Plan;
use crate::places::{MOST, RANKS, Size, USUAL};
use crate::platform::Platform;
use crate::round::{self, Report, Round};

const NAME: &str = "soak";
/// Violations printed per round.
const PRINTED: usize = 8;

/// Runs the rounds that the command line selects; fails if a promise was broken or a round could not be run.
pub async fn run(platform: Arc<dyn Platform>) -> ExitCode {
    let matches = command().get_matches();
    if !is_meant(&matches) {
        return ExitCode::SUCCESS;
    }
    let rounds = if ["seed", "rounds", "seconds", "plan", "entries", "targets"]
        .iter()
        .any(|name| matches.contains_id(name))
    {
        named(&matches)
    } else {
        usual()
    };
    let mut broken = false;
    for round in rounds {
        broken |= !play(Arc::clone(&platform), round).await;
    }
    if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Rounds selected by the options of the command line.
fn named(matches: &ArgMatches) -> Vec<Round> {
    let first = number(matches, "seed", 1);
    let plan = match matches.get_one::<String>("plan").map(String::as_str) {
        Some("series") => Plan::Series,
        Some("returns") => Plan::Returns,
        Some("restores") => Plan::Restores,
        Some("deadly") => Plan::Deadly,
        Some("groups") => Plan::Groups,
        Some("pressed") => Plan::Pressed,
        _ => Plan::Single,
    };
    let size = Size {
        entries: number(matches, "entries", USUAL.entries as u64) as usize,
        targets: number(matches, "targets", USUAL.targets as u64) as usize,
        ranks: if plan == Plan::Groups { RANKS } else { USUAL.ranks },
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

/// Rounds of a full test run: each plan, seeds that once exceeded the retry budget, and one round with many entries.
fn usual() -> Vec<Round> {
    let round = |plan, seed, seconds, size| Round {
        seed,
        length: Duration::from_secs(seconds),
        plan,
        size,
    };
    let many = Size {
        entries: 12,
        targets: 12,
        ranks: 0,
    };
    let grouped = Size { ranks: RANKS, ..USUAL };
    vec![
        round(Plan::Single, 1, 12, USUAL),
        round(Plan::Series, 101, 20, USUAL),
        round(Plan::Series, 103, 20, USUAL),
        round(Plan::Series, 2, 12, many),
        round(Plan::Returns, 201, 15, USUAL),
        round(Plan::Restores, 401, 15, USUAL),
        round(Plan::Deadly, 301, 15, USUAL),
        round(Plan::Groups, 501, 15, grouped),
        round(Plan::Pressed, 604, 15, USUAL),
    ]
}

fn command() -> Command {
    let count =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help);
    let size = |name: &'static str, help: &'static str| {
        let range = value_parser!(u64).range(1..=(MOST - RANKS) as u64);
        Arg::new(name).long(name).value_parser(range).help(help)
    };
    let plan = Arg::new("plan")
        .long("plan")
        .value_parser(["single", "series", "returns", "restores", "deadly", "groups", "pressed"])
        .help("Faults one at a time, or also in series and all together, with targets that return under their ids, with a store that comes back from older copies, with requests that end what runs them, with a group of engines and its agents, or with targets that limit their rate, ask for rest or say that they leave [single]");
    // `cargo test NAME` passes the names to every test program.
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
        .arg(size("entries", "Entries of a round [3]"))
        .arg(size("targets", "Targets of a round [4]"))
        .arg(plan)
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

/// Runs one round and prints its report; returns whether all promises held.
async fn play(platform: Arc<dyn Platform>, round: Round) -> bool {
    let seed = round.seed;
    let folder = folder(seed);
    let report = match clear(&folder) {
        Ok(()) => round::play(platform, round, &folder).await,
        Err(error) => Err(format!("{}: {error}", folder.display())),
    };
    match report {
        Ok(report) => {
            print(round, &report, &folder);
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

fn print(round: Round, report: &Report, folder: &Path) {
    let Report {
        requests,
        outcomes,
        faults,
        changes,
        stalls,
        violations,
    } = report;
    let counts: Vec<String> = outcomes
        .iter()
        .map(|(name, count)| format!("{name}: {count}"))
        .collect();
    println!(
        "seed {}, {:?}, {} entries: {faults} faults, {changes} changes of map, {stalls} stalls of the machine, {requests} requests ({}), {} broken promises",
        round.seed,
        round.plan,
        round.size.entries,
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

/// Directory for the logs and settings files of a round.
fn folder(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("sparscale-soak-{}-{seed}", std::process::id()))
}

/// Removes the files of a round without violations.
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
