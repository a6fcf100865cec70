//! A step that runs on this instance.
//!
//! The instance that ends a step may be unable to reach this one, so this instance polls the
//! platform for the end. Samples and scores are started only for a limited time after a reply that
//! the step has not ended. A query that fails is repeated once; if that fails too, the platform is
//! considered unavailable and the step continues. The repeated query also goes to peers, because
//! the platform may be unreachable from this instance only.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::Map;
use kernel::Millis;
use kernel::Name;
use kernel::RequestId;
use kernel::Set;
use net::SendCondition;
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

/// Time without a pull after which no more samples are started, because the trainer may have
/// stopped.
const PAUSE_AFTER: Millis = 60_000;

/// Time without a pull after which this instance discards the step.
const DISCARD_AFTER: Millis = 15 * 60_000;

/// Interval between two queries whether the step has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(800);

/// Delay before a failed query is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time from the start of a query, if it is answered, for which samples may be started. It is two
/// thirds of the 3 s after an acknowledged end within which the last sample may start.
const START_PERIOD: Millis = 2_000;

/// Number of consecutive failed queries after which the platform is considered unavailable.
const MAX_FAILED_QUERIES: u32 = 2;

/// Interval between two checks whether samples may be started.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks for samples that run on slow engines.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of samples that run or wait for an engine, in percent of the engines' slots.
const MAX_LOAD_PERCENT: usize = 110;

/// Maximum time that a worker waits for a notification before it checks for a task again.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(200);

/// Maximum number of events in the history of a step.
const MAX_HISTORY: usize = 200;

/// A step that runs on this instance.
pub struct ActiveStep {
    id: String,
    customer: Name,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) request: RequestId,
    pub(super) clock: Clock,
    pub(super) run: Mutex<Run>,
    /// Attempts, by sample index and ordinal, that must stop so that their samples move to another
    /// engine.
    pub(super) moves: Mutex<Set<(u32, u32)>>,
    /// The engine of the last unfinished attempt at each sample, by sample index; the next attempt
    /// avoids it.
    pub(super) avoid: Mutex<Map<u32, Name>>,
    /// Notified when a sample can be delivered.
    pub(super) sample_ready: Notify,
    /// Notified when a sample may wait to be started.
    pub(super) task_ready: Notify,
    /// Monotonic time of the last pull, in milliseconds.
    last_pull: AtomicU64,
    /// Monotonic time until which samples may be started, in milliseconds.
    start_until: Arc<AtomicU64>,
    cancelled: watch::Sender<bool>,
    history: Mutex<Vec<HistoryEntry>>,
}

impl ActiveStep {
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
            sample_ready: Notify::new(),
            task_ready: Notify::new(),
            last_pull: AtomicU64::new(clock.now()),
            start_until: Arc::default(),
            cancelled: watch::Sender::new(false),
            history: Mutex::default(),
        })
    }

    /// Returns the identifier of the step.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Returns the customer that opened the step.
    pub fn customer(&self) -> &Name {
        &self.customer
    }

    /// Returns the number of samples in the step.
    pub fn total(&self) -> u32 {
        self.run.lock().spec().total()
    }

    /// Logs an event and adds it to the step's history.
    pub(super) fn note(&self, event: String) {
        log::info!(target: "step", step = self.id.as_str(), contract = &*self.customer; "{event}");
        let mut history = self.history.lock();
        history.push(HistoryEntry {
            at: self.clock.wall(),
            what: event.into(),
        });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
    }

    /// Returns the state of the step, as shown to operators.
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
            events: self.history.lock().clone(),
        }
    }

    /// Cancels the step. Returns whether it was running until now.
    pub(super) fn cancel(&self) -> bool {
        let was_cancelled = self.cancelled.send_replace(true);
        self.sample_ready.notify_waiters();
        !was_cancelled
    }

    pub(super) fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }

    /// Waits until the step is cancelled.
    async fn cancelled(&self) {
        // The sender lives as long as `self`, so the wait ends only with the cancellation.
        let _ = self.cancelled.subscribe().wait_for(|done| *done).await;
    }

    /// Returns the time since the last pull.
    fn time_since_pull(&self) -> Millis {
        let last_pull = self.last_pull.load(Ordering::Relaxed);
        self.clock.now().saturating_sub(last_pull)
    }

    /// Starts the step, with at most `width` samples in progress at the same time.
    pub(super) fn start(self: &Arc<Self>, app: &Arc<App>, width: u32) {
        for _ in 0..width.min(self.total()) {
            let (app, step) = (app.clone(), self.clone());
            // The cancellation drops the attempt in progress, whether at an engine or at a scorer.
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = step.cancelled() => (),
                    () = step.run_worker(&app) => (),
                }
            });
        }
        let (poll_app, step) = (app.clone(), self.clone());
        tokio::spawn(async move { step.poll_end(&poll_app).await });
        let (app, step) = (app.clone(), self.clone());
        tokio::spawn(async move { step.review(&app).await });
    }

    /// Polls whether the step has ended, and stops it here if so.
    async fn poll_end(&self, app: &App) {
        let mut failures = 0;
        while !self.is_cancelled() {
            let sent_at = self.clock.now();
            let pause = match super::has_ended(app, &self.id, &self.customer, failures > 0).await {
                Ok(true) => {
                    self.note("ended at another instance".into());
                    app.steps.stop(&self.id);
                    return;
                }
                Ok(false) => {
                    failures = 0;
                    self.start_until
                        .fetch_max(sent_at + START_PERIOD, Ordering::Relaxed);
                    POLL_INTERVAL
                }
                Err(error) => {
                    failures += u32::from(error.is_unavailable());
                    match failures < MAX_FAILED_QUERIES {
                        true => RETRY_DELAY,
                        false => {
                            let until = self.clock.now() + START_PERIOD;
                            self.start_until.fetch_max(until, Ordering::Relaxed);
                            POLL_INTERVAL
                        }
                    }
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Waits until a sample may be started.
    pub(super) async fn wait_to_start(&self) {
        while self.clock.now() >= self.start_until.load(Ordering::Relaxed) {
            tokio::time::sleep(START_CHECK_INTERVAL).await;
        }
    }

    /// Returns the condition for sending a sample, or a request for its score, to an upstream.
    pub(super) fn send_condition(&self) -> SendCondition {
        let (clock, start_until) = (self.clock, self.start_until.clone());
        let cancelled = self.cancelled.subscribe();
        SendCondition::new(move || {
            clock.now() < start_until.load(Ordering::Relaxed) && !*cancelled.borrow()
        })
    }

    async fn run_worker(&self, app: &Arc<App>) {
        while !app.drain.is_begun() {
            self.wait_to_start().await;
            let task = match self.time_since_pull() > PAUSE_AFTER {
                true => Task::Wait,
                false => self.next_task(),
            };
            match task {
                Task::Start(assignment) => sample::attempt(app, self, assignment).await,
                // Delivered samples can be needed again, if the trainer restarts from a checkpoint.
                Task::Wait | Task::Done => {
                    let _ = tokio::time::timeout(MAX_IDLE_WAIT, self.task_ready.notified()).await;
                }
            }
        }
    }

    /// Returns the next sample to start, unless enough already run or wait for an engine. The order
    /// is decided as late as possible, when more is known about the lengths of the samples.
    fn next_task(&self) -> Task {
        let slots = self
            .dispatcher
            .with_upstreams(|all| all.iter().map(|u| u.spec.slots).sum::<u32>());
        let max_running = (slots as usize * MAX_LOAD_PERCENT).div_ceil(100);
        let mut run = self.run.lock();
        match run.running_count() < max_running {
            true => run.next_task(),
            false => Task::Wait,
        }
    }

    /// Moves samples off slow engines, and discards the step if its trainer stopped pulling.
    async fn review(&self, app: &App) {
        while !self.is_cancelled() {
            tokio::time::sleep(REVIEW_INTERVAL).await;
            let moves = self.run.lock().pick_moves(self.clock.now());
            for (index, ordinal) in moves {
                self.note(format!("sample {index} is moved off a slow engine"));
                self.moves.lock().insert((index, ordinal));
            }
            if self.time_since_pull() > DISCARD_AFTER {
                self.note("discarded: no pull for too long".into());
                app.steps.stop(&self.id);
            }
        }
    }

    /// Serves a pull. Waits for a sample for at most the time that the pull specifies.
    pub(super) async fn pull(&self, cursor: &Cursor, pull: &PullRequest) -> Batch {
        let end = self.clock.now() + pull.wait_ms;
        let mut is_first = true;
        loop {
            let ready = self.sample_ready.notified();
            tokio::pin!(ready);
            ready.as_mut().enable();
            let now = self.clock.now();
            self.last_pull.fetch_max(now, Ordering::Relaxed);
            let batch = self.run.lock().pull(cursor, pull.version, pull.limit, now);
            if is_first {
                // The cursor may lack samples delivered before, and the staleness bound may have
                // discarded some: both have to be generated again.
                self.task_ready.notify_waiters();
                is_first = false;
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
