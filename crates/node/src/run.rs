//! One run of one sample at one engine.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::Draft;
use batch::Permit;
use batch::Sample;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use kernel::Millis;
use parking_lot::Mutex;
use place::PlacementRequest;
use poison::Identity;
use table::Upstream;
use team::Principal;
use tokio::time::timeout;

use crate::App;
use crate::events::Events;
use crate::events::Next;
use crate::owner::OwnedStep;
use crate::print;

/// Time within which an engine with a free slot begins to answer: ten events of an ordinary engine,
/// three of a slow one. One that does not is full, cut off or dark, and the sample had better begin
/// elsewhere.
const FIRST: Duration = Duration::from_millis(500);

/// Silence between two events after which a run goes on elsewhere: several events of a slow engine,
/// and a small part of the seconds that a step has.
const SILENCE: Duration = Duration::from_millis(900);

/// Time for which an engine that turned a run away gets no other, in milliseconds.
const FULL: Millis = 150;

/// Events after which a run asks whether it had better move.
const LOOK: u64 = 4;

/// The connection broke before the answer began.
const CONNECTION: &str = "connection broke";

/// The connection broke in the midst of the answer.
const STREAM: &str = "stream broke";

/// How runs end at an engine that ends.
const BROKE: [&str; 2] = [CONNECTION, STREAM];

/// How a run ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    /// The sample is whole.
    Whole,
    /// The engine says that the sample can never be made.
    Hopeless,
    /// The engine failed at the sample.
    Failed,
    /// The engine did not run it.
    Unrun,
    /// The rest will be whole sooner at another engine.
    Moved,
    /// The run broke off; it goes on elsewhere.
    Broken(&'static str),
    /// It could not be sent while the step was known to be open.
    Stale,
}

/// One run.
pub struct Run {
    /// The instance.
    pub app: Arc<App>,
    /// The step.
    pub work: Arc<OwnedStep>,
    /// The host of the step's route.
    pub host: Arc<str>,
    /// On whose behalf the step runs.
    pub principal: Principal,
    /// The service.
    pub service: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The oldest version that may make events.
    pub least: u64,
    /// Whether all events have to be made by one version.
    pub single: bool,
    /// The engine.
    pub engine: Arc<Upstream>,
    /// Leave to begin it: the step is open.
    pub permit: Permit,
}

/// Counts a run at an engine, and what it takes of its memory, for as long as it lives.
struct Place<'a> {
    run: &'a Run,
    tokens: AtomicU64,
}

impl Place<'_> {
    /// Notes an event, with the milliseconds since the one before it.
    fn event(&self, gap: Option<f64>, tokens: u64) {
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
        let mut fleet = self.run.app.fleet.lock();
        fleet.run_grew(&self.run.engine.id, tokens);
        match gap {
            Some(gap) => fleet.event_received(&self.run.engine.id, gap),
            None => fleet.engine_answered(&self.run.engine.id),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Run { app, engine, .. } = self.run;
        let tokens = self.tokens.load(Ordering::Relaxed);
        app.fleet.lock().run_ended(&engine.id, tokens);
        app.room.notify_waiters();
    }
}

impl Run {
    /// Runs the sample on from what it has. The place at the engine was taken by whoever chose it.
    pub async fn go(&self, sample: &Sample, draft: &Mutex<Draft>) -> Ended {
        let begun = self.app.clock.now();
        let first = draft.lock().last_event;
        let memory = self.app.memory(&self.service);
        let place = Place {
            run: self,
            tokens: AtomicU64::new(memory.run_tokens(sample.prompt, first)),
        };
        let ended = self.attempt(sample, draft, &place).await;
        if ended == Ended::Whole {
            draft.lock().complete = true;
            self.app.crashes.record_success(|| self.mark(sample));
            let events = draft.lock().last_event;
            self.app
                .fleet
                .lock()
                .sample_finished(sample.expected, events);
        }
        if !matches!(
            ended,
            Ended::Whole | Ended::Hopeless | Ended::Unrun | Ended::Moved | Ended::Stale
        ) {
            self.app
                .fleet
                .lock()
                .engine_failed(&self.engine.id, self.app.clock.now());
        }
        if let Ended::Broken(why) = &ended
            && BROKE.contains(why)
        {
            let mark = self.mark(sample);
            self.app.broke(&sample.id, mark, &self.engine).await;
        }
        let took = self.app.clock.now() - begun;
        let outcome = match &ended {
            Ended::Whole => "whole",
            Ended::Hopeless => "hopeless",
            Ended::Failed => "failed",
            Ended::Unrun => "unrun",
            Ended::Moved => "moved",
            Ended::Stale => "stale",
            Ended::Broken(why) => why,
        };
        log::info!(target: "run", id = &*sample.id, step = &**self.work.name(),
            upstream = &*self.engine.id, first, to = draft.lock().last_event, took_ms = took,
            outcome; "run ended");
        metrics::counter!(crate::meter::ATTEMPTS, "outcome" => outcome).increment(1);
        ended
    }

    fn mark(&self, sample: &Sample) -> Identity {
        let team = self.principal.team();
        print::sample(&self.host, team.map(|team| &**team), sample)
    }

    async fn attempt(&self, sample: &Sample, draft: &Mutex<Draft>, place: &Place<'_>) -> Ended {
        let last = draft.lock().last_event;
        let dialect = &self.app.dialect;
        let request = match dialect.sample(sample, &self.host, &self.engine, last, &self.principal)
        {
            Ok(request) => request,
            Err(error) => {
                let why = error.to_string();
                log::warn!(target: "run", id = &*sample.id, why = why.as_str(); "no request");
                return Ended::Hopeless;
            }
        };
        // The process may have been paused since it was begun. From here on the time limit bounds what is sent.
        let left = self.permit.deadline().saturating_sub(self.app.clock.now());
        if left == 0 {
            return Ended::Stale;
        }
        match self.app.http.send(request, FIRST).await {
            Ok(answer) => self.answer(sample, draft, answer, place).await,
            Err(net::SendError::Unconnected) => Ended::Broken("no connection"),
            Err(net::SendError::Late) => Ended::Broken("no answer"),
            Err(_) => Ended::Broken(CONNECTION),
        }
    }

    async fn answer(
        &self,
        sample: &Sample,
        draft: &Mutex<Draft>,
        answer: Response<Incoming>,
        place: &Place<'_>,
    ) -> Ended {
        let now = self.app.clock.now();
        let said = self.app.dialect.said(answer.status(), answer.headers());
        {
            let mut fleet = self.app.fleet.lock();
            if let Some(load) = said.load {
                fleet.load_reported(&self.engine.id, load, now);
            }
            if said.unrun || said.other {
                fleet.engine_busy(&self.engine.id, now + FULL);
                return Ended::Unrun;
            }
        }
        if said.id.as_deref() != Some(&*sample.id) || said.signature.is_none() {
            return Ended::Broken("answer of something else");
        }
        match answer.status() {
            StatusCode::OK => (),
            StatusCode::UNPROCESSABLE_ENTITY => return Ended::Hopeless,
            _ => return Ended::Failed,
        }
        let mut events = Events::new(answer.into_body());
        let Some(version) = said.version else {
            return rest(draft, &mut events).await;
        };
        if !self.admit(&draft.lock(), version) {
            return Ended::Broken("version too old");
        }
        self.events(sample, draft, version, events, place).await
    }

    /// Tells whether events of a version may be added.
    fn admit(&self, draft: &Draft, version: u64) -> bool {
        self.app
            .fleet
            .lock()
            .version_seen(&self.engine.id, &self.model, version);
        let one = draft.versions.iter().all(|have| *have == version);
        version >= self.least && (one || !self.single)
    }

    async fn events(
        &self,
        sample: &Sample,
        draft: &Mutex<Draft>,
        mut version: u64,
        mut events: Events,
        place: &Place<'_>,
    ) -> Ended {
        let tokens = u64::from(self.app.memory(&self.service).event_tokens);
        let mut at = self.app.clock.now();
        let mut seen: u64 = 0;
        loop {
            let next = timeout(SILENCE, events.next()).await;
            let block = match next {
                Ok(Next::Block(block)) => block,
                Ok(Next::End) if draft.lock().last_event > 0 => return Ended::Whole,
                Ok(Next::End) => return Ended::Broken("empty"),
                Ok(Next::Broken) => return Ended::Broken(STREAM),
                Err(_) => return Ended::Broken("silent"),
            };
            let Some(event) = self.app.dialect.event(&block) else {
                return Ended::Broken("no event");
            };
            if let Some(next) = event.version {
                version = next;
                if !self.admit(&draft.lock(), version) {
                    return Ended::Broken("version changed");
                }
            }
            if !draft.lock().add(event.number, &event.data, version) {
                return Ended::Broken("event out of turn");
            }
            let now = self.app.clock.now();
            seen += 1;
            let gap = (seen > 1).then_some((now - at) as f64);
            place.event(gap, tokens);
            at = now;
            if seen.is_multiple_of(LOOK)
                && self.may_move()
                && self.had_better_move(sample, &draft.lock())
            {
                return Ended::Moved;
            }
        }
    }

    /// Tells whether the sample may begin anywhere else now.
    fn may_move(&self) -> bool {
        self.work.permit(&self.app).is_some()
    }

    /// Tells whether the rest of the sample would be whole sooner at another engine.
    fn had_better_move(&self, sample: &Sample, draft: &Draft) -> bool {
        let memory = self.app.memory(&self.service);
        let want = PlacementRequest {
            service: &self.service,
            model: Some(&self.model),
            min_version: self.least,
            queue_limit: 0,
            domain: &self.app.settings.domain,
            cached_on: None,
            avoid: &[],
            tokens: memory.run_tokens(sample.prompt, draft.last_event),
            memory,
        };
        let roster = self.app.roster.lock();
        let fleet = self.app.fleet.lock();
        let left = fleet.remaining_events(sample.expected, draft.last_event);
        let now = self.app.clock.now();
        fleet
            .choose_better(&roster, &want, &self.engine.id, left, now)
            .is_some()
    }
}

/// Reads an answer that names no version.
///
/// A run that broke off behind its last event leaves a text that is whole, and nobody knows it.
/// Taking it up gives an answer without events, and so without a version; unless that counts as
/// the end, the sample is asked for again and again until its step is over.
async fn rest(draft: &Mutex<Draft>, events: &mut Events) -> Ended {
    match timeout(SILENCE, events.next()).await {
        Ok(Next::End) if draft.lock().last_event > 0 => Ended::Whole,
        _ => Ended::Broken("no version"),
    }
}
