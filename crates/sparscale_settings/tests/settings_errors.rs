//! Every problem of a settings file is reported with file, line and remedy.

use std::path::Path;

use serde::Deserialize;
use sparscale_settings::{Check, FileChange, Problem, WatchedFile, parse};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    limit: u32,
}

impl Check for Raw {
    type Checked = String;

    fn check(self) -> Result<String, Vec<Problem>> {
        let mut problems = Vec::new();
        if self.name.is_empty() {
            problems.push(Problem::new("name", "is empty", "write a name"));
        }
        if self.limit == 0 {
            problems.push(Problem::new("limit", "is 0", "use 1 or more"));
        }
        if problems.is_empty() {
            Ok(self.name)
        } else {
            Err(problems)
        }
    }
}

fn error_message(text: &str) -> String {
    let parsed = parse::<Raw>(Path::new("box.json"), text);
    parsed.expect_err("the text is wrong").to_string()
}

#[test]
fn accepts_comments() {
    let text = "// who this is\n{ name: 'a', limit: 3, }";
    assert_eq!(parse::<Raw>(Path::new("box.json"), text).ok(), Some("a".to_owned()));
}

#[test]
fn reports_all_problems_together() {
    let text = "{\n  // the limit comes later\n  name: '',\n  limit: 0,\n}";
    assert_eq!(
        error_message(text),
        "box.json:3: name: is empty; write a name\nbox.json:4: limit: is 0; use 1 or more"
    );
}

#[test]
fn rejects_unknown_key() {
    let text = "{\n  name: 'a',\n  limit: 1,\n  limitt: 2,\n}";
    let error_message = error_message(text);
    assert!(
        error_message.contains("limitt") && error_message.starts_with("box.json:"),
        "{error_message}"
    );
}

#[test]
fn reports_line_of_syntax_error() {
    let error_message = error_message("{\n  name: 'a',\n  limit: ,\n}");
    assert!(error_message.starts_with("box.json:3:"), "{error_message}");
}

#[test]
fn finds_line_after_url() {
    let text = "{\n  // name and limit\n  name: 'http://x', limit: 0, // the limit\n}";
    assert_eq!(error_message(text), "box.json:3: limit: is 0; use 1 or more");
}

/// A running process reports whether the next start would read unchanged, changed or invalid settings.
#[test]
fn reports_change_of_file() {
    let path = std::env::temp_dir().join(format!("sparscale-watched-{}.json", std::process::id()));
    let write = |text: &str| std::fs::write(&path, text).expect("a file");
    write("{\"name\": \"a\", \"limit\": 1}");
    let (name, file) = WatchedFile::<Raw>::read(&path).expect("good settings");
    assert_eq!(name, "a");
    assert!(matches!(file.check_for_change(), FileChange::Unchanged));
    write("{\"name\": \"b\", \"limit\": 1}");
    assert!(matches!(file.check_for_change(), FileChange::Changed));
    write("{\"name\": \"b\", \"limit\": 0}");
    let FileChange::Invalid(error) = file.check_for_change() else {
        panic!("a limit of 0 was taken")
    };
    assert!(error.to_string().contains("use 1 or more"), "{error}");
    std::fs::remove_file(&path).expect("the file");
    assert!(matches!(file.check_for_change(), FileChange::Invalid(_)));
}
