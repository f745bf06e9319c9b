//! Settings of an agent.

use serde::Deserialize;
use sparscale_control::process;
use sparscale_settings::{Check, Problem};

/// Type of the target beside the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// One rank of a model group.
    Model,
    /// A plain service.
    Service,
}

/// Content of the settings file before it is checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// Settings that every process has.
    pub process: process::Raw,
    /// Type of the target.
    pub kind: Kind,
    /// Base URL of the target.
    pub target: String,
    /// Maximum number of attempts in the ledger.
    pub ledger_entries: usize,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) process: process::Settings,
    pub(crate) kind: Kind,
    pub(crate) target: String,
    pub(crate) ledger_entries: usize,
}

impl TryFrom<Raw> for Settings {
    type Error = Vec<Problem>;

    fn try_from(raw: Raw) -> Result<Self, Self::Error> {
        let mut problems = Vec::new();
        process::require_http_url("target", &raw.target, &mut problems);
        if raw.ledger_entries < 16 {
            problems.push(Problem::new(
                "ledger_entries",
                "is below 16",
                "use 10000 or more in service",
            ));
        }
        match process::Settings::try_from(raw.process) {
            Ok(process) if problems.is_empty() => Ok(Self {
                process,
                kind: raw.kind,
                target: raw.target,
                ledger_entries: raw.ledger_entries,
            }),
            Ok(_) => Err(problems),
            Err(process_problems) => Err(problems.into_iter().chain(process_problems).collect()),
        }
    }
}

impl Check for Raw {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Vec<Problem>> {
        Settings::try_from(self)
    }
}
