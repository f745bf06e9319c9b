//! `sparscale settings check`: checks a settings file without starting the program.

use std::path::Path;

use serde::Serialize;

use crate::error::Error;
use crate::operator;
use crate::report::{Exit, Report};

#[derive(Serialize)]
struct CheckReport {
    result: &'static str,
}

/// Checks the settings file at `path` as the program `program` would.
pub(crate) fn check(program: &str, path: &Path) -> Result<Report, Error> {
    match program {
        "entry" => drop(sparscale_settings::load::<sparscale_entry::Raw>(path)?),
        "agent" => drop(sparscale_settings::load::<sparscale_agent::Raw>(path)?),
        _ => drop(sparscale_settings::load::<operator::Raw>(path)?),
    }
    let text = format!("{}: valid settings of {program}", path.display());
    Ok(Report::new(Exit::Success, text, &CheckReport { result: "valid" }))
}
