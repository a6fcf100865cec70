//! Calls to services, which are forwarded to an upstream.

mod keyed;
mod outbound;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use contract::Contract;
use crash::Subject;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use kernel::Millis;
use limit::order::QueueEntry;
use net::Call;
use net::Reply;
use net::SendCondition;
use net::SendError;
use net::body;
use poison::Fingerprint;
use route::Attempt;
use route::Decision;
use route::LeavingSource;
use route::Ran;
use route::UpstreamKind;
use route::attempt::NothingSent;
use route::attempt::Unsent;
use route::pool::Requirements;
use route::retry::Failure;
use route::retry::StopReason;
use wire::Problem;
use wire::engine::RUNNING;
use wire::problem::Type;

use self::outbound::OutboundCall;
use self::outbound::UNFORWARDED_HEADERS;
use self::outbound::outbound;
pub use self::outbound::read_body;
pub use self::outbound::timeout;
use crate::App;
use crate::auth;
use crate::crashes::OutgoingRequest;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Permit;
use crate::limits;
use crate::limits::LimitPermit;
use crate::reply;
use crate::trace::Trace;

/// Response header by which an upstream reports that it is leaving.
const LEAVING: &str = "x-leaving";

/// Retry delay for callers after a failure of an upstream, in milliseconds.
const RETRY_AFTER: Millis = 1_000;

/// Serves `/v1/services/{service}/{path}`.
pub async fn serve(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("service", app.clock);
    let result = run(&app, call, &mut trace).await;
    reply::finish(&app, trace, result)
}

/// Builds the refusal of a call of which nothing was sent to an upstream.
fn deny(kind: Type) -> Problem {
    Problem::new(kind, Attempt::new().refuse())
}

async fn run(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<Reply, Problem> {
    let active_contract = auth::authenticate(app, &call, trace)?;
    let contract = &active_contract.stored.contract;
    let service = call.segment(2).to_owned();
    if !contract.has_service(&service) {
        return Err(deny(Type::NotCovered).with_detail(format!("service {service:?}")));
    }
    let dispatcher = app.dispatchers.get(service.as_str());
    let dispatcher = dispatcher
        .filter(|dispatcher| dispatcher.kind == UpstreamKind::Service)
        .cloned();
    let dispatcher = dispatcher
        .ok_or_else(|| deny(Type::NotFound).with_detail(format!("service {service:?}")))?;
    let deadline = app.clock.now() + timeout(&call, contract)?;
    let path = call.rest(3);
    let path_only = path.split('?').next().unwrap_or("/");
    let non_idempotent = contract.is_non_idempotent(&service, call.method.as_str(), path_only);
    let key = keyed::key(&call, contract, &service, non_idempotent)?;
    let outbound = outbound(app, call, path, non_idempotent, deadline).await?;
    // The limits are checked before the key is claimed, so that a call that the contract does not
    // allow causes no write to the journal.
    let limit_permit = limits::admit(app, &active_contract, 0, trace)?;
    let job = Job {
        dispatcher,
        entry: entry(contract),
        outbound,
        limit_permit,
    };
    match key {
        Some(key) => keyed::run(app, job, key, trace).await,
        None => Ok(reply(run_attempts(app, &job, trace).await?)),
    }
}

/// A call that was admitted by its contract's limits.
struct Job {
    dispatcher: Arc<Dispatcher>,
    entry: QueueEntry,
    outbound: OutboundCall,
    #[expect(dead_code, reason = "its drop releases the concurrency slot")]
    limit_permit: LimitPermit,
}

fn entry(contract: &Contract) -> QueueEntry {
    QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: 1.0,
    }
}

/// Makes attempts at upstreams until one responds or no retry is allowed.
async fn run_attempts(
    app: &Arc<App>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Response<Bytes>, Problem> {
    let Job {
        dispatcher,
        outbound,
        ..
    } = job;
    let mut requirements = Requirements::default();
    let request_fingerprint = fingerprint(&job.entry, dispatcher, outbound);
    let id = trace.id.to_string();
    let outgoing = OutgoingRequest {
        subject: Subject::Call(request_fingerprint),
        id,
    };
    // Whether any earlier attempt may have run, since a refusal reports on all attempts.
    let mut prior = Attempt::new().refuse();
    dispatcher.earn_retry();
    loop {
        let attempt = Attempt::new();
        outgoing
            .check_quarantine(app, outbound.deadline, prior)
            .await?;
        requirements.avoid.extend(outgoing.upstreams_to_avoid(app));
        let permit = match dispatcher
            .acquire(&job.entry, requirements.clone(), outbound.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => {
                let ran = prior.combine(attempt.refuse());
                return Err(Problem::new(refusal.kind, ran).retry_after(refusal.retry_after));
            }
        };
        let upstream = permit.spec.name.clone();
        trace.upstream = Some(upstream.clone());
        trace.attempts += 1;
        let suspect_guard = outgoing.track_suspect(app, &permit.spec);
        let (ran, error) = match send(app, job, &outgoing, permit, attempt).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        drop(suspect_guard);
        prior = prior.combine(ran);
        trace.note(format!("attempt {} at {upstream}: {error}", trace.attempts));
        let failure = Failure {
            ran,
            idempotent: outbound.idempotent,
            attempts: trace.attempts,
            deadline: outbound.deadline,
        };
        match dispatcher.decide_retry(failure) {
            Decision::Retry(delay) => tokio::time::sleep(Duration::from_millis(delay)).await,
            Decision::Stop(stop) => return Err(problem(stop, prior, error)),
        }
        requirements.avoid.push(upstream);
    }
}

/// Returns the refusal of a call whose last attempt failed with `error` and is not retried.
pub fn problem(stop: StopReason, ran: Ran, error: String) -> Problem {
    let reason = match stop {
        StopReason::MayHaveRun => "it may have run and must not run twice",
        StopReason::Attempts => "it was tried often enough",
        StopReason::Deadline => "its deadline is too near to try again",
        StopReason::Budget => "too many requests are being tried again",
    };
    let problem = Problem::new(Type::Upstream, ran);
    let problem = problem.with_detail(format!("{error}; {reason}"));
    match ran {
        Ran::No => problem.retry_after(RETRY_AFTER),
        Ran::Unknown => problem,
    }
}

/// Returns the fingerprint of a call, which is equal for all its attempts and all repetitions by
/// the same customer.
fn fingerprint(
    entry: &QueueEntry,
    dispatcher: &Dispatcher,
    outbound: &OutboundCall,
) -> Fingerprint {
    let method = outbound.method.as_str();
    let customer = entry.customer.as_bytes();
    Fingerprint::new(
        method,
        &dispatcher.name,
        &outbound.path,
        customer,
        &outbound.body,
    )
}

async fn send(
    app: &App,
    job: &Job,
    outgoing: &OutgoingRequest,
    permit: Permit,
    attempt: Attempt<Unsent>,
) -> Result<Response<Bytes>, (Ran, String)> {
    let Job {
        dispatcher,
        outbound,
        ..
    } = job;
    let spec = permit.spec.clone();
    let uri = spec.uri(&outbound.path);
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.headers_mut() = outbound.headers.clone();
    match uri.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(_) => return Err((attempt.refuse(), "the path is no URI".into())),
    }
    let left = (outbound.deadline + outbound.grace).saturating_sub(app.clock.now());
    let condition = before(app, outbound.deadline);
    let timeout = Duration::from_millis(left);
    let attempt = attempt.send();
    let max_bytes = app.settings.bounds.max_answer;
    let answer = app.http.fetch_if(request, timeout, max_bytes, condition);
    match answer.await {
        Ok(response) => {
            record_headers(dispatcher, &permit.spec.name, &response);
            if is_failure(response.status()) && outbound.idempotent {
                permit.finish(false);
                return Err((attempt.fail(), format!("status {}", response.status())));
            }
            permit.finish(!is_failure(response.status()));
            attempt.answer();
            outgoing.record_answer(app, response.status());
            Ok(response)
        }
        Err(SendError::Unconnected) => {
            permit.finish(false);
            let attempt = attempt.unsent(NothingSent::connect_failed());
            Err((attempt.refuse(), SendError::Unconnected.to_string()))
        }
        Err(SendError::Forbidden) => {
            drop(permit);
            let attempt = attempt.unsent(NothingSent::kept_back());
            Err((attempt.refuse(), SendError::Forbidden.to_string()))
        }
        Err(SendError::Timeout) => {
            permit.time_out(left);
            Err((attempt.fail(), SendError::Timeout.to_string()))
        }
        Err(error) => {
            permit.finish(false);
            if matches!(error, SendError::Broken) {
                outgoing.check_crash(app, &spec).await;
            }
            Err((attempt.fail(), error.to_string()))
        }
    }
}

/// Returns the condition for sending a request before its deadline, on the monotonic clock.
pub fn before(app: &App, deadline: Millis) -> SendCondition {
    let clock = app.clock;
    SendCondition::new(move || clock.now() < deadline)
}

/// Returns whether a status means that the upstream itself failed.
fn is_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Records the state of an upstream that the headers of its response report.
fn record_headers<B>(dispatcher: &Arc<Dispatcher>, name: &str, response: &Response<B>) {
    let headers = response.headers();
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u32>().ok();
    if headers.contains_key(LEAVING) {
        dispatcher.update_health(name, |health| {
            health.set_leaving(LeavingSource::Upstream, true)
        });
    }
    if let Some(running) = number(RUNNING) {
        dispatcher.record_report(name, running);
    }
}

/// Converts the response of an upstream to the reply to the caller.
fn reply(response: Response<Bytes>) -> Reply {
    let (mut head, bytes) = response.into_parts();
    for name in &UNFORWARDED_HEADERS {
        head.headers.remove(name);
    }
    for name in [RUNNING, LEAVING] {
        head.headers.remove(name);
    }
    Response::from_parts(head, body::full(bytes))
}
