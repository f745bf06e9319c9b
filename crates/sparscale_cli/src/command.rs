//! Definition of the command line and dispatch to the commands.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::error::Error;
use crate::operator::Settings;
use crate::report::{Exit, Report};
use crate::{bundle, explain, key, settings};

/// Builds the command with its subcommands.
pub fn command() -> Command {
    Command::new("sparscale")
        .about("Publishes, approves and rolls bundles, and explains decisions about requests")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print the result as one line of JSON"),
        )
        .subcommand(bundle_command())
        .subcommand(
            Command::new("explain")
                .about("Shows the decisions about one request in time order")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .help("Id of a request or of an attempt, from a log line or a response"),
                )
                .arg(
                    Arg::new("files")
                        .required(true)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Log files of entries and agents; - for standard input"),
                ),
        )
        .subcommand(
            Command::new("settings")
                .subcommand_required(true)
                .about("Commands for settings files")
                .subcommand(
                    Command::new("check")
                        .about("Checks a settings file")
                        .arg(
                            Arg::new("program")
                                .required(true)
                                .value_parser(["entry", "agent", "operator"]),
                        )
                        .arg(file_argument()),
                ),
        )
        .subcommand(
            Command::new("key")
                .subcommand_required(true)
                .about("Commands for operator keys and caller keys")
                .subcommand(
                    Command::new("new")
                        .about("Creates an operator's key file and prints the public key")
                        .arg(file_argument()),
                )
                .subcommand(
                    Command::new("hash")
                        .about("Prints the hash of a caller's key")
                        .arg(Arg::new("key").required(true)),
                ),
        )
        .subcommand(
            Command::new("completion")
                .about("Prints a shell completion script")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn bundle_command() -> Command {
    Command::new("bundle")
        .about("Commands to check, publish, approve and roll bundles")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Checks a bundle file").arg(file_argument()))
        .subcommand(
            Command::new("publish")
                .about("Publishes a bundle file")
                .arg(file_argument())
                .arg(settings_argument()),
        )
        .subcommand(
            Command::new("approve")
                .about("Approves a version that another operator published")
                .arg(version_argument())
                .arg(
                    Arg::new("hash")
                        .long("hash")
                        .help("Approve only if the version has this hash"),
                )
                .arg(settings_argument()),
        )
        .subcommand(
            Command::new("roll")
                .about("Activates an approved version")
                .arg(version_argument())
                .arg(settings_argument()),
        )
        .subcommand(
            Command::new("status")
                .about("Shows the active version and the pending ones")
                .arg(settings_argument()),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the operators' actions in the log")
                .arg(settings_argument()),
        )
}

fn file_argument() -> Arg {
    Arg::new("file").required(true).value_parser(value_parser!(PathBuf))
}

fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file of the operator, JSON with comments")
}

fn version_argument() -> Arg {
    Arg::new("version").required(true).value_parser(value_parser!(u64))
}

/// Runs the command that `matches` names and prints its result.
pub async fn run(matches: &ArgMatches) -> Exit {
    let as_json = matches.get_flag("json");
    match dispatch(matches).await {
        Ok(report) => report.print(as_json),
        Err(error) => {
            eprintln!("sparscale: {error}");
            match error {
                Error::Log { .. } => Exit::NotAppended,
                _ => Exit::Input,
            }
        }
    }
}

async fn dispatch(matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("bundle", matches)) => run_bundle(matches).await,
        Some(("explain", matches)) => {
            let files: Vec<PathBuf> = matches.get_many("files").into_iter().flatten().cloned().collect();
            explain::explain(text(matches, "id")?, &files)
        }
        Some(("settings", matches)) => {
            let check = subcommand(matches)?.1;
            settings::check(text(check, "program")?, file(check, "file")?)
        }
        Some(("key", matches)) => match subcommand(matches)? {
            ("new", matches) => key::new(file(matches, "file")?),
            (_, matches) => Ok(key::hash(text(matches, "key")?)),
        },
        Some(("completion", matches)) => Ok(completion(matches)),
        _ => Err(usage_error("missing command; --help lists the commands")),
    }
}

async fn run_bundle(matches: &ArgMatches) -> Result<Report, Error> {
    let (name, matches) = subcommand(matches)?;
    if name == "check" {
        return bundle::check(file(matches, "file")?);
    }
    let settings = Settings::load(file(matches, "settings")?)?;
    match name {
        "publish" => bundle::publish(&settings, file(matches, "file")?).await,
        "approve" => {
            let hash = matches.get_one::<String>("hash").map(String::as_str);
            bundle::approve(&settings, version(matches)?, hash).await
        }
        "roll" => bundle::roll(&settings, version(matches)?).await,
        "history" => bundle::history(&settings).await,
        _ => bundle::status(&settings).await,
    }
}

fn completion(matches: &ArgMatches) -> Report {
    let shell = matches.get_one::<Shell>("shell").copied().unwrap_or(Shell::Bash);
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "sparscale", &mut script);
    let text = String::from_utf8_lossy(&script).into_owned();
    Report::new(Exit::Success, text.clone(), &text)
}

fn subcommand(matches: &ArgMatches) -> Result<(&str, &ArgMatches), Error> {
    matches
        .subcommand()
        .ok_or_else(|| usage_error("missing subcommand; --help lists the subcommands"))
}

fn file<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a Path, Error> {
    let path = matches.get_one::<PathBuf>(name).map(PathBuf::as_path);
    path.ok_or_else(|| usage_error(&format!("missing argument: {name}")))
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str, Error> {
    let value = matches.get_one::<String>(name).map(String::as_str);
    value.ok_or_else(|| usage_error(&format!("missing argument: {name}")))
}

fn version(matches: &ArgMatches) -> Result<u64, Error> {
    matches
        .get_one("version")
        .copied()
        .ok_or_else(|| usage_error("missing argument: version"))
}

fn usage_error(message: &str) -> Error {
    Error::Usage {
        message: message.to_owned(),
    }
}
