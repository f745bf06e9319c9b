//! Loads settings files: JSON with comments, in which unknown keys are errors.
//!
//! Each program defines its file as a raw `serde` type and converts it to a checked type with [`Check`]. All problems
//! of a file are reported together, each with file, line and remedy, so that one run of `settings check` is enough to
//! fix it.

mod problem;
mod watched;

pub use problem::{Problem, Problems};
pub use watched::{FileChange, WatchedFile};

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

/// Error of a settings file.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file couldn't be read.
    #[snafu(display("{}: cannot be read: {source}; give the path of a readable settings file", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON with comments, or a key is unknown, missing or of the wrong type.
    #[snafu(display("{}:{line}: {message}; fix this line, all keys are listed in docs/OPERATIONS.md", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Line of the problem, starting at 1.
        line: usize,
        /// Error message of the parser.
        message: String,
    },
    /// The file was parsed but contains invalid values.
    #[snafu(display("{problems}"))]
    Values {
        /// All problems, in the order in which the checks found them.
        problems: Problems,
    },
}

/// Raw settings that can be converted to a checked type.
pub trait Check: DeserializeOwned {
    /// Type of the checked settings.
    type Checked;

    /// Checks all values; returns all problems together if there are any.
    fn check(self) -> Result<Self::Checked, Vec<Problem>>;
}

/// Reads and checks the settings file at `path`.
pub fn load<T: Check>(path: &Path) -> Result<T::Checked, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse::<T>(path, &text)
}

/// Parses and checks `text`, which was read from `path`.
pub fn parse<T: Check>(path: &Path, text: &str) -> Result<T::Checked, Error> {
    let raw: T = parse_unchecked(path, text)?;
    raw.check().map_err(|problems| Error::Values {
        problems: Problems::locate(path, text, problems),
    })
}

/// Parses JSON with comments, without checking the values.
pub fn parse_unchecked<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    serde_json5::from_str(text).map_err(|error| parse_error(path, &error))
}

fn parse_error(path: &Path, error: &serde_json5::Error) -> Error {
    let serde_json5::Error::Message { msg, location } = error;
    Error::Parse {
        path: path.to_owned(),
        line: location.as_ref().map_or(1, |position| position.line),
        message: msg.clone(),
    }
}
