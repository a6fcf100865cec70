//! Calls of model engines: `/v1/completions`.

use std::sync::Arc;
use std::time::Duration;

use contract::registry::ActiveContract;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use kernel::Millis;
use kernel::RequestId;
use limit::order::QueueEntry;
use net::Call;
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
use crate::generate::End;
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
    if job.asked.stream {
        return stream(app, job, trace).await;
    }
    let result = run(&app, &job, &mut trace, &mut Quiet).await;
    let reply = result.map(|sample| body::json(StatusCode::OK, &whole(&job, trace.id, sample)));
    reply::finish(&app, trace, reply)
}

/// A completion that passed its contract's limits.
struct Job {
    asked: CompletionRequest,
    dispatcher: Arc<Dispatcher>,
    entry: QueueEntry,
    class: u8,
    passage: LimitPermit,
    deadline: Millis,
}

fn no(kind: Type) -> Problem {
    Problem::new(kind, Attempt::new().refuse())
}

/// Reads JSON out of a call's body.
///
/// # Errors
///
/// Returns a refusal that says where the body is not what the path takes.
pub async fn parse<T: serde::de::DeserializeOwned>(
    app: &App,
    body: gotham::helpers::http::Body,
) -> Result<T, Problem> {
    let bytes = forward::read(app, body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| no(Type::BadRequest).with_detail(error.to_string()))
}

/// Finds the dispatcher of a model that a contract covers.
///
/// # Errors
///
/// Returns a refusal when the contract does not cover it or there is none.
pub fn model(app: &App, held: &ActiveContract, model: &str) -> Result<Arc<Dispatcher>, Problem> {
    if !held.stored.contract.has_model(model) {
        return Err(no(Type::NotCovered).with_detail(format!("model {model:?}")));
    }
    let dispatcher = app.dispatchers.get(model);
    let dispatcher = dispatcher
        .filter(|dispatcher| dispatcher.kind == UpstreamKind::Engine)
        .cloned();
    dispatcher.ok_or_else(|| no(Type::NotFound).with_detail(format!("model {model:?}")))
}

async fn accept(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<Job, Problem> {
    let held = auth::authenticate(app, &call, trace)?;
    let contract = &held.stored.contract;
    let deadline = app.clock.now() + forward::timeout(&call, contract)?;
    let asked: CompletionRequest = parse(app, call.body).await?;
    if asked.max_tokens == 0 || asked.max_tokens > MAX_TOKENS {
        let detail = format!("max_tokens: expected 1 to {MAX_TOKENS}");
        return Err(no(Type::BadRequest).with_detail(detail));
    }
    let dispatcher = model(app, &held, &asked.model)?;
    let passage = limits::admit(app, &held, asked.max_tokens, trace)?;
    let entry = QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: f64::from(asked.max_tokens),
    };
    let class = contract.class;
    Ok(Job {
        asked,
        dispatcher,
        entry,
        class,
        passage,
        deadline,
    })
}

/// Runs a completion to its end, over as many engines as need be.
async fn run(
    app: &Arc<App>,
    job: &Job,
    trace: &mut Trace,
    sink: &mut impl Sink,
) -> Result<Sample, Problem> {
    let mut assembly = Assembly::new(trace.id.attempt(0));
    let mut ask = Requirements {
        blocks: blocks(&job.asked.prompt),
        ..Requirements::default()
    };
    let sent = sent(job, trace);
    // Whether an attempt before may have run; a refusal speaks of all of them.
    let mut before = Attempt::new().refuse();
    job.dispatcher.earn();
    loop {
        sent.check_quarantine(app, job.deadline, before).await?;
        ask.avoid.extend(sent.upstreams_to_avoid(app));
        let permit = match job
            .dispatcher
            .acquire(&job.entry, ask.clone(), job.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => {
                return Err(Problem::new(refusal.kind, before).retry_after(refusal.after));
            }
        };
        let upstream = permit.spec.name.clone();
        trace.upstream = Some(upstream.clone());
        let order = order(job, &sent, trace);
        trace.attempts += 1;
        let had = assembly.partial().tokens;
        let end = generate::run(app, permit, &order, &mut assembly, sink).await;
        job.passage.charge(assembly.partial().tokens - had);
        let (ran, why) = match end {
            End::Whole => break,
            End::Unwanted => return Err(Problem::new(Type::Late, Ran::Unknown)),
            End::Early(ran, why) => (ran, why),
        };
        before = before.combine(ran);
        trace.note(format!("attempt {} at {upstream}: {why}", trace.attempts));
        let failure = Failure {
            ran,
            idempotent: true,
            attempts: trace.attempts,
            deadline: job.deadline,
        };
        match job.dispatcher.retry(failure) {
            Decision::Retry(pause) => tokio::time::sleep(Duration::from_millis(pause)).await,
            Decision::Stop(stop) => return Err(forward::given_up(stop, before, why.to_string())),
        }
        ask.avoid.push(upstream);
    }
    match assembly.close() {
        Ok(whole) => Ok(whole.sample(0, 0)),
        Err(_) => Err(Problem::new(Type::Internal, Ran::Unknown)),
    }
}

/// What a completion asks for: the same for each attempt of a customer.
fn sent(job: &Job, trace: &Trace) -> OutgoingRequest {
    let CompletionRequest {
        model,
        prompt,
        max_tokens,
        seed,
        temperature,
        top_p,
        stop,
        ..
    } = &job.asked;
    let how = format!("{max_tokens} {seed:?} {temperature:?} {top_p:?} {stop:?} {prompt}");
    let customer = job.entry.customer.as_bytes();
    OutgoingRequest {
        fingerprint: Fingerprint::new("POST", model, GENERATE, customer, how.as_bytes()),
        id: trace.id.to_string(),
    }
}

fn order(job: &Job, sent: &OutgoingRequest, trace: &Trace) -> generate::Order {
    let attempt = trace.id.attempt(trace.attempts);
    generate::Order {
        attempt,
        sent: sent.clone(),
        generate: GenerateRequest {
            attempt,
            prompt: job.asked.prompt.clone(),
            resume: String::new(),
            offset: 0,
            max_tokens: job.asked.max_tokens,
            priority: job.class.min(MAX_PRIORITY),
            seed: job.asked.seed,
            temperature: job.asked.temperature,
            top_p: job.asked.top_p,
            stop: job.asked.stop.clone(),
        },
        floor: 0,
        deadline: job.deadline,
    }
}

/// Keeps nothing: the whole answer is sent at the end.
struct Quiet;

impl Sink for Quiet {
    async fn take(&mut self, _: String, _: &Assembly) -> bool {
        true
    }
}

fn piece(job: &Job, id: RequestId, text: String, finish: Option<String>) -> CompletionResponse {
    CompletionResponse {
        id: id.to_string(),
        object: "text_completion".into(),
        model: job.asked.model.clone(),
        choices: vec![Choice {
            index: 0,
            text,
            finish_reason: finish,
        }],
        usage: None,
        versions: Vec::new(),
    }
}

fn whole(job: &Job, id: RequestId, sample: Sample) -> CompletionResponse {
    let usage = Usage {
        completion_tokens: sample.tokens,
    };
    CompletionResponse {
        usage: Some(usage),
        versions: sample.spans,
        ..piece(job, id, sample.text, Some(sample.finish))
    }
}

/// Sends each piece as an event.
struct Events<'a> {
    job: &'a Job,
    id: RequestId,
    sender: Sender,
    /// The text of the last piece.
    last: String,
}

impl Events<'_> {
    async fn send<T: serde::Serialize>(&self, value: &T) -> bool {
        let data = serde_json::to_string(value).unwrap_or_default();
        self.sender.send(Ok(events::write(&data))).await.is_ok()
    }
}

impl Sink for Events<'_> {
    async fn take(&mut self, text: String, assembly: &Assembly) -> bool {
        // The last piece goes with the tokens and versions, once all is known to be whole.
        if assembly.is_complete() {
            self.last = text;
            return true;
        }
        let piece = piece(self.job, self.id, text, None);
        self.send(&piece).await
    }
}

/// Answers with events. The status is sent before it is known whether the whole can be made, so a
/// failure after that is an event of its own and breaks the stream off without `[DONE]`.
async fn stream(app: Arc<App>, job: Job, mut trace: Trace) -> Reply {
    let (sender, body) = body::stream();
    let mut reply = Reply::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    if let Ok(id) = HeaderValue::from_str(&trace.id.to_string()) {
        reply.headers_mut().insert(wire::caller::REQUEST_ID, id);
    }
    tokio::spawn(async move {
        let mut events = Events {
            job: &job,
            id: trace.id,
            sender: sender.clone(),
            last: String::new(),
        };
        let result = run(&app, &job, &mut trace, &mut events).await;
        let result = match result {
            Ok(sample) => {
                let mut end = whole(&job, trace.id, sample);
                end.choices[0].text = std::mem::take(&mut events.last);
                events.send(&end).await;
                // The caller may have gone; then nobody misses the end.
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
