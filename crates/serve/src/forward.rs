//! Calls of plain services.

mod keyed;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use contract::Contract;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use kernel::Millis;
use limit::order::QueueEntry;
use net::Call;
use net::Reply;
use net::SendError;
use net::body;
use poison::Fingerprint;
use route::Attempt;
use route::Decision;
use route::LeavingSource;
use route::Ran;
use route::UpstreamKind;
use route::attempt::NoConnection;
use route::attempt::Unsent;
use route::pool::Requirements;
use route::retry::Failure;
use route::retry::StopReason;
use wire::Problem;
use wire::caller::TIMEOUT;
use wire::engine::RUNNING;
use wire::problem::Type;

use crate::App;
use crate::auth;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Permit;
use crate::limits;
use crate::limits::Passage;
use crate::refuse;
use crate::suspect::Sent;
use crate::trace::Trace;

/// Header by which an upstream says that it is leaving.
const LEAVING: &str = "x-leaving";

/// When to come back after a failed upstream, in milliseconds.
const UPSTREAM: Millis = 1_000;

/// A call as it is sent to an upstream, as often as need be.
#[derive(Clone)]
struct Outbound {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    idempotent: bool,
    deadline: Millis,
    patience: Millis,
}

/// Headers that belong to one connection, or to us.
const OURS: [HeaderName; 10] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Serves `/v1/services/{service}/{path}`.
pub async fn serve(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("service", app.clock);
    let result = run(&app, call, &mut trace).await;
    refuse::finish(&app, trace, result)
}

fn no(kind: Type) -> Problem {
    Problem::new(kind, Attempt::new().refuse())
}

async fn run(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<Reply, Problem> {
    let held = auth::contract(app, &call, trace)?;
    let contract = &held.stored.contract;
    let service = call.segment(2).to_owned();
    if !contract.has_service(&service) {
        return Err(no(Type::NotCovered).with_detail(format!("service {service:?}")));
    }
    let dispatcher = app.dispatchers.get(service.as_str());
    let dispatcher = dispatcher
        .filter(|dispatcher| dispatcher.kind == UpstreamKind::Service)
        .cloned();
    let dispatcher =
        dispatcher.ok_or_else(|| no(Type::NotFound).with_detail(format!("service {service:?}")))?;
    let deadline = app.clock.now() + timeout(&call, contract)?;
    let path = call.rest(3);
    let plain = path.split('?').next().unwrap_or("/");
    let once = contract.is_non_idempotent(&service, call.method.as_str(), plain);
    let key = keyed::key(&call, contract, &service, once)?;
    let outbound = outbound(app, call, path, once, deadline).await?;
    // Before the journal: what the contract does not allow must cost no write.
    let passage = limits::pass(app, &held, 0, trace)?;
    let job = Job {
        dispatcher,
        entry: entry(contract),
        outbound,
        passage,
    };
    match key {
        Some(key) => keyed::run(app, job, key, trace).await,
        None => Ok(pass_on(attempts(app, &job, trace).await?)),
    }
}

/// A call that has passed its contract's limits.
struct Job {
    dispatcher: Arc<Dispatcher>,
    entry: QueueEntry,
    outbound: Outbound,
    #[expect(dead_code, reason = "held for its drop, which frees the place")]
    passage: Passage,
}

fn entry(contract: &Contract) -> QueueEntry {
    QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: 1.0,
    }
}

/// The time that a call has, in milliseconds.
///
/// # Errors
///
/// Returns a refusal when the header is no number.
pub fn timeout(call: &Call, contract: &Contract) -> Result<Millis, Problem> {
    let Some(text) = call.header(TIMEOUT) else {
        return Ok(contract.deadline);
    };
    match text.parse::<Millis>() {
        Ok(asked) if asked > 0 => Ok(asked.min(contract.deadline)),
        _ => Err(no(Type::BadRequest).with_detail(format!("{TIMEOUT}: expected milliseconds"))),
    }
}

/// Reads the body of a call within the bounds.
///
/// # Errors
///
/// Returns a refusal when it is too long, too slow or cut off.
pub async fn read(app: &App, body: gotham::helpers::http::Body) -> Result<Bytes, Problem> {
    let bounds = &app.settings.bounds;
    let reading = body::read(body, bounds.body);
    let refuse = |kind: Type, error: &body::ReadError| no(kind).with_detail(error.to_string());
    match tokio::time::timeout(bounds.patience, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error @ body::ReadError::TooLong(_))) => Err(refuse(Type::TooLarge, &error)),
        Ok(Err(error)) => Err(refuse(Type::BadRequest, &error)),
        Err(_) => Err(refuse(Type::SlowRequest, &body::ReadError::Timeout)),
    }
}

async fn outbound(
    app: &App,
    call: Call,
    path: String,
    once: bool,
    deadline: Millis,
) -> Result<Outbound, Problem> {
    let mut headers = HeaderMap::new();
    let timeout = HeaderName::from_static(TIMEOUT);
    for (name, value) in &call.headers {
        if !OURS.contains(name) && *name != timeout {
            headers.append(name, value.clone());
        }
    }
    let idempotent = !once && call.method.is_idempotent();
    let body = read(app, call.body).await?;
    Ok(Outbound {
        method: call.method,
        path,
        headers,
        body,
        idempotent,
        deadline,
        patience: 0,
    })
}

/// Tries upstreams until one answers or the call is given up.
async fn attempts(
    app: &Arc<App>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Response<Bytes>, Problem> {
    let Job {
        dispatcher,
        outbound,
        ..
    } = job;
    let mut ask = Requirements::default();
    let print = print(&job.entry, dispatcher, outbound);
    let id = trace.id.to_string();
    let sent = Sent { print, id };
    // Whether an attempt before may have run; a refusal speaks of all of them.
    let mut before = Attempt::new().refuse();
    dispatcher.earn();
    loop {
        let attempt = Attempt::new();
        sent.check(app, outbound.deadline, before).await?;
        ask.avoid.extend(sent.apart(app));
        let permit = match dispatcher
            .acquire(&job.entry, ask.clone(), outbound.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => {
                let ran = before.combine(attempt.refuse());
                return Err(Problem::new(refusal.kind, ran).retry_after(refusal.after));
            }
        };
        let upstream = permit.spec.name.clone();
        trace.upstream = Some(upstream.clone());
        trace.attempts += 1;
        let stay = sent.stay(app, &permit.spec);
        let (ran, why) = match send(app, job, &sent, permit, attempt).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        drop(stay);
        before = before.combine(ran);
        trace.note(format!("attempt {} at {upstream}: {why}", trace.attempts));
        let failure = Failure {
            ran,
            idempotent: outbound.idempotent,
            attempts: trace.attempts,
            deadline: outbound.deadline,
        };
        match dispatcher.retry(failure) {
            Decision::Retry(pause) => tokio::time::sleep(Duration::from_millis(pause)).await,
            Decision::Stop(stop) => return Err(given_up(stop, before, why)),
        }
        ask.avoid.push(upstream);
    }
}

/// The refusal of a call that is not tried again.
pub fn given_up(stop: StopReason, ran: Ran, why: String) -> Problem {
    let reason = match stop {
        StopReason::MayHaveRun => "it may have run and must not run twice",
        StopReason::Attempts => "it was tried often enough",
        StopReason::Deadline => "its deadline is too near to try again",
        StopReason::Budget => "too many requests are being tried again",
    };
    let problem = Problem::new(Type::Upstream, ran);
    let problem = problem.with_detail(format!("{why}; {reason}"));
    match ran {
        Ran::No => problem.retry_after(UPSTREAM),
        Ran::Unknown => problem,
    }
}

/// What a call asks for: the same for each attempt of a customer.
fn print(entry: &QueueEntry, dispatcher: &Dispatcher, outbound: &Outbound) -> Fingerprint {
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
    sent: &Sent,
    permit: Permit,
    attempt: Attempt<Unsent>,
) -> Result<Response<Bytes>, (Ran, String)> {
    let Job {
        dispatcher,
        outbound,
        ..
    } = job;
    let spec = permit.spec.clone();
    let uri = net::client::uri(spec.addr, &outbound.path);
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.headers_mut() = outbound.headers.clone();
    match uri.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(_) => return Err((attempt.refuse(), "the path is no URI".into())),
    }
    let left = (outbound.deadline + outbound.patience).saturating_sub(app.clock.now());
    let limit = Duration::from_millis(left);
    let attempt = attempt.send();
    let most = app.settings.bounds.answer;
    match app.http.fetch(request, limit, most).await {
        Ok(answer) => {
            notice(dispatcher, &permit.spec.name, &answer);
            if failed(answer.status()) && outbound.idempotent {
                permit.end(false);
                return Err((attempt.fail(), format!("status {}", answer.status())));
            }
            permit.end(!failed(answer.status()));
            attempt.answer();
            sent.answered(app, answer.status());
            Ok(answer)
        }
        Err(SendError::Unconnected) => {
            permit.end(false);
            let attempt = attempt.unconnected(NoConnection::connect_failed());
            Err((attempt.refuse(), SendError::Unconnected.to_string()))
        }
        Err(SendError::Timeout) => {
            permit.timed_out(left);
            Err((attempt.fail(), SendError::Timeout.to_string()))
        }
        Err(error) => {
            permit.end(false);
            if matches!(error, SendError::Broken) {
                sent.broke(app, &spec).await;
            }
            Err((attempt.fail(), error.to_string()))
        }
    }
}

/// Tells whether a status is a failure of the upstream itself.
fn failed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Takes in what an answer says of its upstream besides.
fn notice<B>(dispatcher: &Arc<Dispatcher>, name: &str, answer: &Response<B>) {
    let headers = answer.headers();
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u32>().ok();
    if headers.contains_key(LEAVING) {
        dispatcher.judge(name, |health| {
            health.set_leaving(LeavingSource::Upstream, true)
        });
    }
    if let Some(running) = number(RUNNING) {
        dispatcher.heard(name, running);
    }
}

fn pass_on(answer: Response<Bytes>) -> Reply {
    let (mut head, bytes) = answer.into_parts();
    for name in &OURS {
        head.headers.remove(name);
    }
    for name in [RUNNING, LEAVING] {
        head.headers.remove(name);
    }
    Response::from_parts(head, body::full(bytes))
}
