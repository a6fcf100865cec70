//! The last lines of a process. These tests have a process of their own, since the count of dropped lines is one
//! for the whole process.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use logs::Queue;

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

/// A reader that takes its time.
struct Slow(std::sync::mpsc::Sender<Vec<u8>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(100));
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Symptom: the log of a process that left gracefully does not say so.
// Sequence: it writes its last line and ends, on a machine whose processors are busy.
// Cause: lines are written by a thread of their own, which ends with the process.
#[test]
fn the_last_lines_are_written_before_the_end() {
    let (sender, taken) = channel();
    let queue = Queue::begin(Slow(sender)).unwrap();
    queue.line("first".into());
    queue.line("last".into());

    let written = queue.flush(Duration::from_secs(5));

    let text: Vec<u8> = taken.try_iter().flatten().collect();
    assert!(written);
    assert_eq!(String::from_utf8(text).unwrap(), "first\nlast\n");
}

#[test]
fn a_reader_that_is_gone_holds_nobody_up_at_the_end() {
    let (_go, told) = channel();
    let (sender, _taken) = channel();
    let queue = Queue::begin(Stalled {
        go: told,
        taken: sender,
    })
    .unwrap();
    queue.line("first".into());
    let begun = Instant::now();

    let written = queue.flush(Duration::from_millis(100));

    assert!(!written);
    assert!(begun.elapsed() < Duration::from_secs(2));
}
