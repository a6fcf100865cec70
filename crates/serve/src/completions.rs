//! Completions by model engines: `/v1/completions`.

use std::sync::Arc;
use std::time::Duration;

use contract::registry::ActiveContract;
use crash::Subject;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use kernel::Millis;
use kernel::RequestId;
use limit::order::QueueEntry;
use net::Call;
use net::Inbound;
use net::Reply;
use net::body;
use net::body::Sender;
use net::events;
use poison::Fingerprint;
use route::Attempt;
use route::Decision;
use route::Ran;
use route::UpstreamKind;
use route::pool::Requirements;
use route::prefix::blocks;
use route::retry::Failure;
use step::Assembly;
use step::Sample;
use step::run::MAX_PRIORITY;
use step::spec::MAX_TOKENS;
use wire::Problem;
use wire::caller::Choice;
use wire::caller::CompletionRequest;
use wire::caller::CompletionResponse;
use wire::caller::Usage;
use wire::engine::GENERATE;
use wire::engine::GenerateRequest;
use wire::problem::Type;

use crate::App;
use crate::auth;
use crate::crashes::OutgoingRequest;
use crate::dispatcher::Dispatcher;
use crate::forward;
use crate::generate;
use crate::generate::AttemptResult;
use crate::generate::Sink;
use crate::limits;
use crate::limits::LimitPermit;
use crate::reply;
use crate::trace::Trace;

/// Serves `/v1/completions`.
pub async fn serve(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("completion", app.clock);
    let job = match accept(&app, call, &mut trace).await {
        Ok(job) => job,
        Err(problem) => return reply::finish(&app, trace, Err(problem)),
    };
    if job.request.stream {
        return stream(app, job, trace).await;
    }
    let result = run(&app, &job, &mut trace, &mut DiscardSink).await;
    let reply = result.map(|sample| body::json(StatusCode::OK, &response(&job, trace.id, sample)));
    reply::finish(&app, trace, reply)
}

/// A completion that was admitted by its contract's limits.
struct Job {
    request: CompletionRequest,
    dispatcher: Arc<Dispatcher>,
    entry: QueueEntry,
    class: u8,
    limit_permit: LimitPermit,
    deadline: Millis,
}

/// Builds the refusal of a call of which nothing was sent to an upstream.
fn deny(kind: Type) -> Problem {
    Problem::new(kind, Attempt::new().refuse())
}

/// Reads the body of a call and parses it as JSON.
///
/// # Errors
///
/// Returns a refusal if the body cannot be read or does not match the type; its detail says where.
pub async fn parse_body<T: serde::de::DeserializeOwned>(
    app: &App,
    body: gotham::helpers::http::Body,
    inbound: &Arc<Inbound>,
) -> Result<T, Problem> {
    let bytes = forward::read_body(app, body, inbound).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| deny(Type::BadRequest).with_detail(error.to_string()))
}

/// Returns the dispatcher of a model that a contract covers.
///
/// # Errors
///
/// Returns a refusal if the contract does not cover the model or no engines serve it.
pub fn engine_dispatcher(
    app: &App,
    active_contract: &ActiveContract,
    model: &str,
) -> Result<Arc<Dispatcher>, Problem> {
    if !active_contract.stored.contract.has_model(model) {
        return Err(deny(Type::NotCovered).with_detail(format!("model {model:?}")));
    }
    let dispatcher = app.dispatchers.get(model);
    let dispatcher = dispatcher
        .filter(|dispatcher| dispatcher.kind == UpstreamKind::Engine)
        .cloned();
    dispatcher.ok_or_else(|| deny(Type::NotFound).with_detail(format!("model {model:?}")))
}

async fn accept(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<Job, Problem> {
    let active_contract = auth::authenticate(app, &call, trace)?;
    let contract = &active_contract.stored.contract;
    let deadline = app.clock.now() + forward::timeout(&call, contract)?;
    let request: CompletionRequest = parse_body(app, call.body, &call.inbound).await?;
    if request.max_tokens == 0 || request.max_tokens > MAX_TOKENS {
        let detail = format!("max_tokens: expected 1 to {MAX_TOKENS}");
        return Err(deny(Type::BadRequest).with_detail(detail));
    }
    let dispatcher = engine_dispatcher(app, &active_contract, &request.model)?;
    let limit_permit = limits::admit(app, &active_contract, request.max_tokens, trace)?;
    let entry = QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: f64::from(request.max_tokens),
    };
    let class = contract.class;
    Ok(Job {
        request,
        dispatcher,
        entry,
        class,
        limit_permit,
        deadline,
    })
}

/// Runs a completion to its end, with as many attempts as needed and allowed.
async fn run(
    app: &Arc<App>,
    job: &Job,
    trace: &mut Trace,
    sink: &mut impl Sink,
) -> Result<Sample, Problem> {
    let mut assembly = Assembly::new(trace.id.attempt(0));
    let mut requirements = Requirements {
        blocks: blocks(&job.request.prompt),
        ..Requirements::default()
    };
    let outgoing = outgoing_request(job, trace);
    // Whether any earlier attempt may have run, since a refusal reports on all attempts.
    let mut prior = Attempt::new().refuse();
    job.dispatcher.earn_retry();
    loop {
        outgoing.check_quarantine(app, job.deadline, prior).await?;
        requirements.avoid.extend(outgoing.upstreams_to_avoid(app));
        let permit = match job
            .dispatcher
            .acquire(&job.entry, requirements.clone(), job.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => {
                return Err(Problem::new(refusal.kind, prior).retry_after(refusal.retry_after));
            }
        };
        let upstream = permit.spec.name.clone();
        trace.upstream = Some(upstream.clone());
        let spec = attempt_spec(app, job, &outgoing, trace);
        trace.attempts += 1;
        let resumed_tokens = assembly.partial().tokens;
        let result = generate::run(app, permit, &spec, &mut assembly, sink).await;
        job.limit_permit
            .charge(assembly.partial().tokens - resumed_tokens);
        let (ran, error) = match result {
            AttemptResult::Complete => break,
            AttemptResult::Cancelled => return Err(Problem::new(Type::Late, Ran::Unknown)),
            AttemptResult::Failed(ran, error) => (ran, error),
        };
        prior = prior.combine(ran);
        trace.note(format!("attempt {} at {upstream}: {error}", trace.attempts));
        let failure = Failure {
            ran,
            idempotent: true,
            attempts: trace.attempts,
            deadline: job.deadline,
        };
        match job.dispatcher.decide_retry(failure) {
            Decision::Retry(delay) => tokio::time::sleep(Duration::from_millis(delay)).await,
            Decision::Stop(stop) => return Err(forward::problem(stop, prior, error.to_string())),
        }
        requirements.avoid.push(upstream);
    }
    match assembly.close() {
        Ok(complete) => Ok(complete.sample(0, 0)),
        Err(_) => Err(Problem::new(Type::Internal, Ran::Unknown)),
    }
}

/// Identifies a completion request; the result has the same fingerprint for all attempts and
/// repetitions of the request by a customer.
fn outgoing_request(job: &Job, trace: &Trace) -> OutgoingRequest {
    let CompletionRequest {
        model,
        prompt,
        max_tokens,
        seed,
        temperature,
        top_p,
        stop,
        ..
    } = &job.request;
    let body = format!("{max_tokens} {seed:?} {temperature:?} {top_p:?} {stop:?} {prompt}");
    let customer = job.entry.customer.as_bytes();
    let fingerprint = Fingerprint::new("POST", model, GENERATE, customer, body.as_bytes());
    OutgoingRequest {
        subject: Subject::Call(fingerprint),
        id: trace.id.to_string(),
    }
}

fn attempt_spec(
    app: &App,
    job: &Job,
    outgoing: &OutgoingRequest,
    trace: &Trace,
) -> generate::AttemptSpec {
    let attempt = trace.id.attempt(trace.attempts);
    generate::AttemptSpec {
        attempt,
        outgoing: outgoing.clone(),
        request: GenerateRequest {
            attempt,
            prompt: job.request.prompt.clone(),
            resume: String::new(),
            offset: 0,
            max_tokens: job.request.max_tokens,
            priority: job.class.min(MAX_PRIORITY),
            seed: job.request.seed,
            temperature: job.request.temperature,
            top_p: job.request.top_p,
            stop: job.request.stop.clone(),
        },
        min_version: 0,
        deadline: job.deadline,
        condition: forward::before(app, job.deadline),
    }
}

/// Discards the pieces, for a response that is sent only when complete.
struct DiscardSink;

impl Sink for DiscardSink {
    async fn write(&mut self, _: String, _: &Assembly) -> bool {
        true
    }
}

/// Builds the response that contains a piece of the text.
fn chunk(job: &Job, id: RequestId, text: String, finish: Option<String>) -> CompletionResponse {
    CompletionResponse {
        id: id.to_string(),
        object: "text_completion".into(),
        model: job.request.model.clone(),
        choices: vec![Choice {
            index: 0,
            text,
            finish_reason: finish,
        }],
        usage: None,
        versions: Vec::new(),
    }
}

/// Builds the response that contains the complete text, with its tokens and weight versions.
fn response(job: &Job, id: RequestId, sample: Sample) -> CompletionResponse {
    let usage = Usage {
        completion_tokens: sample.tokens,
    };
    CompletionResponse {
        usage: Some(usage),
        versions: sample.spans,
        ..chunk(job, id, sample.text, Some(sample.finish))
    }
}

/// Sends each piece of text as an event.
struct EventSink<'a> {
    job: &'a Job,
    id: RequestId,
    sender: Sender,
    /// The last piece, which is sent with the final event.
    last: String,
}

impl EventSink<'_> {
    async fn send<T: serde::Serialize>(&self, value: &T) -> bool {
        let data = serde_json::to_string(value).unwrap_or_default();
        self.sender.send(Ok(events::write(&data))).await.is_ok()
    }
}

impl Sink for EventSink<'_> {
    async fn write(&mut self, text: String, assembly: &Assembly) -> bool {
        // The final event contains the last piece, the tokens and the weight versions. It is sent
        // once the whole output is known to be complete.
        if assembly.is_complete() {
            self.last = text;
            return true;
        }
        let chunk = chunk(self.job, self.id, text, None);
        self.send(&chunk).await
    }
}

/// Replies with a stream of events. The status is sent before it is known whether the completion
/// succeeds, so a later failure is reported as an event and ends the stream without `[DONE]`.
async fn stream(app: Arc<App>, job: Job, mut trace: Trace) -> Reply {
    let (sender, body) = body::stream();
    let mut reply = Reply::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    if let Ok(id) = HeaderValue::from_str(&trace.id.to_string()) {
        reply.headers_mut().insert(wire::caller::REQUEST_ID, id);
    }
    tokio::spawn(async move {
        let mut events = EventSink {
            job: &job,
            id: trace.id,
            sender: sender.clone(),
            last: String::new(),
        };
        let result = run(&app, &job, &mut trace, &mut events).await;
        let result = match result {
            Ok(sample) => {
                let mut last = response(&job, trace.id, sample);
                last.choices[0].text = std::mem::take(&mut events.last);
                events.send(&last).await;
                // Sending fails only if the caller has disconnected, which needs no handling.
                let _ = sender.send(Ok(events::write(events::DONE))).await;
                Ok(Reply::default())
            }
            Err(problem) => {
                events.send(&serde_json::json!({ "error": problem })).await;
                let broken = std::io::Error::other("the completion was cut off");
                let _ = sender.send(Err(broken)).await;
                Err(problem)
            }
        };
        reply::finish(&app, trace, result);
    });
    reply
}
