//! Problems of a settings file, and the list of them that is shown to the user.

use std::fmt;
use std::path::{Path, PathBuf};

/// Invalid value: its field, the problem, and the remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, for example `engine.in_flight`; its line is found by searching for the path's parts in the
    /// text.
    pub field: String,
    /// Problem of the value.
    pub problem: String,
    /// Valid values to write instead.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem of `field`.
    pub fn new(field: impl Into<String>, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.field, self.problem, self.remedy)
    }
}

/// All problems of one file, each with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    path: PathBuf,
    problems: Vec<(usize, Problem)>,
}

impl Problems {
    /// Finds the line of each problem in `text`, which was read from `path`.
    pub fn locate(path: &Path, text: &str, problems: Vec<Problem>) -> Self {
        let problems = problems
            .into_iter()
            .map(|problem| (line_of(text, &problem.field), problem))
            .collect();
        Self {
            path: path.to_owned(),
            problems,
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (line, problem)) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{line}: {problem}", self.path.display())?;
        }
        Ok(())
    }
}

/// Returns the line of a field. The parts of its path are searched for in order, each from the line of the previous one
/// on.
///
/// A part in brackets (`workspaces[teal]`) is the name of a list item, which occurs in the text as a value.
fn line_of(text: &str, field: &str) -> usize {
    let mut line = 0;
    for part in field.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
        let offset = text
            .lines()
            .skip(line)
            .position(|candidate| contains_word(candidate, part));
        let Some(offset) = offset else { break };
        line += offset;
    }
    line + 1
}

/// Returns the line without its comment. The slashes of a URL don't start a comment, because no space precedes them.
fn without_comment(line: &str) -> &str {
    if line.trim_start().starts_with("//") {
        return "";
    }
    line.split(" //").next().unwrap_or(line)
}

/// Returns whether the line contains `word` outside of a comment and not as part of a longer word.
fn contains_word(line: &str, word: &str) -> bool {
    let code = without_comment(line);
    let is_word = |character: char| character.is_alphanumeric() || character == '_' || character == '-';
    code.match_indices(word).any(|(start, _)| {
        let before = code[..start].chars().next_back();
        let after = code[start + word.len()..].chars().next();
        !before.is_some_and(is_word) && !after.is_some_and(is_word)
    })
}
