//! Calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use contract::Contract;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use kernel::Millis;
use limit::order::Entry;
use net::Call;
use net::Reply;
use net::SendError;
use net::body;
use once::Answer;
use once::Key;
use once::Outcome;
use once::Print;
use once::record::MAX_BODY;
use route::Attempt;
use route::Kind;
use route::Next;
use route::Ran;
use route::Sign;
use route::attempt::NoConnection;
use route::attempt::Unsent;
use route::pool::Ask;
use route::retry::Failure;
use route::retry::Stop;
use wire::Problem;
use wire::caller::KEY;
use wire::caller::REPLAYED;
use wire::caller::TIMEOUT;
use wire::engine::RUNNING;
use wire::problem::Type;

use crate::App;
use crate::auth;
use crate::desk::Desk;
use crate::limits;
use crate::limits::Passage;
use crate::refuse;
use crate::trace::Trace;

/// Header by which an upstream says that it is leaving.
const LEAVING: &str = "x-leaving";

/// Time beyond the caller's deadline for which the answer of a non-idempotent call is awaited, so
/// that the journal can tell what came of it.
const AFTERMATH: Millis = 30_000;

/// When to come back after a failure of the journal, in milliseconds.
const JOURNAL: Millis = 1_000;

/// When to come back after a failed upstream, in milliseconds.
const UPSTREAM: Millis = 1_000;

/// A call as it is sent to an upstream, as often as need be.
#[derive(Clone)]
struct Errand {
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
        return Err(no(Type::NotCovered).because(format!("service {service:?}")));
    }
    let desk = app.desks.get(service.as_str());
    let desk = desk.filter(|desk| desk.kind == Kind::Service).cloned();
    let desk = desk.ok_or_else(|| no(Type::NotFound).because(format!("service {service:?}")))?;
    let deadline = app.clock.now() + timeout(&call, contract)?;
    let path = call.rest(3);
    let plain = path.split('?').next().unwrap_or("/");
    let once = contract.is_once(&service, call.method.as_str(), plain);
    let key = key(&call, contract, &service, once)?;
    let errand = errand(app, call, path, once, deadline).await?;
    // Before the journal: what the contract does not allow must cost no write.
    let passage = limits::pass(app, &held, 0, trace)?;
    let job = Job {
        desk,
        entry: entry(contract),
        errand,
        passage,
    };
    match key {
        Some(key) => keyed(app, job, key, trace).await,
        None => Ok(pass_on(attempts(app, &job, trace).await?)),
    }
}

/// A call that has passed its contract's limits.
struct Job {
    desk: Arc<Desk>,
    entry: Entry,
    errand: Errand,
    #[expect(dead_code, reason = "held for its drop, which frees the place")]
    passage: Passage,
}

fn entry(contract: &Contract) -> Entry {
    Entry {
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
        _ => Err(no(Type::BadRequest).because(format!("{TIMEOUT}: expected milliseconds"))),
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
    let refuse = |kind: Type, error: &body::ReadError| no(kind).because(error.to_string());
    match tokio::time::timeout(bounds.patience, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error @ body::ReadError::Long(_))) => Err(refuse(Type::TooLarge, &error)),
        Ok(Err(error)) => Err(refuse(Type::BadRequest, &error)),
        Err(_) => Err(refuse(Type::SlowRequest, &body::ReadError::Late)),
    }
}

/// The key of a non-idempotent call that has one.
fn key(
    call: &Call,
    contract: &Contract,
    service: &str,
    once: bool,
) -> Result<Option<Key>, Problem> {
    let Some(text) = call.header(KEY).filter(|_| once) else {
        return Ok(None);
    };
    let key = Key::new(&contract.customer, service, text);
    let key = key.map_err(|error| no(Type::BadRequest).because(format!("{KEY}: {error}")))?;
    Ok(Some(key))
}

/// Refuses a key so old that the journal may have forgotten it.
fn horizon(app: &App, headers: &HeaderMap) -> Result<(), Problem> {
    let text = headers.get(KEY).and_then(|value| value.to_str().ok());
    let Some(created) = text.and_then(once::key::created) else {
        return Ok(());
    };
    // Half of the time for which keys are kept: clocks may differ by the other half.
    if created + app.settings.journal.keep / 2 < app.clock.wall() {
        return Err(Problem::new(Type::KeyExpired, Ran::Unknown));
    }
    Ok(())
}

async fn errand(
    app: &App,
    call: Call,
    path: String,
    once: bool,
    deadline: Millis,
) -> Result<Errand, Problem> {
    let mut headers = HeaderMap::new();
    let timeout = HeaderName::from_static(TIMEOUT);
    for (name, value) in &call.headers {
        if !OURS.contains(name) && *name != timeout {
            headers.append(name, value.clone());
        }
    }
    let idempotent = !once && call.method.is_idempotent();
    let body = read(app, call.body).await?;
    Ok(Errand {
        method: call.method,
        path,
        headers,
        body,
        idempotent,
        deadline,
        patience: 0,
    })
}

/// Runs a non-idempotent call that has a key: the intent is written first, and the call goes on
/// even when its caller goes away, so that the journal can tell what came of it.
async fn keyed(
    app: &Arc<App>,
    mut job: Job,
    key: Key,
    trace: &mut Trace,
) -> Result<Reply, Problem> {
    let errand = &mut job.errand;
    horizon(app, &errand.headers)?;
    errand.patience = AFTERMATH;
    let print = Print::new(errand.method.as_str(), &errand.path, &errand.body);
    let attempt = trace.id.attempt(0);
    let answer = app
        .journal
        .ask(app, key, print, attempt, errand.deadline)
        .await;
    trace.note(format!("journal: {}", word(&answer)));
    match answer {
        Answer::Run => (),
        Answer::Ran(outcome) => return Ok(replay(outcome)),
        Answer::Unknown => return Err(Problem::new(Type::KeyInDoubt, Ran::Unknown)),
        Answer::Mismatch => return Err(no(Type::KeyMismatch)),
        Answer::Refused => return Err(no(Type::Journal).after(JOURNAL)),
    }
    let left = errand.deadline.saturating_sub(app.clock.now());
    let app = app.clone();
    let mut inner = Trace::begin(trace.kind, app.clock);
    inner.id = trace.id;
    let task = tokio::spawn(async move {
        let result = attempts(&app, &job, &mut inner).await;
        match &result {
            Ok(answer) => app.journal.done(&app, key, outcome(answer)),
            Err(problem) if problem.ran == Ran::No => app.journal.free(&app, key, attempt).await,
            Err(_) => (),
        }
        (result, inner)
    });
    match tokio::time::timeout(Duration::from_millis(left), task).await {
        Ok(Ok((result, inner))) => {
            trace.upstream = inner.upstream;
            trace.attempts = inner.attempts;
            trace.notes.extend(inner.notes);
            result.map(pass_on)
        }
        Ok(Err(_)) => Err(Problem::new(Type::Internal, Ran::Unknown)),
        Err(_) => Err(Problem::new(Type::Late, Ran::Unknown)),
    }
}

fn word(answer: &Answer) -> &'static str {
    match answer {
        Answer::Run => "may run",
        Answer::Ran(_) => "ran before; its answer is given again",
        Answer::Unknown => "may have run before",
        Answer::Mismatch => "the key names another request",
        Answer::Refused => "could not be written",
    }
}

/// Tries upstreams until one answers or the call is given up.
async fn attempts(
    app: &Arc<App>,
    job: &Job,
    trace: &mut Trace,
) -> Result<Response<Bytes>, Problem> {
    let Job { desk, errand, .. } = job;
    let mut ask = Ask::default();
    desk.earn();
    loop {
        let attempt = Attempt::new();
        let permit = match desk.acquire(&job.entry, ask.clone(), errand.deadline).await {
            Ok(permit) => permit,
            Err(refusal) => {
                let problem = Problem::new(refusal.kind, attempt.refuse());
                return Err(problem.after(refusal.after));
            }
        };
        let upstream = permit.spec.name.clone();
        trace.upstream = Some(upstream.clone());
        trace.attempts += 1;
        let (ran, why) = match send(app, desk, errand, permit, attempt).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        trace.note(format!("attempt {} at {upstream}: {why}", trace.attempts));
        let failure = Failure {
            ran,
            idempotent: errand.idempotent,
            attempts: trace.attempts,
            deadline: errand.deadline,
        };
        match desk.retry(failure) {
            Next::Again(pause) => tokio::time::sleep(Duration::from_millis(pause)).await,
            Next::Stop(stop) => return Err(given_up(stop, ran, why)),
        }
        ask.avoid.push(upstream);
    }
}

/// The refusal of a call that is not tried again.
pub fn given_up(stop: Stop, ran: Ran, why: String) -> Problem {
    let reason = match stop {
        Stop::MayHaveRun => "it may have run and must not run twice",
        Stop::Attempts => "it was tried often enough",
        Stop::Deadline => "its deadline is too near to try again",
        Stop::Budget => "too many requests are being tried again",
    };
    let problem = Problem::new(Type::Upstream, ran);
    let problem = problem.because(format!("{why}; {reason}"));
    match ran {
        Ran::No => problem.after(UPSTREAM),
        Ran::Unknown => problem,
    }
}

async fn send(
    app: &App,
    desk: &Arc<Desk>,
    errand: &Errand,
    permit: crate::desk::Permit,
    attempt: Attempt<Unsent>,
) -> Result<Response<Bytes>, (Ran, String)> {
    let uri = net::client::uri(permit.spec.addr, &errand.path);
    let mut request = Request::new(Full::new(errand.body.clone()));
    *request.method_mut() = errand.method.clone();
    *request.headers_mut() = errand.headers.clone();
    match uri.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(_) => return Err((attempt.refuse(), "the path is no URI".into())),
    }
    let left = (errand.deadline + errand.patience).saturating_sub(app.clock.now());
    let limit = Duration::from_millis(left);
    let attempt = attempt.send();
    let most = app.settings.bounds.answer;
    match app.http.fetch(request, limit, most).await {
        Ok(answer) => {
            notice(desk, &permit.spec.name, &answer);
            if failed(answer.status()) && errand.idempotent {
                permit.end(false);
                return Err((attempt.fail(), format!("status {}", answer.status())));
            }
            permit.end(!failed(answer.status()));
            attempt.answer();
            Ok(answer)
        }
        Err(SendError::Unconnected) => {
            permit.end(false);
            let attempt = attempt.unconnected(NoConnection::vouched());
            Err((attempt.refuse(), SendError::Unconnected.to_string()))
        }
        Err(SendError::Late) => {
            permit.timed_out(left);
            Err((attempt.fail(), SendError::Late.to_string()))
        }
        Err(error) => {
            permit.end(false);
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
fn notice<B>(desk: &Arc<Desk>, name: &str, answer: &Response<B>) {
    let headers = answer.headers();
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u32>().ok();
    if headers.contains_key(LEAVING) {
        desk.judge(name, |health| health.leave(Sign::Said, true));
    }
    if let Some(running) = number(RUNNING) {
        desk.heard(name, running);
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

fn outcome(answer: &Response<Bytes>) -> Outcome {
    let kind = answer.headers().get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or("");
    let bytes = answer.body();
    Outcome {
        status: answer.status().as_u16(),
        kind: kind.into(),
        body: (bytes.len() <= MAX_BODY).then(|| bytes.to_vec().into()),
    }
}

/// Gives a recorded answer again.
fn replay(outcome: Outcome) -> Reply {
    let whole = outcome.body.is_some();
    let bytes = outcome.body.unwrap_or_default().into_vec();
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = reply.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(&outcome.kind) {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    let how = if whole { "whole" } else { "status-only" };
    headers.insert(REPLAYED, HeaderValue::from_static(how));
    reply
}
