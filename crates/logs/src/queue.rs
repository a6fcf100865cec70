//! A bounded queue of log lines with a dedicated writer thread.
//!
//! If the reader of standard output stalls, a direct write blocks, and with it the request that the
//! line is about. So a separate thread writes the lines. When it falls behind and the queue is
//! full, lines are dropped and counted; the writer logs the count once it can write again.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread::Builder;
use std::time::Duration;

/// Capacity of the queue: the lines of one second of an instance under full load, about one
/// megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of further messages that are written together with the first one.
const MAX_BATCH_MESSAGES: usize = 256;

/// Stack size of the writer thread; it is small because the thread only copies lines.
const STACK_BYTES: usize = 128 << 10;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped in this process because the reader was too slow or gone.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    Line(String),
    /// Requests a signal on this channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// The sending end of a queue of log lines.
#[derive(Clone, Debug)]
pub struct Queue {
    sender: SyncSender<Message>,
}

impl Queue {
    /// Starts a writer thread that writes queued lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn spawn(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let thread = Builder::new().name("log".into()).stack_size(STACK_BYTES);
        thread.spawn(move || write_lines(&receiver, out))?;
        Ok(Self { sender })
    }

    /// Queues a line without blocking; drops and counts it if the queue is full or the writer
    /// thread has ended.
    pub fn push(&self, line: String) {
        if self.sender.try_send(Message::Line(line)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits at most `timeout` until all lines queued so far are written, and returns whether they
    /// are.
    ///
    /// A process that exits without it loses its last lines if the writer thread is not scheduled
    /// before the exit; the log then does not show whether the process shut down cleanly.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (done, written) = sync_channel(1);
        // If the queue is full, the reader is too slow and lines are lost with or without a flush.
        let sent = self.sender.try_send(Message::Flush(done)).is_ok();
        sent && written.recv_timeout(timeout).is_ok()
    }
}

fn write_lines(receiver: &Receiver<Message>, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let rest = receiver.try_iter().take(MAX_BATCH_MESSAGES);
        for message in std::iter::once(first).chain(rest) {
            match message {
                Message::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Message::Flush(done) => flushes.push(done),
            }
        }
        let dropped = dropped_lines();
        if dropped > reported {
            text.push_str(&format!(
                "{{\"level\":\"warn\",\"from\":\"logs\",\"what\":\"lines dropped\",\
                 \"total\":{dropped}}}\n"
            ));
            reported = dropped;
        }
        // The reader is gone, and there is no other place to report that.
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
        for done in flushes {
            // The caller of `flush` may have timed out and dropped the receiver.
            let _ = done.send(());
        }
    }
}
