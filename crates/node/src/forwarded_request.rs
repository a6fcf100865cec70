//! A caller's request that is forwarded to upstreams, once for each attempt.

use std::sync::Arc;
use std::sync::OnceLock;

use crash::Subject;
use crash::SuspectGuard;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use kernel::Millis;
use net::Payload;
use net::SendCondition;
use parking_lot::Mutex;
use place::EngineMemory;
use place::Load;
use place::PlacementRequest;
use poison::Verdict;
use table::Upstream;
use team::Principal;
use usage::Meter;
use usage::RequestAttempts;

use crate::App;
use crate::call_queue::Place;
use crate::call_queue::PlaceResult;
use crate::dialect::Caller;
use crate::fingerprint;

/// Part of a request's time that is reserved for returning the answer to the caller: a few milliseconds of network
/// latency each way within a region, and the rest for processing in this instance.
pub(crate) const RESPONSE_ALLOWANCE: Millis = 10;

/// Divisor of the number of requests that may wait in an upstream, for teams that are beyond their share.
const RESTRICTED_QUEUE_DIVISOR: u32 = 2;

/// The header that names the last event that was received before a stream broke.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// A caller's request, or a request for the score of a sample.
pub(crate) struct ForwardedRequest {
    pub(crate) app: Arc<App>,
    pub(crate) head: Parts,
    pub(crate) body: Payload,
    /// The request ID that the caller chose.
    pub(crate) id: Arc<str>,
    /// When its time limit is reached, on this instance's clock.
    pub(crate) deadline: Millis,
    /// The team on whose behalf it runs, if teams are configured.
    pub(crate) principal: Principal,
    /// Its attempts, for the report of its team's requests; [`None`] once it has been counted.
    attempts: Mutex<Option<RequestAttempts>>,
    /// Whether it asks for the score of a sample.
    is_score: bool,
    /// The condition under which it may be sent, for a request that belongs to a step.
    condition: Option<SendCondition>,
    subject: OnceLock<Subject>,
}

impl ForwardedRequest {
    /// Creates a request of a caller.
    pub(crate) fn new(
        app: &Arc<App>,
        head: Parts,
        caller: &Caller,
        body: Payload,
        deadline: Millis,
        principal: Principal,
    ) -> Self {
        Self {
            app: app.clone(),
            head,
            body,
            id: caller.id.clone(),
            deadline,
            principal,
            attempts: Mutex::new(Some(RequestAttempts::default())),
            is_score: false,
            condition: None,
            subject: OnceLock::new(),
        }
    }

    /// Creates a request for the score of a sample.
    pub(crate) fn for_score(
        app: &Arc<App>,
        head: Parts,
        id: Arc<str>,
        body: Payload,
        deadline: Millis,
        principal: Principal,
    ) -> Self {
        Self {
            app: app.clone(),
            head,
            body,
            id,
            deadline,
            principal,
            attempts: Mutex::new(Some(RequestAttempts::default())),
            is_score: true,
            condition: None,
            subject: OnceLock::from(Subject::Item),
        }
    }

    /// Restricts sending to the time while a condition holds.
    pub(crate) fn with_condition(mut self, condition: SendCondition) -> Self {
        self.condition = Some(condition);
        self
    }

    /// Returns whether it may be sent now.
    fn is_permitted(&self) -> bool {
        self.condition.as_ref().is_none_or(SendCondition::holds)
    }

    /// Returns the condition for sending it: its time limit has not passed, and it may be sent otherwise.
    pub(crate) fn send_condition(&self) -> SendCondition {
        let (clock, deadline) = (self.app.clock, self.deadline);
        let condition = self.condition.clone();
        SendCondition::new(move || {
            clock.now() < deadline && condition.as_ref().is_none_or(SendCondition::holds)
        })
    }

    /// What crashes of upstreams mean for it.
    pub(crate) fn subject(&self) -> Subject {
        *self.subject.get_or_init(|| {
            Subject::Call(fingerprint::request(
                &self.head,
                &self.principal,
                &self.body,
            ))
        })
    }

    /// Whether it may run, and on which upstreams, given the upstreams that crashed while running it.
    pub(crate) fn verdict(&self) -> Verdict {
        self.app.crashes.verdict(|| self.subject())
    }

    /// Waits until it is known whether it may run; returns the time for which it may not, in milliseconds, or [`None`]
    /// when it may.
    pub(crate) async fn admit(&self) -> Option<Millis> {
        match self.verdict() {
            Verdict::Unrestricted => None,
            _ => {
                self.app
                    .crashes
                    .admit(self.subject(), self.time_left())
                    .await
            }
        }
    }

    /// Records that an upstream has answered completely. A server error does not count as a success: an upstream that
    /// returns one now and then would clear the requests that crash others.
    pub(crate) fn record_answer(&self, status: StatusCode) {
        if !status.is_server_error() {
            self.app.crashes.record_success(|| self.subject());
        }
    }

    /// Checks whether an upstream has crashed, after the connection to it broke.
    pub(crate) async fn check_crash(&self, upstream: &Upstream) {
        self.app
            .check_crash(&self.id, self.subject(), upstream)
            .await;
    }

    /// The meter and the team for which the request is counted; [`None`] if it is not: requests for scores are not.
    fn meter_and_team(&self) -> Option<(&Mutex<Meter>, &Arc<str>)> {
        let meter = self.app.meter.as_ref().filter(|_| !self.is_score)?;
        Some((meter, self.principal.team()?))
    }

    /// Records that it is sent to an upstream; returns the number of the attempt.
    pub(crate) fn record_send(&self) -> usize {
        let now = self.app.clock.steady();
        let mut attempts = self.attempts.lock();
        let Some(attempts) = attempts.as_mut() else {
            return 0;
        };
        if let Some((meter, _)) = self.meter_and_team().filter(|_| attempts.is_unsent()) {
            meter.lock().start_request(attempts, now);
        }
        attempts.record_send(now)
    }

    /// Records that the upstream has not executed an attempt and never will.
    pub(crate) fn mark_unexecuted(&self, attempt: usize) {
        if let Some(attempts) = self.attempts.lock().as_mut() {
            attempts.mark_unexecuted(attempt);
        }
    }

    /// Counts the request for its team, once, after which the window of the report may close.
    pub(crate) fn finish_count(&self) {
        let attempts = self.attempts.lock().take();
        if let (Some(attempts), Some((meter, team))) = (attempts, self.meter_and_team()) {
            meter.lock().finish_request(&attempts, team);
        }
    }

    /// Time that an upstream may still take to answer, in milliseconds.
    pub(crate) fn time_left(&self) -> Millis {
        self.deadline
            .saturating_sub(self.app.clock.now() + RESPONSE_ALLOWANCE)
    }

    /// Builds the request for an upstream; for a stream that broke, it asks for the events after `last_event`. Returns
    /// [`None`] when the request may not be sent now or a header or the URI is invalid.
    pub(crate) fn build_request(
        &self,
        upstream: &Upstream,
        last_event: Option<&str>,
    ) -> Option<Request<Payload>> {
        if !self.is_permitted() {
            return None;
        }
        let path = self.head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let uri: Uri = net::client::uri(upstream.addr, path).parse().ok()?;
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = uri;
        let dialect = &self.app.dialect;
        *request.headers_mut() = dialect.forward_headers(
            &self.head.headers,
            &upstream.incarnation.name,
            Some(self.time_left()),
            &self.principal,
        );
        if let Some(last_event) = last_event {
            let last_event = HeaderValue::from_str(last_event).ok()?;
            request.headers_mut().insert(LAST_EVENT_HEADER, last_event);
        }
        Some(request)
    }

    /// Returns whether its team is beyond its share and leaves places in a service's queues to others.
    pub(crate) fn is_restricted(&self, service: &str, now: Millis) -> bool {
        let shares = self.app.team_shares.lock();
        let team = self.principal.team();
        team.zip(shares.get(service))
            .is_some_and(|(team, shares)| shares.is_restricted(team, now))
    }

    /// Records for the shares of its team whether it found a place.
    pub(crate) fn record_share(&self, service: &str, is_placed: bool, now: Millis) {
        let Some(team) = self.principal.team() else {
            return;
        };
        let mut shares = self.app.team_shares.lock();
        let shares = shares.entry(service.into()).or_default();
        match is_placed {
            true => shares.record_sent(team, now),
            false => shares.record_rejected(team, now),
        }
    }

    /// Reserves a slot at an upstream of a service, excluding the `used` ones; `queue` is whether the request may wait
    /// in the upstream's queue.
    ///
    /// The slot is reserved under the same lock as the choice: otherwise dozens of requests that start at the same
    /// time would all see the same free slots and queue in one upstream.
    pub(crate) fn reserve_slot(
        &self,
        service: &str,
        used: &[Arc<str>],
        queue: bool,
    ) -> Option<UpstreamSlot> {
        if !self.is_permitted() {
            return None;
        }
        let app = &self.app;
        let now = app.clock.now();
        let upstreams = app.upstreams.lock();
        let slots = upstreams
            .of_service(service)
            .map(|upstream| upstream.slots)
            .max()
            .unwrap_or(0);
        // With a queue at this instance, the order in which calls leave it applies the shares of teams.
        let shares_places = queue && app.settings.call_queue == 0;
        let is_restricted = shares_places && self.is_restricted(service, now);
        let queue_limit = match (queue, is_restricted) {
            (true, false) => slots,
            (true, true) => slots / RESTRICTED_QUEUE_DIVISOR,
            (false, _) => 0,
        };
        let mut avoid = app.crashes.upstreams_to_avoid(|| self.subject());
        avoid.extend_from_slice(used);
        let fallback = PlacementRequest {
            service,
            model: None,
            min_version: 0,
            queue_limit,
            domain: &app.settings.domain,
            cached_on: None,
            avoid: used,
            tokens: 0,
            memory: EngineMemory::default(),
        };
        let preferred = PlacementRequest {
            avoid: &avoid,
            ..fallback
        };
        let mut tracker = app.service_tracker.lock();
        let upstream = tracker
            .choose(&upstreams, &preferred, now)
            .or_else(|| tracker.choose(&upstreams, &fallback, now));
        if shares_places {
            self.record_share(service, upstream.is_some(), now);
        }
        if upstream.is_none() && is_restricted {
            log::info!(target: "forward", id = &*self.id, service; "team is beyond its share");
        }
        let upstream = upstream?;
        tracker.run_started(&upstream.id, 0);
        let suspect = app.crashes.track_suspect(|| self.subject(), &upstream.id);
        let app = app.clone();
        Some(UpstreamSlot {
            app,
            upstream,
            place: None,
            _suspect: suspect,
        })
    }
}

impl Drop for ForwardedRequest {
    /// A request whose caller disconnected before the answer has nevertheless run, so it is counted as well.
    fn drop(&mut self) {
        self.finish_count();
    }
}

/// Counts a request against an upstream's slots until it is dropped, also when the caller disconnects.
pub(crate) struct UpstreamSlot {
    app: Arc<App>,
    /// The upstream.
    pub(crate) upstream: Arc<Upstream>,
    /// The place in the window of the service, if calls wait here.
    pub(crate) place: Option<Place>,
    /// Held until the slot is dropped.
    _suspect: Option<SuspectGuard>,
}

impl UpstreamSlot {
    /// Records what became of the request after `took` milliseconds.
    pub(crate) fn record(&mut self, result: PlaceResult, took: Millis) {
        if let Some(place) = &mut self.place {
            place.record(result, took);
        }
    }

    /// Records an answer with the load that the upstream reported.
    pub(crate) fn record_answer(&mut self, load: Option<Load>, took: Millis) {
        let slots = self.upstream.slots.max(1);
        let result = match load.map(|load| load.waiting) {
            None => PlaceResult::Answered,
            Some(0) => PlaceResult::AnsweredIdle,
            Some(waiting) if waiting >= slots => PlaceResult::AnsweredCrowded,
            Some(_) => PlaceResult::AnsweredWaiting,
        };
        self.record(result, took);
    }
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        self.app
            .service_tracker
            .lock()
            .run_ended(&self.upstream.id, 0);
    }
}
