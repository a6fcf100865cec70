//! The journal of non-idempotent requests: carries out what [`once::Shard`] asks for.
//!
//! To write in few and large groups, an instance hands its questions to the peer that has the
//! highest rank for the shard. That is for economy only: any instance may write to any shard, and
//! the shard's head decides between two that do.

mod driver;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Member;
use kernel::AttemptId;
use kernel::Millis;
use kernel::rendezvous_rank;
use once::Decision;
use once::Fingerprint;
use once::Key;
use once::Outcome;
use once::Record;
use once::Shard;
use parking_lot::Mutex;
use plat::Client;
use tokio::sync::Notify;
use wire::peer;
use wire::peer::JournalReply;

use crate::App;
use crate::gossip;
use crate::settings;
use clock::Clock;
use driver::Driver;

/// Longest time that a question waits for the platform; refusing sooner than the deadline leaves
/// the caller time to go elsewhere.
const WAIT: Millis = 2_000;

/// Failures in a row from which the platform counts as away and questions are refused at once.
const AWAY: u32 = 2;

/// Time between two looks at whether everything is written.
const PAUSE: Millis = 25;

#[derive(Debug)]
struct Cell {
    shard: Mutex<Shard>,
    /// There is something to do.
    work: Notify,
    /// Something was answered.
    news: Notify,
    failures: AtomicU32,
}

/// The journal on one instance.
#[derive(Debug)]
pub struct Journal {
    cells: Vec<Arc<Cell>>,
    plat: Client,
    clock: Clock,
}

impl Journal {
    /// Makes a journal that has read nothing yet.
    pub fn new(settings: settings::Journal, plat: Client, clock: Clock) -> Self {
        let cell = |_| {
            Arc::new(Cell {
                shard: Mutex::new(Shard::new(settings.retention)),
                work: Notify::new(),
                news: Notify::new(),
                failures: AtomicU32::new(0),
            })
        };
        Self {
            cells: (0..settings.shards).map(cell).collect(),
            plat,
            clock,
        }
    }

    /// Begins to write; must be called on a runtime.
    pub fn begin(&self) {
        for (at, cell) in self.cells.iter().enumerate() {
            let driver = Driver {
                at: at as u32,
                cell: cell.clone(),
                plat: self.plat.clone(),
                clock: self.clock,
            };
            tokio::spawn(driver.run());
        }
    }

    fn cell(&self, key: Key) -> (u32, &Arc<Cell>) {
        let at = key.shard(self.cells.len() as u32);
        (at, &self.cells[at as usize])
    }

    /// Keys that are known.
    pub fn len(&self) -> usize {
        self.cells.iter().map(|cell| cell.shard.lock().len()).sum()
    }

    /// Tells whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Asks for the right to run, through the peer that writes the shard if it can be reached.
    pub async fn ask(
        &self,
        app: &Arc<App>,
        key: Key,
        print: Fingerprint,
        attempt: AttemptId,
        deadline: Millis,
    ) -> Decision {
        let answer = self.ask_any(app, key, print, attempt, deadline).await;
        if answer == Decision::Refused {
            // The intent may have been written all the same, by the peer or here, and the answer
            // lost. Unless the right is given back, the key stays in doubt for as long as it is
            // kept, though its caller heard that nothing ran.
            let app = app.clone();
            tokio::spawn(async move { app.journal.free(&app, key, attempt).await });
        }
        answer
    }

    async fn ask_any(
        &self,
        app: &App,
        key: Key,
        print: Fingerprint,
        attempt: AttemptId,
        deadline: Millis,
    ) -> Decision {
        let (at, _) = self.cell(key);
        let left = deadline.saturating_sub(self.clock.now()).min(WAIT);
        if let Some(writer) = writer(app, at) {
            let question = peer::JournalRequest::Ask {
                key,
                print,
                attempt,
                left: left / 2,
            };
            if let Some(JournalReply::Answer(verdict)) = relay(app, &writer, &question, left).await
            {
                return verdict.into();
            }
            // The peer may have written the intent all the same. It carries this attempt's
            // identifier, so reading the shard here shows it as this attempt's own.
        }
        self.ask_here(key, print, attempt, deadline, Own::Mine)
            .await
    }

    /// Asks for the right to run without a peer.
    pub async fn ask_here(
        &self,
        key: Key,
        print: Fingerprint,
        attempt: AttemptId,
        deadline: Millis,
        own: Own,
    ) -> Decision {
        let (_, cell) = self.cell(key);
        if cell.failures.load(Ordering::Relaxed) >= AWAY {
            return Decision::Refused;
        }
        let end = deadline.min(self.clock.now() + WAIT);
        cell.shard
            .lock()
            .claim(key, print, attempt, self.clock.wall());
        let abandon = Abandon {
            cell,
            key,
            attempt,
            own,
        };
        cell.work.notify_one();
        let answer = self.answer(cell, attempt, end).await;
        // With an answer there is nothing left to abandon.
        drop(abandon);
        answer.unwrap_or(Decision::Refused)
    }

    async fn answer(&self, cell: &Cell, attempt: AttemptId, end: Millis) -> Option<Decision> {
        loop {
            let news = cell.news.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            if let Some(answer) = cell.shard.lock().take_decision(attempt) {
                return Some(answer);
            }
            let left = end.saturating_sub(self.clock.now());
            let waited = tokio::time::timeout(Duration::from_millis(left), news).await;
            if waited.is_err() {
                return None;
            }
        }
    }

    /// Records the answer of a request that ran; the caller need not wait for it.
    pub fn done(&self, app: &Arc<App>, key: Key, outcome: Outcome) {
        let app = app.clone();
        let record = Record::Done { key, outcome };
        tokio::spawn(async move { app.journal.note(&app, record).await });
    }

    /// Gives back the right to run. It is under way when this returns, so that the same key can
    /// be sent again at once.
    pub async fn free(&self, app: &App, key: Key, attempt: AttemptId) {
        self.note(app, Record::Release { key, attempt }).await;
    }

    async fn note(&self, app: &App, record: Record) {
        let (at, _) = self.cell(record.key());
        if let Some(writer) = writer(app, at) {
            let note = peer::JournalRequest::Note(record.clone());
            if relay(app, &writer, &note, WAIT).await.is_some() {
                return;
            }
        }
        self.note_here(record);
    }

    /// Writes a record without a peer.
    pub fn note_here(&self, record: Record) {
        let (_, cell) = self.cell(record.key());
        cell.shard.lock().append(record);
        cell.work.notify_one();
    }

    /// Waits until everything is written, or the time is over.
    pub async fn flush(&self, limit: Duration) {
        let idle = || self.cells.iter().all(|cell| cell.shard.lock().is_idle());
        let wait = async {
            while !idle() {
                tokio::time::sleep(Duration::from_millis(PAUSE)).await;
            }
        };
        // What is not written by then is lost, which leaves a key in doubt and no more.
        let _ = tokio::time::timeout(limit, wait).await;
    }
}

/// On whose behalf a question is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Own {
    /// An attempt of this instance.
    Mine,
    /// An attempt of a peer, which may run the request though it gets no answer from here.
    Peers,
}

/// Gives a question up when whoever asked goes away or has waited long enough.
struct Abandon<'a> {
    cell: &'a Cell,
    key: Key,
    attempt: AttemptId,
    own: Own,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        let mut shard = self.cell.shard.lock();
        if !shard.is_pending(self.attempt) {
            return;
        }
        match self.own {
            Own::Mine => shard.abandon(self.key, self.attempt),
            Own::Peers => shard.stop_waiting(self.attempt),
        }
        drop(shard);
        self.cell.work.notify_one();
    }
}

/// The peer that writes a shard for others: the live one with the highest rank (rendezvous
/// hashing). [`None`] when that is this instance.
fn writer(app: &App, shard: u32) -> Option<Member> {
    let view = app.view.lock();
    let best = view
        .live()
        .max_by_key(|member| rendezvous_rank(&member.name, shard))?;
    (best.name != view.me().name).then(|| best.clone())
}

async fn relay(
    app: &App,
    writer: &Member,
    question: &peer::JournalRequest,
    left: Millis,
) -> Option<JournalReply> {
    let limit = Duration::from_millis(left);
    gossip::exchange(app, writer.addr, peer::JOURNAL, question, limit)
        .await
        .ok()
}
