//! Results of commands: text for operators, JSON and exit codes for scripts.

use std::process::ExitCode;

use serde::Serialize;

/// Result categories of a command; each has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The request was rejected, in general by the fold after the record was appended.
    Refused,
    /// It is not known yet whether the record took effect.
    Unknown,
    /// The log does not have the record, or could not be read.
    NotAppended,
    /// The input is invalid; no record was sent.
    Input,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::Refused => Self::from(1),
            Exit::Unknown => Self::from(2),
            Exit::NotAppended => Self::from(3),
            Exit::Input => Self::from(4),
        }
    }
}

/// Result of a command as exit category, text and JSON.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) exit: Exit,
    pub(crate) text: String,
    pub(crate) json: serde_json::Value,
}

impl Report {
    pub(crate) fn new<T: Serialize>(exit: Exit, text: impl Into<String>, value: &T) -> Self {
        Self {
            exit,
            text: text.into(),
            // A value that cannot be converted becomes `null`; the text still shows the result.
            json: serde_json::to_value(value).unwrap_or_default(),
        }
    }

    /// Prints the result as text or as one line of JSON.
    pub(crate) fn print(&self, as_json: bool) -> Exit {
        if as_json {
            println!("{}", self.json);
        } else {
            println!("{}", self.text);
        }
        self.exit
    }
}
