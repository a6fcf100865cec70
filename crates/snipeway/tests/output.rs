//! Tests of the program's output.

use std::process::Command;
use std::process::Stdio;

// Symptom: `snipeway status | head -4` ends with a panic and a stack trace.
// Sequence: whoever reads the output stops before its end.
// Cause: printing that takes a closed pipe for a fault of the program.
#[test]
fn a_reader_that_stops_early_is_no_failure() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_snipeway"))
        .arg("--help")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();

    drop(child.stdout.take());

    let ended = child.wait_with_output().unwrap();
    assert!(
        ended.status.success(),
        "{}",
        String::from_utf8_lossy(&ended.stderr)
    );
}
