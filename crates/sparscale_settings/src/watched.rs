//! Compares a settings file with the content that its process was started with, to report what the next start will
//! read.

use std::fs;
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

use snafu::ResultExt as _;
use sparscale_telemetry::DECISION;

use crate::{Check, Error, ReadSnafu, parse};

/// Settings file, with the text that was first read from it.
#[derive(Debug)]
pub struct WatchedFile<T> {
    path: PathBuf,
    text: String,
    raw: PhantomData<fn() -> T>,
}

/// Result of the comparison.
#[derive(Debug)]
pub enum FileChange {
    /// The text is unchanged.
    Unchanged,
    /// The text has changed and contains valid settings.
    Changed,
    /// The file can't be read, or contains invalid settings.
    Invalid(Error),
}

impl<T: Check> WatchedFile<T> {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<(T::Checked, Self), Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let checked = parse::<T>(path, &text)?;
        let path = path.to_owned();
        let raw = PhantomData;
        Ok((checked, Self { path, text, raw }))
    }

    /// Reads the file again, and returns and logs how it differs from the text that was first read.
    pub fn check_for_change(&self) -> FileChange {
        let change = self.compare();
        let file = self.path.display().to_string();
        let file = file.as_str();
        match &change {
            FileChange::Unchanged => {
                log::info!(target: DECISION, decision = "reload", file; "the settings file is unchanged");
            }
            FileChange::Changed => {
                log::warn!(target: DECISION, decision = "reload", file; "the settings file has changed; restart the process to apply it");
            }
            FileChange::Invalid(error) => {
                log::error!(target: DECISION, decision = "reload", file, error = error.to_string().as_str(); "the settings file is invalid and the next start would fail; fix it before a restart");
            }
        }
        change
    }

    fn compare(&self) -> FileChange {
        match Self::read(&self.path) {
            Ok((_, current)) if current.text == self.text => FileChange::Unchanged,
            Ok(_) => FileChange::Changed,
            Err(error) => FileChange::Invalid(error),
        }
    }
}
