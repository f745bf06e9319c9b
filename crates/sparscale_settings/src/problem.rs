//! One problem of a document, and the list that a user sees.

use std::fmt;
use std::path::{Path, PathBuf};

/// One wrong value: where it stands, what is wrong, and how to mend it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, for example `engine.in_flight`; the last part is looked up in the text.
    pub field: String,
    /// What is wrong with the value.
    pub problem: String,
    /// What to write instead.
    pub mend: String,
}

impl Problem {
    /// A problem of `field`.
    pub fn new(field: impl Into<String>, problem: impl Into<String>, mend: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
            mend: mend.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.field, self.problem, self.mend)
    }
}

/// All problems of one file, with the line of each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    path: PathBuf,
    found: Vec<(usize, Problem)>,
}

impl Problems {
    /// Finds the line of each problem in `text`, which was read from `path`.
    pub fn locate(path: &Path, text: &str, problems: Vec<Problem>) -> Self {
        let found = problems
            .into_iter()
            .map(|problem| (line_of(text, &problem.field), problem))
            .collect();
        Self {
            path: path.to_owned(),
            found,
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (line, problem)) in self.found.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{line}: {problem}", self.path.display())?;
        }
        Ok(())
    }
}

/// The line on which the path's parts are found one after the other, each at or after the part before it.
///
/// A part in brackets (`workspaces[teal]`) names an entry by its value.
fn line_of(text: &str, field: &str) -> usize {
    let mut line = 0;
    for part in field.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
        let found = text.lines().skip(line).position(|candidate| mentions(candidate, part));
        let Some(offset) = found else { break };
        line += offset;
    }
    line + 1
}

/// The line up to its comment. The slashes of a URL start none: no space stands before them.
fn without_comment(line: &str) -> &str {
    if line.trim_start().starts_with("//") {
        return "";
    }
    line.split(" //").next().unwrap_or(line)
}

fn mentions(line: &str, word: &str) -> bool {
    let code = without_comment(line);
    let is_word = |character: char| character.is_alphanumeric() || character == '_' || character == '-';
    code.match_indices(word).any(|(start, _)| {
        let before = code[..start].chars().next_back();
        let after = code[start + word.len()..].chars().next();
        !before.is_some_and(is_word) && !after.is_some_and(is_word)
    })
}
