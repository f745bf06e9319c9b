//! Compares a settings file with the content that its process was started with, to report what the next start will read.

use std::fs;
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

use snafu::ResultExt as _;
use sparscale_telemetry::DECISION;

use crate::{Check, Error, ReadSnafu, parse};

/// Settings file, with the text that was first read from it.
#[derive(Debug)]
pub struct Watched<T> {
    path: PathBuf,
    text: String,
    raw: PhantomData<fn() -> T>,
}

/// Result of the comparison.
#[derive(Debug)]
pub enum Change {
    /// The text is unchanged.
    Same,
    /// The text has changed and contains valid settings.
    Other,
    /// The file can't be read, or contains invalid settings.
    Unusable(Error),
}

impl<T: Check> Watched<T> {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<(T::Checked, Self), Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let checked = parse::<T>(path, &text)?;
        let path = path.to_owned();
        let raw = PhantomData;
        Ok((checked, Self { path, text, raw }))
    }

    /// Reads the file again, and returns and logs how it differs from the text that was first read.
    pub fn look_again(&self) -> Change {
        let change = self.compare();
        let file = self.path.display().to_string();
        let file = file.as_str();
        match &change {
            Change::Same => log::info!(target: DECISION, decision = "reload", file; "the settings file is unchanged"),
            Change::Other => {
                log::warn!(target: DECISION, decision = "reload", file; "the settings file has changed; restart the process to apply it");
            }
            Change::Unusable(error) => {
                log::error!(target: DECISION, decision = "reload", file, error = error.to_string().as_str(); "the settings file is invalid and the next start would fail; fix it before a restart");
            }
        }
        change
    }

    fn compare(&self) -> Change {
        match Self::read(&self.path) {
            Ok((_, current)) if current.text == self.text => Change::Same,
            Ok(_) => Change::Other,
            Err(error) => Change::Unusable(error),
        }
    }
}
