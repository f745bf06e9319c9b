//! `sparscale explain`: the decision lines about one request, from log files, in time order.

use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::ResultExt as _;

use crate::error::{Error, ReadSnafu};
use crate::report::{Exit, Report};

/// One line of the structured log.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: serde_json::Map<String, serde_json::Value>,
}

#[derive(Debug, Serialize)]
struct Decision {
    timestamp: String,
    file: String,
    message: String,
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Finds all lines about `attempt` in `files`.
pub(crate) fn explain(attempt: &str, files: &[PathBuf]) -> Result<Report, Error> {
    let mut decisions = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        decisions.extend(text.lines().filter_map(|line| decision(line, attempt, path)));
    }
    decisions.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    if decisions.is_empty() {
        let text = format!("no line about {attempt}; give the log files of all entries and agents");
        return Ok(Report::new(Exit::Refused, text, &decisions));
    }
    let lines: Vec<String> = decisions.iter().map(Decision::text).collect();
    Ok(Report::new(Exit::Success, lines.join("\n"), &decisions))
}

fn decision(line: &str, attempt: &str, path: &Path) -> Option<Decision> {
    let line: Line = serde_json::from_str(line).ok()?;
    if line.kvs.get("attempt")?.as_str()? != attempt {
        return None;
    }
    Some(Decision {
        timestamp: line.timestamp,
        file: path.display().to_string(),
        message: line.message,
        fields: line.kvs,
    })
}

impl Decision {
    fn text(&self) -> String {
        let fields: Vec<String> = self
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{} {} [{}] {}",
            self.timestamp,
            self.message,
            self.file,
            fields.join(" ")
        )
    }
}
