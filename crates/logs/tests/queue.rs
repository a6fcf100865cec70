//! Tests of the log queue with a stalled reader.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use logs::Queue;
use logs::dropped_lines;

/// A writer that blocks in each write until it receives a signal.
struct StalledWriter {
    resume: Receiver<()>,
    written: std::sync::mpsc::Sender<Vec<u8>>,
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns on a signal, or once the test has dropped the sender.
        let _ = self.resume.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against requests that hang without a trace because the reader of the log stalls and the
// pipe is full. Lines wait in a bounded queue; if it is full, they are dropped and counted.
#[test]
fn a_stalled_reader_does_not_block_logging() {
    let (resume, resume_signal) = channel();
    let (sender, received) = channel();
    let out = StalledWriter {
        resume: resume_signal,
        written: sender,
    };
    let queue = Queue::spawn(out).unwrap();
    let start = Instant::now();

    for index in 0..20_000 {
        queue.push(format!("line {index}"));
    }

    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(dropped_lines() >= 20_000 - 4_096 - 1_000);
    drop(resume);
    let mut text = Vec::new();
    while let Ok(bytes) = received.recv_timeout(Duration::from_millis(300)) {
        text.extend(bytes);
    }
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("line 0\n"));
    assert!(text.contains("lines dropped"));
}
