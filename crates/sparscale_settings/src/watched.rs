//! A settings file that may change while its process runs.

use std::fs;
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

use snafu::ResultExt as _;
use sparscale_telemetry::DECISION;

use crate::{Check, Error, ReadSnafu, parse};

/// A settings file and its text when it was read.
#[derive(Debug)]
pub struct Watched<T> {
    path: PathBuf,
    text: String,
    raw: PhantomData<fn() -> T>,
}

/// What became of the file.
#[derive(Debug)]
pub enum Change {
    /// It is as it was.
    Same,
    /// It holds other settings, which can be used.
    Other,
    /// It cannot be used.
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

    /// Reads the file again and says what became of it since it was first read, also in the log.
    pub fn look_again(&self) -> Change {
        let change = self.compare();
        let file = self.path.display().to_string();
        let file = file.as_str();
        match &change {
            Change::Same => log::info!(target: DECISION, decision = "reload", file; "the settings file is as it was"),
            Change::Other => {
                log::warn!(target: DECISION, decision = "reload", file; "the settings file has changed: the next start takes it");
            }
            Change::Unusable(error) => {
                log::error!(target: DECISION, decision = "reload", file, error = error.to_string().as_str(); "the settings file cannot be used: the next start would fail");
            }
        }
        change
    }

    fn compare(&self) -> Change {
        match Self::read(&self.path) {
            Ok((_, read)) if read.text == self.text => Change::Same,
            Ok(_) => Change::Other,
            Err(error) => Change::Unusable(error),
        }
    }
}
