//! Loads settings files: JSON with comments, unknown keys refused, every problem named with file, line and mend.
//!
//! Each program describes its file as a raw `serde` type and turns it into a checked type with [`Check`]. All
//! problems of a file are reported together, so that one run of `settings check` is enough to mend it.

mod problem;
mod watched;

pub use problem::{Problem, Problems};
pub use watched::{Change, Watched};

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

/// A settings file that cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}; give the path of a readable settings file", path.display()))]
    Read {
        /// The file that was asked for.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The text is not JSON with comments, or a key is unknown, missing or of the wrong type.
    #[snafu(display("{}:{line}: {message}; mend this line, all keys are listed in docs/OPERATIONS.md", path.display()))]
    Parse {
        /// The file that was read.
        path: PathBuf,
        /// One-based line of the problem.
        line: usize,
        /// What the parser said.
        message: String,
    },
    /// The values do not fit together.
    #[snafu(display("{problems}"))]
    Values {
        /// Every problem that was found, in file order of discovery.
        problems: Problems,
    },
}

/// A raw settings document that can be turned into a checked one.
pub trait Check: DeserializeOwned {
    /// The checked type.
    type Checked;

    /// Checks all values and returns every problem at once.
    fn check(self) -> Result<Self::Checked, Vec<Problem>>;
}

/// Reads and checks the settings file at `path`.
pub fn load<T: Check>(path: &Path) -> Result<T::Checked, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse::<T>(path, &text)
}

/// Checks settings `text` that was read from `path`.
pub fn parse<T: Check>(path: &Path, text: &str) -> Result<T::Checked, Error> {
    let raw: T = document(path, text)?;
    raw.check().map_err(|problems| Error::Values {
        problems: Problems::locate(path, text, problems),
    })
}

/// Parses JSON with comments without checking its values.
pub fn document<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    serde_json5::from_str(text).map_err(|error| parse_error(path, &error))
}

fn parse_error(path: &Path, error: &serde_json5::Error) -> Error {
    let serde_json5::Error::Message { msg, location } = error;
    Error::Parse {
        path: path.to_owned(),
        line: location.as_ref().map_or(1, |place| place.line),
        message: msg.clone(),
    }
}
