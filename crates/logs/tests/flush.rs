//! Tests that the last lines of a process are written. They run in a process of their own because
//! the count of dropped lines is global to the process.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use logs::Queue;

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

/// A writer that takes 100 ms for each write.
struct SlowWriter(std::sync::mpsc::Sender<Vec<u8>>);

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(100));
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against a missing last line in the log of a process that shut down gracefully: on a busy
// machine the process exits before its writer thread, which ends with it, has written the line.
#[test]
fn flush_writes_the_last_lines_before_exit() {
    let (sender, received) = channel();
    let queue = Queue::spawn(SlowWriter(sender)).unwrap();
    queue.push("first".into());
    queue.push("last".into());

    let flushed = queue.flush(Duration::from_secs(5));

    let text: Vec<u8> = received.try_iter().flatten().collect();
    assert!(flushed);
    assert_eq!(String::from_utf8(text).unwrap(), "first\nlast\n");
}

#[test]
fn flush_times_out_if_the_reader_stalls() {
    let (_resume, resume_signal) = channel();
    let (sender, _received) = channel();
    let queue = Queue::spawn(StalledWriter {
        resume: resume_signal,
        written: sender,
    })
    .unwrap();
    queue.push("first".into());
    let start = Instant::now();

    let flushed = queue.flush(Duration::from_millis(100));

    assert!(!flushed);
    assert!(start.elapsed() < Duration::from_secs(2));
}
