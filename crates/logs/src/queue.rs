//! A bounded queue of lines before a slow reader.
//!
//! A reader of standard output that stalls would block whoever writes to it, and with it the
//! request that the line is about. So lines go to a thread of their own; when it falls behind,
//! lines are dropped and counted, and the count is itself a line once there is room again.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread::Builder;
use std::time::Duration;

/// Lines that wait at most: a second of an instance under full load, in about one megabyte.
const LINES: usize = 4_096;

/// Lines that are written at once.
const BATCH: usize = 256;

/// Stack of the writing thread in bytes; it only copies lines.
const STACK: usize = 128 << 10;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped because their reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// What goes to the writing thread.
#[derive(Debug)]
enum Message {
    Line(String),
    /// All lines before it are to be written, and then this is to be told so.
    Flush(SyncSender<()>),
}

/// The sending end of a queue.
#[derive(Clone, Debug)]
pub struct Queue {
    sender: SyncSender<Message>,
}

impl Queue {
    /// Begins to write lines to `out` from a thread of their own.
    ///
    /// # Errors
    ///
    /// Returns the error of the thread's start.
    pub fn begin(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(LINES);
        let thread = Builder::new().name("log".into()).stack_size(STACK);
        thread.spawn(move || write(&receiver, out))?;
        Ok(Self { sender })
    }

    /// Hands over a line; never waits.
    pub fn line(&self, line: String) {
        if self.sender.try_send(Message::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, at most for `limit`; tells whether they are.
    ///
    /// A process that ended without it lost its last lines when the writing thread had no processor
    /// before the end, so that nothing said whether it had left whole.
    pub fn flush(&self, limit: Duration) -> bool {
        let (done, written) = sync_channel(1);
        // A full queue has a reader that is too slow, and its lines are lost in any case.
        let sent = self.sender.try_send(Message::Flush(done)).is_ok();
        sent && written.recv_timeout(limit).is_ok()
    }
}

fn write(receiver: &Receiver<Message>, mut out: impl Write) {
    let mut told = 0;
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let rest = receiver.try_iter().take(BATCH);
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
        if dropped > told {
            text.push_str(&format!(
                "{{\"level\":\"warn\",\"from\":\"logs\",\"what\":\"lines dropped\",\
                 \"total\":{dropped}}}\n"
            ));
            told = dropped;
        }
        // Nobody reads any more, and there is nowhere else to say so.
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
        for done in flushes {
            // Whoever asked may have waited long enough.
            let _ = done.send(());
        }
    }
}
