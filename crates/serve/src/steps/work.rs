//! A step on the instance that works on it.
//!
//! Whoever ends a step may not reach this instance, so it asks the platform for the end. Samples
//! and scores are begun only for a while after an answer that there is none. A question without an
//! answer is asked again; when that has none either, the platform counts as away, and the step
//! goes on. From the second on a question goes to peers as well, since the platform may be away for
//! this instance alone.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::Map;
use kernel::Millis;
use kernel::Name;
use kernel::RequestId;
use kernel::Set;
use parking_lot::Mutex;
use step::Cursor;
use step::Run;
use step::run::Task;
use tokio::sync::Notify;
use tokio::sync::watch;
use wire::caller::Batch;
use wire::caller::HistoryEntry;
use wire::caller::PullRequest;
use wire::caller::StepState;

use super::sample;
use crate::App;
use crate::dispatcher::Dispatcher;
use clock::Clock;

/// Time without a pull after which no more samples are begun: the trainer may be gone.
const PAUSED: Millis = 60_000;

/// Time without a pull after which the step is dropped here.
const DROPPED: Millis = 15 * 60_000;

/// Time between two questions whether the step has ended.
const ASK: Duration = Duration::from_millis(800);

/// Pause after a question without an answer.
const AGAIN: Duration = Duration::from_millis(300);

/// Time after a question that was answered for which samples are begun: two thirds of the 3 s after
/// an acknowledged end in which the last one begins.
const SURE: Millis = 2_000;

/// Questions in a row without an answer after which the platform counts as away.
const AWAY: u32 = 2;

/// Time between two looks whether samples may be begun.
const LOOK: Duration = Duration::from_millis(20);

/// Time between two reviews of the running samples.
const REVIEW: Duration = Duration::from_millis(200);

/// Samples that run or wait for an engine, in hundredths of what the engines can run.
const AHEAD: usize = 110;

/// Longest time that a worker waits for something to do.
const IDLE: Duration = Duration::from_millis(200);

/// Lines of a step's history that are kept.
const NOTES: usize = 200;

/// A step on the instance that works on it.
pub struct Work {
    id: String,
    customer: Name,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) request: RequestId,
    pub(super) clock: Clock,
    pub(super) run: Mutex<Run>,
    /// Attempts that are to stop so that their samples go on elsewhere.
    pub(super) moves: Mutex<Set<(u32, u32)>>,
    /// The engine that each sample should keep away from.
    pub(super) avoid: Mutex<Map<u32, Name>>,
    /// A sample is ready.
    pub(super) ready: Notify,
    /// Something waits to be begun.
    pub(super) todo: Notify,
    pulled: AtomicU64,
    /// Until when samples may be begun.
    sure: AtomicU64,
    over: watch::Sender<bool>,
    notes: Mutex<Vec<HistoryEntry>>,
}

impl Work {
    pub(super) fn new(
        id: &str,
        customer: Name,
        run: Run,
        dispatcher: Arc<Dispatcher>,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.into(),
            customer,
            dispatcher,
            request: RequestId::generate(),
            clock,
            run: Mutex::new(run),
            moves: Mutex::default(),
            avoid: Mutex::default(),
            ready: Notify::new(),
            todo: Notify::new(),
            pulled: AtomicU64::new(clock.now()),
            sure: AtomicU64::new(0),
            over: watch::Sender::new(false),
            notes: Mutex::default(),
        })
    }

    /// The step.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// The customer whose step it is.
    pub fn customer(&self) -> &Name {
        &self.customer
    }

    /// Samples in it.
    pub fn total(&self) -> u32 {
        self.run.lock().spec().total()
    }

    /// Notes what happened.
    pub(super) fn note(&self, what: String) {
        log::info!(target: "step", step = self.id.as_str(), contract = &*self.customer; "{what}");
        let mut notes = self.notes.lock();
        notes.push(HistoryEntry {
            at: self.clock.wall(),
            what: what.into(),
        });
        let extra = notes.len().saturating_sub(NOTES);
        notes.drain(..extra);
    }

    /// How it stands.
    pub fn state(&self, instance: &Name) -> StepState {
        let run = self.run.lock();
        StepState {
            step: self.id.clone(),
            instance: instance.clone(),
            customer: self.customer.clone(),
            total: run.spec().total(),
            held: run.held_count() as u32,
            ready: run.finished_count() as u32,
            running: run.running_count() as u32,
            counts: run.counts(),
            events: self.notes.lock().clone(),
        }
    }

    /// Cancels the work; tells whether it went on until now.
    pub(super) fn cancel(&self) -> bool {
        let was_over = self.over.send_replace(true);
        self.ready.notify_waiters();
        !was_over
    }

    pub(super) fn is_cancelled(&self) -> bool {
        *self.over.borrow()
    }

    /// Waits until the work is cancelled.
    async fn cancelled(&self) {
        // The sender lives as long as this, so the wait ends only with the cancellation.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    fn quiet(&self) -> Millis {
        let pulled = self.pulled.load(Ordering::Relaxed);
        self.clock.now().saturating_sub(pulled)
    }

    /// Begins to work, on at most `width` samples at once.
    pub(super) fn begin(self: &Arc<Self>, app: &Arc<App>, width: u32) {
        for _ in 0..width.min(self.total()) {
            let (app, work) = (app.clone(), self.clone());
            // Whatever an attempt waits for or does, at an engine or a scorer, is dropped at the end.
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = work.cancelled() => (),
                    () = work.worker(&app) => (),
                }
            });
        }
        let (asking, work) = (app.clone(), self.clone());
        tokio::spawn(async move { work.ask(&asking).await });
        let (app, work) = (app.clone(), self.clone());
        tokio::spawn(async move { work.review(&app).await });
    }

    /// Asks for the end of the step until it has ended.
    async fn ask(&self, app: &App) {
        let mut missed = 0;
        while !self.is_cancelled() {
            let sent = self.clock.now();
            let pause = match super::asked(app, &self.id, &self.customer, missed > 0).await {
                Ok(true) => {
                    self.note("ended at another instance".into());
                    app.steps.stop(&self.id);
                    return;
                }
                Ok(false) => {
                    missed = 0;
                    self.sure.fetch_max(sent + SURE, Ordering::Relaxed);
                    ASK
                }
                Err(error) => {
                    missed += u32::from(error.is_unavailable());
                    match missed < AWAY {
                        true => AGAIN,
                        false => {
                            let until = self.clock.now() + SURE;
                            self.sure.fetch_max(until, Ordering::Relaxed);
                            ASK
                        }
                    }
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Waits until a sample may be begun.
    pub(super) async fn sure(&self) {
        while self.clock.now() >= self.sure.load(Ordering::Relaxed) {
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn worker(&self, app: &Arc<App>) {
        while !app.drain.is_begun() {
            self.sure().await;
            let todo = match self.quiet() > PAUSED {
                true => Task::Wait,
                false => self.todo(),
            };
            match todo {
                Task::Start(begin) => sample::make(app, self, begin).await,
                // All may yet come back, when the trainer returns from a checkpoint.
                Task::Wait | Task::Done => {
                    let _ = tokio::time::timeout(IDLE, self.todo.notified()).await;
                }
            }
        }
    }

    /// Gives out a sample to begin, unless enough wait for an engine already: which one goes first
    /// is chosen as late as possible, when more is known of their lengths.
    fn todo(&self) -> Task {
        let slots = self
            .dispatcher
            .with_upstreams(|all| all.iter().map(|u| u.spec.slots).sum::<u32>());
        let width = (slots as usize * AHEAD).div_ceil(100);
        let mut run = self.run.lock();
        match run.running_count() < width {
            true => run.next_task(),
            false => Task::Wait,
        }
    }

    /// Moves samples off slow engines, and ends the work when no trainer comes any more.
    async fn review(&self, app: &App) {
        while !self.is_cancelled() {
            tokio::time::sleep(REVIEW).await;
            let moves = self.run.lock().pick_moves(self.clock.now());
            for (index, ordinal) in moves {
                self.note(format!("sample {index} is moved off a slow engine"));
                self.moves.lock().insert((index, ordinal));
            }
            if self.quiet() > DROPPED {
                self.note("no pull for long: dropped here".into());
                app.steps.stop(&self.id);
            }
        }
    }

    /// Answers a pull; waits for a sample for as long as the pull says.
    pub(super) async fn pull(&self, cursor: &Cursor, pull: &PullRequest) -> Batch {
        let end = self.clock.now() + pull.wait_ms;
        let mut first = true;
        loop {
            let ready = self.ready.notified();
            tokio::pin!(ready);
            ready.as_mut().enable();
            let now = self.clock.now();
            self.pulled.fetch_max(now, Ordering::Relaxed);
            let batch = self.run.lock().pull(cursor, pull.version, pull.limit, now);
            if first {
                // The cursor may have brought samples back, or the bound thrown some out.
                self.todo.notify_waiters();
                first = false;
            }
            if !batch.samples.is_empty() || batch.done || now >= end || self.is_cancelled() {
                return Batch {
                    samples: batch.samples,
                    cursor: batch.cursor.to_string(),
                    done: batch.done,
                };
            }
            let left = Duration::from_millis(end - now);
            let _ = tokio::time::timeout(left, ready).await;
        }
    }
}
