//! Tests of the program's output.

use std::process::Command;
use std::process::Stdio;

// Guards against a panic when the reader closes the pipe before the end of the output, as in
// `snipeway status | head -4`. A closed pipe must not count as an error of the program.
#[test]
fn a_closed_output_pipe_is_not_an_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_snipeway"))
        .arg("--help")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();

    drop(child.stdout.take());

    let output = child.wait_with_output().unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
