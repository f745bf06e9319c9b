//! Errors that stop a command before it has a result.

use std::path::PathBuf;

use snafu::Snafu;
use sparscale_journal::CatchUpError;

/// Reason why a command cannot be executed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// A settings or bundle file is invalid.
    #[snafu(display("{source}"), context(false))]
    Document {
        /// Problems of the file.
        source: sparscale_settings::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}; specify the path of a readable file", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{}: {source}; specify a writable path", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A key file does not contain a valid key.
    #[snafu(display("{}: contains no valid secret key; create one with `sparscale key new`", path.display()))]
    Key {
        /// Path of the file.
        path: PathBuf,
    },
    /// The log cannot be read or folded.
    #[snafu(
        display("log cannot be read: {source}; retry later, once `sparscale bundle status` succeeds"),
        context(false)
    )]
    Log {
        /// Error of the log or the fold.
        source: CatchUpError,
    },
    /// The version is not pending.
    #[snafu(display("version {version} is not pending; `sparscale bundle status` lists the pending versions"))]
    NoProposal {
        /// Version given on the command line.
        version: u64,
    },
    /// Arguments are missing.
    #[snafu(display("{message}"))]
    Usage {
        /// Missing arguments.
        message: String,
    },
}
