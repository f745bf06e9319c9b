//! Settings of an operator's shell.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use snafu::{OptionExt as _, ResultExt as _};
use sparscale_bundle::sign::{self, Act, Signature, Statement};
use sparscale_bundle::{Hash, Operator};
use sparscale_journal::{HttpLog, Reader, Writer};
use sparscale_settings::{Check, Problem};

use crate::error::{Error, KeySnafu, ReadSnafu};

/// Time that one call of the log may take.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings file as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    /// Base URL of the platform's log.
    log: String,
    /// Name of this operator.
    operator: String,
    /// File with this operator's secret key.
    key_file: PathBuf,
    /// Operators who may sign the first bundle, as in the settings of every process.
    operators: Vec<Operator>,
    /// Seconds for which an append is tried.
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
                "is no http:// URL",
                "write for example http://10.0.0.1:7000",
            ));
        }
        for operator in &self.operators {
            if sign::public_key(&operator.key).is_none() {
                let mend = "paste the 64 digits that `sparscale key new` prints";
                problems.push(Problem::new(
                    format!("operators[{}].key", operator.name),
                    "is no ed25519 key",
                    mend,
                ));
            }
        }
        if self.operators.len() < 2 {
            problems.push(Problem::new(
                "operators",
                "has fewer than two entries",
                "approval needs a second operator",
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

    pub(crate) fn patience(&self) -> Duration {
        Duration::from_secs(self.raw.patience_seconds)
    }

    /// A writer that has folded the log to its head.
    pub(crate) async fn writer(&self) -> Result<Writer, Error> {
        let mut writer = self.fresh_writer();
        writer.catch_up().await?;
        Ok(writer)
    }

    /// A writer that has folded nothing yet.
    pub(crate) fn fresh_writer(&self) -> Writer {
        let log = Arc::new(HttpLog::new(&self.raw.log, LOG_TIMEOUT));
        Writer::new(log, Reader::new(self.raw.operators.clone()))
    }

    /// Signs as this operator.
    pub(crate) fn sign(&self, act: Act, version: u64, base: u64, hash: Hash) -> Result<Signature, Error> {
        let path = &self.raw.key_file;
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let key = sign::secret_key(&text).context(KeySnafu { path })?;
        let statement = Statement {
            act,
            author: self.raw.operator.clone(),
            version,
            base,
            hash,
        };
        Ok(sign::sign(&statement, &key))
    }
}
