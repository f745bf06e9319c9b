//! `sparscale explain` finds the lines about one request, also behind the prefix that a log collector adds.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

const LOG: &str = r#"
 12.5 front-1 {"timestamp":"2026-12-02T09:00:02.000Z","level":"WARN","message":"request","kvs":{"decision":"end","request":"9c41","outcome":"busy","status":429}}
 12.1 front-1 {"timestamp":"2026-12-02T09:00:01.000Z","level":"INFO","message":"no whole answer","kvs":{"decision":"lost_answer","request":"9c41","loss":"broken"}}
 12.2 front-1 {"timestamp":"2026-12-02T09:00:01.500Z","level":"INFO","message":"request","kvs":{"decision":"end","request":"77aa","outcome":"streamed","status":200}}
not a line of ours {
{"timestamp":"2026-12-02T09:00:00.500Z","level":"INFO","message":"handed on","kvs":{"decision":"hand_on","attempt":"9c41"}}
"#;

fn explain(id: &str) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_sparscale"))
        .args(["explain", id, "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = program.stdin.take().expect("standard input is a pipe");
    input
        .write_all(LOG.as_bytes())
        .expect("the program reads standard input");
    drop(input);
    program.wait_with_output().expect("the program ends")
}

#[test]
fn decisions_are_in_time_order() {
    let output = explain("9c41");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("output is UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("handed on"), "{text}");
    assert!(lines[1].contains("lost_answer"), "{text}");
    assert!(lines[2].contains("busy"), "{text}");
}

#[test]
fn unknown_request_fails() {
    let output = explain("0000");
    assert!(!output.status.success());
}
