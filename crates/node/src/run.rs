//! Runs one sample at one engine.

use std::sync::Arc;
use std::time::Duration;

use batch::Draft;
use batch::Permit;
use batch::Sample;
use crash::Subject;
use http::StatusCode;
use hyper::body::Incoming;
use kernel::Millis;
use net::Payload;
use parking_lot::Mutex;
use place::EngineTracker;
use place::MoveReason;
use place::PaceOutcome;
use place::PlacementRequest;
use place::RecentGaps;
use table::Upstream;
use team::Principal;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::App;
use crate::answer;
use crate::answer::Answer;
use crate::answer::Attribution;
use crate::answer::Outbound;
use crate::answer::Statement;
use crate::engine_loads;
use crate::engine_slot::EngineSlot;
use crate::event_run;
use crate::event_run::EventRun;
use crate::event_run::NO_ROOM;
use crate::event_run::OpenError;
use crate::event_run::RunItem;
use crate::event_run::UNCLEAR_END;
use crate::owner::OwnedStep;

/// Time limit for the start of an engine's answer: ten events of an ordinary engine, three of a slow one. An engine
/// that exceeds it is full or unreachable, and the sample will complete sooner at another one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without an event after which a run is continued at another engine: several events of a slow engine, and a
/// small part of the seconds that a step has.
const EVENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which an engine that rejected a run as busy gets no other run, in milliseconds.
pub(crate) const BUSY_BACKOFF: Millis = 150;

/// Interval, in events, at which a run checks whether another engine would complete the sample sooner.
const MOVE_CHECK_EVENTS: u64 = 4;

/// The connection broke before the answer started.
const CONNECTION_BROKE: &str = "connection broke";

/// The connection broke during the answer.
const STREAM_BROKE: &str = "stream broke";

/// An event did not follow the last one.
const OUT_OF_SEQUENCE: &str = "event out of turn";

/// Reasons for which a run breaks off when its engine crashes.
const CRASH_REASONS: [&str; 2] = [CONNECTION_BROKE, STREAM_BROKE];

/// Result of a run.
#[derive(Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The sample is complete.
    Completed,
    /// The sample cannot be run: the engine rejected its request permanently, or the request cannot be built.
    Rejected,
    /// The engine failed to run the sample.
    Failed,
    /// The engine did not execute the run.
    NotExecuted,
    /// Another engine is expected to complete the sample sooner.
    Moved,
    /// The run broke off for this reason, and is to be continued at another engine.
    Broken(&'static str),
    /// The permit expired before the run was sent.
    PermitExpired,
}

/// A run of a sample.
pub struct Run {
    /// The instance.
    pub app: Arc<App>,
    /// The step.
    pub owned: Arc<OwnedStep>,
    /// The host of the step's route.
    pub host: Arc<str>,
    /// The team on whose behalf the step runs, if teams are configured.
    pub principal: Principal,
    /// The service.
    pub service: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// Minimum weight version; events from a lower one are rejected.
    pub min_version: u64,
    /// Whether one version has to generate all events.
    pub single_version: bool,
    /// The engine.
    pub engine: Arc<Upstream>,
    /// Permission to start the run, since the step is known to be open.
    pub permit: Permit,
    /// The sample's index in the step.
    pub index: u32,
}

impl Run {
    /// Continues the sample after the events that its draft has. The slot is released when the run ends.
    pub(crate) async fn execute(
        &self,
        sample: &Sample,
        draft: &Mutex<Draft>,
        slot: EngineSlot,
    ) -> RunOutcome {
        let started_at = slot.started_at();
        let first = draft.lock().last_event;
        let result = self.attempt(sample, draft, &slot).await;
        if result == RunOutcome::Completed {
            draft.lock().complete = true;
            let events = draft.lock().last_event;
            self.app
                .engine_tracker
                .lock()
                .sample_finished(sample.expected, events);
        }
        if !matches!(
            result,
            RunOutcome::Completed
                | RunOutcome::Rejected
                | RunOutcome::NotExecuted
                | RunOutcome::Moved
                | RunOutcome::PermitExpired
        ) {
            self.app
                .engine_tracker
                .lock()
                .engine_failed(&self.engine.id, self.app.clock.now());
        }
        if let RunOutcome::Broken(why) = &result
            && CRASH_REASONS.contains(why)
        {
            self.app
                .check_crash(&sample.id, Subject::Item, &self.engine)
                .await;
        }
        let took = self.app.clock.now() - started_at;
        let outcome = match &result {
            RunOutcome::Completed => "whole",
            RunOutcome::Rejected => "hopeless",
            RunOutcome::Failed => "failed",
            RunOutcome::NotExecuted => "unrun",
            RunOutcome::Moved => "moved",
            RunOutcome::PermitExpired => "stale",
            RunOutcome::Broken(why) => why,
        };
        log::info!(target: "run", id = &*sample.id, step = &**self.owned.name(),
            upstream = &*self.engine.id, first, to = draft.lock().last_event, took_ms = took,
            outcome; "run ended");
        metrics::counter!(crate::telemetry::ATTEMPTS, "outcome" => outcome).increment(1);
        result
    }

    async fn attempt(
        &self,
        sample: &Sample,
        draft: &Mutex<Draft>,
        slot: &EngineSlot,
    ) -> RunOutcome {
        let last_event = draft.lock().last_event;
        let dialect = &self.app.dialect;
        let request = match dialect.sample_request(
            sample,
            &self.host,
            &self.engine,
            last_event,
            &self.principal,
            self.owned.priority(&self.app),
        ) {
            Ok(request) => request,
            Err(error) => {
                let why = error.to_string();
                log::warn!(target: "run", id = &*sample.id, why = why.as_str(); "could not build the sample's request");
                return RunOutcome::Rejected;
            }
        };
        // The process may be paused, or the step may end, until the request is written.
        let outbound = Outbound {
            request: request.map(Payload::from),
            upstream: self.engine.id.clone(),
            id: Some(sample.id.clone()),
            condition: self.owned.send_condition(&self.app, self.permit),
        };
        match answer::send(&self.app, outbound, ANSWER_TIMEOUT).await {
            Ok(Attribution::Own(answer)) => self.handle_answer(sample, draft, answer, slot).await,
            Ok(Attribution::Foreign) => RunOutcome::Broken("answer of something else"),
            Err(net::SendError::Forbidden) => RunOutcome::PermitExpired,
            Err(net::SendError::Unconnected) => RunOutcome::Broken("no connection"),
            Err(net::SendError::Timeout) => RunOutcome::Broken("no answer"),
            Err(_) => RunOutcome::Broken(CONNECTION_BROKE),
        }
    }

    async fn handle_answer(
        &self,
        sample: &Sample,
        draft: &Mutex<Draft>,
        answer: Answer<Incoming>,
        slot: &EngineSlot,
    ) -> RunOutcome {
        self.record_load(&answer);
        match &answer.statement {
            Statement::Executed(_) => (),
            Statement::Rejected => {
                engine_loads::record_rejection(self, answer.load, slot.started_at());
                return RunOutcome::NotExecuted;
            }
            Statement::Misdirected => {
                let busy_until = self.app.clock.now() + BUSY_BACKOFF;
                let mut tracker = self.app.engine_tracker.lock();
                tracker.engine_busy(&self.engine.id, busy_until);
                return RunOutcome::NotExecuted;
            }
            Statement::Unsigned => {
                answer.log_unsigned(&sample.id, &self.engine.id);
                return RunOutcome::Broken("not signed");
            }
        }
        match event_run::check_head(answer.status, &answer.headers) {
            Ok(()) => (),
            Err(OpenError::Status(StatusCode::UNPROCESSABLE_ENTITY)) => {
                return RunOutcome::Rejected;
            }
            Err(OpenError::Status(StatusCode::INTERNAL_SERVER_ERROR)) => return RunOutcome::Failed,
            Err(error @ OpenError::Status(_)) => return RunOutcome::Broken(error.reason()),
            Err(error @ OpenError::ContentType) => return RunOutcome::Broken(error.reason()),
        }
        engine_loads::record_accepted(self, slot.started_at());
        let version = answer.version;
        let last_event = draft.lock().last_event;
        let mut events = EventRun::new(
            &self.app,
            answer,
            sample.id.clone(),
            self.engine.id.clone(),
            Some(last_event),
        );
        let Some(version) = version else {
            return read_unversioned(draft, &mut events).await;
        };
        if !self.accepts_version(&draft.lock(), version) {
            return RunOutcome::Broken("version too old");
        }
        self.read_events(sample, draft, version, events, slot).await
    }

    /// Records the load that the engine has reported.
    fn record_load(&self, answer: &Answer<Incoming>) {
        let Some(load) = answer.load else {
            return;
        };
        let now = self.app.clock.now();
        let mut tracker = self.app.engine_tracker.lock();
        tracker.load_reported(&self.engine.id, load, now);
        self.record_pace(&mut tracker, load.pace, now);
    }

    /// Records the pace that the engine has reported.
    fn record_pace(&self, tracker: &mut EngineTracker, pace: Option<u32>, now: Millis) {
        let Some(pace) = pace.filter(|_| self.app.settings.placement.critical_moves) else {
            return;
        };
        if tracker.pace_reported(&self.engine.id, pace, now) == PaceOutcome::IgnoredAndLog {
            log::warn!(target: "run", upstream = &*self.engine.id, pace; "pace out of range ignored");
        }
    }

    /// Records the engine's version, and returns whether events of that version may be added to the draft.
    fn accepts_version(&self, draft: &Draft, version: u64) -> bool {
        self.app
            .engine_tracker
            .lock()
            .version_seen(&self.engine.id, &self.model, version);
        let unmixed = draft.versions.iter().all(|other| *other == version);
        version >= self.min_version && (unmixed || !self.single_version)
    }

    async fn read_events(
        &self,
        sample: &Sample,
        draft: &Mutex<Draft>,
        mut version: u64,
        mut events: EventRun,
        slot: &EngineSlot,
    ) -> RunOutcome {
        let tokens = u64::from(self.app.engine_memory(&self.service).event_tokens);
        let mut previous_at = self.app.clock.now();
        let mut received: u64 = 0;
        let mut gaps = RecentGaps::default();
        let mut event_due = Instant::now() + EVENT_TIMEOUT;
        loop {
            let event = match timeout_at(event_due, events.next()).await {
                Ok(RunItem::Event(_, event)) => event,
                Ok(RunItem::Comment(_)) => continue,
                Ok(RunItem::End) if draft.lock().last_event > 0 => return RunOutcome::Completed,
                Ok(RunItem::End) => return RunOutcome::Broken("empty"),
                Ok(RunItem::Broken) => return RunOutcome::Broken(STREAM_BROKE),
                Ok(RunItem::NoRoom) => return RunOutcome::Broken(NO_ROOM),
                Ok(RunItem::UnclearEnd) => return RunOutcome::Broken(UNCLEAR_END),
                Ok(RunItem::OutOfSequence) => return RunOutcome::Broken(OUT_OF_SEQUENCE),
                Err(_) => return RunOutcome::Broken("silent"),
            };
            if let Some(next) = event.version {
                version = next;
                if !self.accepts_version(&draft.lock(), version) {
                    return RunOutcome::Broken("version changed");
                }
            }
            if !draft.lock().add(event.number, &event.data, version) {
                return RunOutcome::Broken(OUT_OF_SEQUENCE);
            }
            event_due = Instant::now() + EVENT_TIMEOUT;
            let now = self.app.clock.now();
            received += 1;
            let gap = (received > 1).then_some((now - previous_at) as f64);
            slot.record_event(gap, tokens);
            if let Some(gap) = gap {
                gaps.record(gap);
            }
            previous_at = now;
            if received.is_multiple_of(MOVE_CHECK_EVENTS)
                && self.may_move()
                && self.is_move_faster(sample, draft, &gaps)
            {
                return RunOutcome::Moved;
            }
        }
    }

    /// Returns whether the sample may be started at another engine now.
    fn may_move(&self) -> bool {
        self.owned.permit(&self.app).is_some()
    }

    /// Returns whether another engine is expected to complete the sample sooner.
    fn is_move_faster(&self, sample: &Sample, draft: &Mutex<Draft>, gaps: &RecentGaps) -> bool {
        let last_event = draft.lock().last_event;
        let memory = self.app.engine_memory(&self.service);
        let request = PlacementRequest {
            service: &self.service,
            model: Some(&self.model),
            min_version: self.min_version,
            queue_limit: 0,
            domain: &self.app.settings.domain,
            cached_on: None,
            avoid: &[],
            tokens: memory.run_tokens(sample.prompt, last_event),
            memory,
        };
        let upstreams = self.app.upstreams.lock();
        let tracker = self.app.engine_tracker.lock();
        let remaining = tracker.remaining_events(sample.expected, last_event);
        let now = self.app.clock.now();
        let current = &*self.engine.id;
        if !self.app.settings.placement.critical_moves {
            let better = tracker.choose_better(&upstreams, &request, current, remaining, now);
            return better.is_some();
        }
        let better = tracker.choose_confirmed(&upstreams, &request, current, remaining, gaps, now);
        let time = tracker.remaining_time(Some(current), sample.expected, last_event, now);
        drop(tracker);
        drop(upstreams);
        let Some((_, reason)) = better else {
            return false;
        };
        let (moves, outcome) = match reason {
            MoveReason::Memory => (true, "memory"),
            MoveReason::Speed if self.owned.is_end_decided_by(&self.app, self.index, time) => {
                (true, "speed")
            }
            MoveReason::Speed => (false, "not critical"),
        };
        metrics::counter!(crate::telemetry::MOVES, "outcome" => outcome).increment(1);
        moves
    }
}

/// Reads an answer that names no version.
///
/// If a run broke off after the last event of its sample, the text is complete, but this instance does not know that.
/// Continuing the run gives an answer without events, and so without a version. It has to count as the end of the
/// sample, which would otherwise be requested repeatedly until its step ends.
async fn read_unversioned(draft: &Mutex<Draft>, events: &mut EventRun) -> RunOutcome {
    match timeout(EVENT_TIMEOUT, events.next()).await {
        Ok(RunItem::End) if draft.lock().last_event > 0 => RunOutcome::Completed,
        _ => RunOutcome::Broken("no version"),
    }
}
