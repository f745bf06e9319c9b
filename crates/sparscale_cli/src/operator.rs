//! Settings of an operator, and access to the log and the signing key that they name.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use snafu::{OptionExt as _, ResultExt as _};
use sparscale_bundle::sign::{self, Action, Signature, Statement};
use sparscale_bundle::{Hash, Operator};
use sparscale_journal::{HttpLog, Reader, Writer};
use sparscale_settings::{Check, Problem};

use crate::error::{Error, KeySnafu, ReadSnafu};

/// Timeout of one call to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings file as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    /// Base URL of the platform's log.
    log: String,
    /// Name of this operator.
    operator: String,
    /// Path of the file with this operator's secret key.
    key_file: PathBuf,
    /// Operators who may sign the first bundle; the same list as in the settings of every process.
    operators: Vec<Operator>,
    /// Time for which an append is attempted, in seconds.
    patience_seconds: u64,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    raw: Raw,
}

impl Check for Raw {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Vec<Problem>> {
        let mut problems = Vec::new();
        if !self.log.starts_with("http://") {
            problems.push(Problem::new(
                "log",
                "is not an http:// URL",
                "use a URL such as http://10.0.0.1:7000",
            ));
        }
        for operator in &self.operators {
            if sign::parse_public_key(&operator.key).is_none() {
                let remedy = "paste the 64 hexadecimal digits that `sparscale key new` prints";
                problems.push(Problem::new(
                    format!("operators[{}].key", operator.name),
                    "is not an ed25519 public key",
                    remedy,
                ));
            }
        }
        if self.operators.len() < 2 {
            problems.push(Problem::new(
                "operators",
                "has fewer than two entries",
                "add a second operator; approval requires one",
            ));
        }
        if !(1..=600).contains(&self.patience_seconds) {
            problems.push(Problem::new("patience_seconds", "is out of range", "use 1 to 600"));
        }
        if problems.is_empty() {
            Ok(Settings { raw: self })
        } else {
            Err(problems)
        }
    }
}

impl Settings {
    pub(crate) fn load(path: &Path) -> Result<Self, Error> {
        Ok(sparscale_settings::load::<Raw>(path)?)
    }

    pub(crate) fn name(&self) -> &str {
        &self.raw.operator
    }

    pub(crate) fn submit_timeout(&self) -> Duration {
        Duration::from_secs(self.raw.patience_seconds)
    }

    /// Creates a writer that has folded the log up to its end.
    pub(crate) async fn writer(&self) -> Result<Writer, Error> {
        let mut writer = self.fresh_writer();
        writer.catch_up().await?;
        Ok(writer)
    }

    /// Creates a writer that has not folded any record.
    pub(crate) fn fresh_writer(&self) -> Writer {
        let log = Arc::new(HttpLog::new(&self.raw.log, LOG_TIMEOUT));
        Writer::new(log, Reader::new(self.raw.operators.clone()))
    }

    /// Signs a statement with the key of this operator.
    pub(crate) fn sign(&self, act: Action, version: u64, base: u64, hash: Hash) -> Result<Signature, Error> {
        let path = &self.raw.key_file;
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let key = sign::parse_secret_key(&text).context(KeySnafu { path })?;
        let statement = Statement {
            action: act,
            author: self.raw.operator.clone(),
            version,
            base,
            hash,
        };
        Ok(sign::sign(&statement, &key))
    }
}
