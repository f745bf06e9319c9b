//! `sparscale explain`: shows the log lines about one request, from log files or standard input, in time order.

use std::fs;
use std::io::Read as _;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::ResultExt as _;

use crate::error::{Error, ReadSnafu};
use crate::report::{Exit, Report};

/// One line of the structured log.
#[derive(Debug, Deserialize)]
struct LogLine {
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

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";
/// Log keys whose values identify the request of a line.
const ID_FIELDS: [&str; 2] = ["attempt", "request"];

/// Reports all log lines about the request or attempt `id` in `files`.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Result<Report, Error> {
    let mut decisions = Vec::new();
    for path in files {
        let text = read(path)?;
        decisions.extend(text.lines().filter_map(|line| parse_decision(line, id, path)));
    }
    decisions.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    if decisions.is_empty() {
        let text = format!("no log line mentions {id}; pass the log files of all entries and agents");
        return Ok(Report::new(Exit::Refused, text, &decisions));
    }
    let lines: Vec<String> = decisions.iter().map(Decision::text).collect();
    Ok(Report::new(Exit::Success, lines.join("\n"), &decisions))
}

fn read(path: &Path) -> Result<String, Error> {
    if path.as_os_str() != STANDARD_INPUT {
        return fs::read_to_string(path).context(ReadSnafu { path });
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).context(ReadSnafu { path })?;
    Ok(text)
}

/// Parses `line` if it is about `id`; text that a log collector put before the JSON object is skipped.
fn parse_decision(line: &str, id: &str, path: &Path) -> Option<Decision> {
    let json_start = line.find('{')?;
    let log_line: LogLine = serde_json::from_str(&line[json_start..]).ok()?;
    let mut ids = ID_FIELDS.iter().filter_map(|field| log_line.kvs.get(*field)?.as_str());
    if !ids.any(|logged_id| logged_id == id) {
        return None;
    }
    Some(Decision {
        timestamp: log_line.timestamp,
        file: path.display().to_string(),
        message: log_line.message,
        fields: log_line.kvs,
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
