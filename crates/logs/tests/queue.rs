//! The queue before a slow reader.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use logs::Queue;
use logs::dropped_lines;

/// A reader that takes nothing until it is told to.
struct Stalled {
    go: Receiver<()>,
    taken: std::sync::mpsc::Sender<Vec<u8>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Told once to go on, or let go for good when the test ends.
        let _ = self.go.recv();
        let _ = self.taken.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Symptom: requests stand still, and nothing shows why.
// Sequence: whoever reads the log stalls; the pipe is full.
// Cause: lines wait in a bounded queue; beyond it they are dropped and counted, never waited for.
#[test]
fn a_stalled_reader_blocks_nobody() {
    let (go, told) = channel();
    let (sender, taken) = channel();
    let out = Stalled {
        go: told,
        taken: sender,
    };
    let queue = Queue::begin(out).unwrap();
    let begun = Instant::now();

    for at in 0..20_000 {
        queue.line(format!("line {at}"));
    }

    assert!(begun.elapsed() < Duration::from_secs(2));
    assert!(dropped_lines() >= 20_000 - 4_096 - 1_000);
    drop(go);
    let mut text = Vec::new();
    while let Ok(bytes) = taken.recv_timeout(Duration::from_millis(300)) {
        text.extend(bytes);
    }
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("line 0\n"));
    assert!(text.contains("lines dropped"));
}
