//! What stops a command before it has a result.

use std::path::PathBuf;

use snafu::Snafu;
use sparscale_journal::CatchUpError;

/// Why a command cannot be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// A settings or bundle file cannot be used.
    #[snafu(display("{source}"), context(false))]
    Document {
        /// What is wrong with it.
        source: sparscale_settings::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}; give the path of a readable file", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{}: {source}; give a path that can be written", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A key file holds no key.
    #[snafu(display("{}: holds no key; write one with `sparscale key new`", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
    },
    /// The log cannot be folded.
    #[snafu(
        display("the log: {source}; try again, `sparscale bundle status` tells when it answers"),
        context(false)
    )]
    Log {
        /// What went wrong.
        source: CatchUpError,
    },
    /// The version does not wait.
    #[snafu(display("no version {version} waits to be rolled; `sparscale bundle status` lists those that do"))]
    NoProposal {
        /// The version that was named.
        version: u64,
    },
    /// The arguments do not fit together.
    #[snafu(display("{message}"))]
    Usage {
        /// What is missing.
        message: String,
    },
}
