//! Results as operators and pipelines see them.

use std::process::ExitCode;

use serde::Serialize;

/// Exit codes that a pipeline can tell apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success,
    /// The log has the record and the fold refused it.
    Refused,
    /// Nobody can tell yet whether the record took effect.
    Unknown,
    /// The log did not take the record.
    NotAppended,
    /// The input is wrong; nothing was sent.
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

/// A result with its text for people.
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
            // A value that cannot be shown as JSON is shown as none; the text still tells.
            json: serde_json::to_value(value).unwrap_or_default(),
        }
    }

    /// Prints the result: text, or one line of JSON.
    pub(crate) fn print(&self, as_json: bool) -> Exit {
        if as_json {
            println!("{}", self.json);
        } else {
            println!("{}", self.text);
        }
        self.exit
    }
}
