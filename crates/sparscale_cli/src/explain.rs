//! `sparscale explain`: the decision lines about one request, from log files or standard input, in time order.

use std::fs;
use std::io::Read as _;
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

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";
/// Fields that name the request that a line is about.
const ID_FIELDS: [&str; 2] = ["attempt", "request"];

/// Finds all lines about the request or attempt `id` in `files`.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Result<Report, Error> {
    let mut decisions = Vec::new();
    for path in files {
        let text = read(path)?;
        decisions.extend(text.lines().filter_map(|line| decision(line, id, path)));
    }
    decisions.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    if decisions.is_empty() {
        let text = format!("no line about {id}; give the log files of all entries and agents");
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

/// A line that is about `id`. What a collector of logs put before the line's own text is passed over.
fn decision(line: &str, id: &str, path: &Path) -> Option<Decision> {
    let begin = line.find('{')?;
    let line: Line = serde_json::from_str(&line[begin..]).ok()?;
    let mut ids = ID_FIELDS.iter().filter_map(|field| line.kvs.get(*field)?.as_str());
    if !ids.any(|named| named == id) {
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
