//! A caller's request as it goes on to upstreams, once for each attempt.

use std::sync::Arc;
use std::sync::OnceLock;

use batch::Permit;
use bytes::Bytes;
use crash::SuspectGuard;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use http_body_util::Full;
use kernel::Millis;
use parking_lot::Mutex;
use place::EngineMemory;
use place::PlacementRequest;
use poison::Identity;
use poison::Verdict;
use table::Upstream;
use team::Principal;
use usage::Meter;
use usage::RequestAttempts;

use crate::App;
use crate::dialect::Caller;
use crate::print;

/// Time kept back for the way of the answer to the caller, in milliseconds: a few each way within a
/// region, and the rest for our own work.
pub(crate) const WAY: Millis = 10;

/// The header that names the last event of a stream that broke.
const LAST_EVENT: &str = "last-event-id";

/// A caller's request.
pub(crate) struct ForwardedRequest {
    pub(crate) app: Arc<App>,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    /// The caller's name for it.
    pub(crate) id: Arc<str>,
    /// When its time is over.
    pub(crate) deadline: Millis,
    /// On whose behalf it runs.
    pub(crate) principal: Principal,
    /// Its tries, for the report of its team's requests; nothing once it counts.
    run: Mutex<Option<RequestAttempts>>,
    /// Whether it asks for the score of a sample.
    scores: bool,
    /// Leave to send it, for a request that belongs to a step.
    permit: Option<Permit>,
    mark: OnceLock<Identity>,
}

impl ForwardedRequest {
    /// Takes in a request that may wait for as long as its caller and its route allow.
    pub(crate) fn new(
        app: &Arc<App>,
        head: &Parts,
        caller: &Caller,
        body: Bytes,
        timeout: Millis,
        principal: Principal,
    ) -> Self {
        let wait = caller.deadline.unwrap_or(timeout).min(timeout);
        Self {
            app: app.clone(),
            head: head.clone(),
            body,
            id: caller.id.clone(),
            deadline: app.clock.now() + wait,
            principal,
            run: Mutex::new(Some(RequestAttempts::default())),
            scores: false,
            permit: None,
            mark: OnceLock::new(),
        }
    }

    /// Takes in a request for the score of a sample, which has time until then.
    pub(crate) fn for_score(
        app: &Arc<App>,
        head: Parts,
        id: Arc<str>,
        body: Bytes,
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
            run: Mutex::new(Some(RequestAttempts::default())),
            scores: true,
            permit: None,
            mark: OnceLock::new(),
        }
    }

    /// Lets it be sent with a permit alone.
    pub(crate) fn with_permit(mut self, permit: Permit) -> Self {
        self.permit = Some(permit);
        self
    }

    /// Tells whether it may be sent now.
    fn is_permitted(&self) -> bool {
        let now = self.app.clock.now();
        self.permit.is_none_or(|permit| now < permit.deadline())
    }

    /// How it is known when upstreams crash under it.
    pub(crate) fn identity(&self) -> Identity {
        *self.mark.get_or_init(|| match self.scores {
            true => print::score(&self.head, &self.principal, &self.body),
            false => print::request(&self.head, &self.principal, &self.body).into(),
        })
    }

    /// What may be done with it.
    pub(crate) fn verdict(&self) -> Verdict {
        self.app.crashes.verdict(|| self.identity())
    }

    /// Waits until it is known whether it may run; gives the time for which it may not.
    pub(crate) async fn admit(&self) -> Option<Millis> {
        match self.verdict() {
            Verdict::Unrestricted => None,
            _ => {
                self.app
                    .crashes
                    .admit(self.identity(), self.time_left())
                    .await
            }
        }
    }

    /// Notes that an upstream has answered it whole. A failure of the upstream does not tell that the request
    /// ran: an upstream that fails now and then would clear each request that crashes others.
    pub(crate) fn record_answer(&self, status: StatusCode) {
        if !status.is_server_error() {
            self.app.crashes.record_success(|| self.identity());
        }
    }

    /// Looks whether an upstream has crashed after the connection broke there.
    pub(crate) async fn check_crash(&self, one: &Upstream) {
        self.app.broke(&self.id, self.identity(), one).await;
    }

    /// The meter and the team for which the request counts, if it does: requests for scores do not.
    fn counted(&self) -> Option<(&Mutex<Meter>, &Arc<str>)> {
        let meter = self.app.meter.as_ref().filter(|_| !self.scores)?;
        Some((meter, self.principal.team()?))
    }

    /// Notes that it is sent to an upstream; gives the number of the try.
    pub(crate) fn record_send(&self) -> usize {
        let now = self.app.clock.steady();
        let mut run = self.run.lock();
        let Some(run) = run.as_mut() else { return 0 };
        if let Some((meter, _)) = self.counted().filter(|_| run.is_unsent()) {
            meter.lock().start_request(run, now);
        }
        run.record_send(now)
    }

    /// Notes that an upstream has not run a try and never will.
    pub(crate) fn mark_unexecuted(&self, at: usize) {
        if let Some(run) = self.run.lock().as_mut() {
            run.mark_unexecuted(at);
        }
    }

    /// Counts it for its team, once; its window may close then.
    pub(crate) fn finish_count(&self) {
        let run = self.run.lock().take();
        if let (Some(run), Some((meter, team))) = (run, self.counted()) {
            meter.lock().finish_request(&run, team);
        }
    }

    /// Time that an upstream may still use.
    pub(crate) fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(self.app.clock.now() + WAY)
    }

    /// The request for one upstream, behind event `last` of a stream that broke.
    pub(crate) fn build_request(
        &self,
        one: &Upstream,
        last: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        if !self.is_permitted() {
            return None;
        }
        let path = self.head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let uri: Uri = net::client::uri(one.addr, path).parse().ok()?;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = uri;
        let dialect = &self.app.dialect;
        *request.headers_mut() = dialect.forward(
            &self.head.headers,
            &one.incarnation.name,
            Some(self.time_left()),
            &self.principal,
        );
        if let Some(last) = last {
            let last = HeaderValue::from_str(last).ok()?;
            request.headers_mut().insert(LAST_EVENT, last);
        }
        Some(request)
    }

    /// Takes a place at an upstream of a service that was not used yet; `queue` tells whether the
    /// request may wait inside it.
    ///
    /// The place is taken before anybody else chooses. Dozens of requests that begin at the same time
    /// would else all see the same places free, and wait inside one upstream.
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
        let roster = app.roster.lock();
        let slots = roster
            .of_service(service)
            .map(|one| one.slots)
            .max()
            .unwrap_or(0);
        let mut apart = app.crashes.upstreams_to_avoid(|| self.identity());
        apart.extend_from_slice(used);
        let any = PlacementRequest {
            service,
            model: None,
            min_version: 0,
            queue_limit: if queue { slots } else { 0 },
            domain: &app.settings.domain,
            cached_on: None,
            avoid: used,
            tokens: 0,
            memory: EngineMemory::default(),
        };
        let want = PlacementRequest {
            avoid: &apart,
            ..any
        };
        let now = app.clock.now();
        let mut plain = app.plain.lock();
        let upstream = plain
            .choose(&roster, &want, now)
            .or_else(|| plain.choose(&roster, &any, now))?;
        plain.run_started(&upstream.id, 0);
        let suspect = app.crashes.track_suspect(|| self.identity(), &upstream.id);
        let app = app.clone();
        Some(UpstreamSlot {
            app,
            upstream,
            _suspect: suspect,
        })
    }
}

impl Drop for ForwardedRequest {
    /// A request whose caller has left in its midst has run all the same.
    fn drop(&mut self) {
        self.finish_count();
    }
}

/// Counts a request at an upstream for as long as it lives, also when the caller leaves.
pub(crate) struct UpstreamSlot {
    app: Arc<App>,
    /// The upstream.
    pub(crate) upstream: Arc<Upstream>,
    /// Held for its drop.
    _suspect: Option<SuspectGuard>,
}

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        self.app.plain.lock().run_ended(&self.upstream.id, 0);
    }
}
