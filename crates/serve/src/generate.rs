//! A single attempt to run a completion at an engine.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::AttemptId;
use kernel::Millis;
use net::SendCondition;
use net::SendError;
use net::events;
use net::events::Event;
use route::Attempt;
use route::Ran;
use route::attempt::NothingSent;
use step::Assembly;
use step::Chunk;
use step::assembly::Contradiction;
use step::assembly::Placement;
use tokio::time::Instant;
use wire::engine::GENERATE;
use wire::engine::GenerateRequest;
use wire::engine::RUNNING;

use crate::App;
use crate::crashes::OutgoingRequest;
use crate::dispatcher::Permit;

/// Time without data after which a stream is considered broken. It is long because an engine also
/// sends nothing while a request waits there for a free slot.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The assembly is complete.
    Complete,
    /// The attempt failed; another attempt can resume from the assembly. [`Ran`] is whether the
    /// engine may have run it.
    Failed(Ran, AttemptError),
    /// The sink stopped the attempt.
    Cancelled,
}

/// The reason why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AttemptError {
    /// The connection to the engine failed.
    #[error("could not connect")]
    Unconnected,
    /// The request was kept back, since its condition did not hold.
    #[error("it may no longer be sent")]
    Forbidden,
    /// The engine responded with a status other than 200.
    #[error("the engine answered with status {0}")]
    Status(u16),
    /// The stream failed, or ended before the last chunk.
    #[error("the stream was cut")]
    Broken,
    /// No data arrived in time.
    #[error("the stream fell silent")]
    TimedOut,
    /// A chunk could not be decoded, or the request not encoded.
    #[error("the stream could not be understood")]
    Malformed,
    /// The engine's weights are older than the request allows.
    #[error("the engine has older weights than were asked for")]
    Stale,
    /// The engine sent contradictory chunks.
    #[error(transparent)]
    Contradiction(#[from] Contradiction),
}

/// Receives the text of an attempt as it is generated.
pub trait Sink: Send {
    /// Accepts the next piece of text. Returns whether the attempt should continue.
    fn write(
        &mut self,
        text: String,
        assembly: &Assembly,
    ) -> impl std::future::Future<Output = bool> + Send;
}

/// The specification of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptSpec {
    /// The identifier of the attempt.
    pub attempt: AttemptId,
    /// The request to the engine; its `resume` and `offset` are set from the assembly.
    pub request: GenerateRequest,
    /// The request as tracked for crashes of upstreams.
    pub(crate) outgoing: OutgoingRequest,
    /// Lowest acceptable weight version.
    pub min_version: u64,
    /// Deadline on the monotonic clock, in milliseconds.
    pub deadline: Millis,
    /// The condition under which the request may be sent.
    pub condition: SendCondition,
}

/// Runs one attempt and places its chunks in `assembly`.
pub async fn run(
    app: &App,
    permit: Permit,
    spec: &AttemptSpec,
    assembly: &mut Assembly,
    sink: &mut impl Sink,
) -> AttemptResult {
    assembly.restart(spec.attempt);
    let left = spec.deadline.saturating_sub(app.clock.now());
    let suspect_guard = spec.outgoing.track_suspect(app, &permit.spec);
    let attempt = run_to_end(app, &permit, spec, assembly, sink);
    let result = match tokio::time::timeout(Duration::from_millis(left), attempt).await {
        Ok(result) => result,
        Err(_) => AttemptResult::Failed(Ran::Unknown, AttemptError::TimedOut),
    };
    record_version(app, &permit, assembly.version());
    match &result {
        AttemptResult::Complete => spec.outgoing.record_success(app),
        AttemptResult::Failed(Ran::Unknown, AttemptError::Broken) => {
            spec.outgoing.check_crash(app, &permit.spec).await
        }
        AttemptResult::Failed(..) | AttemptResult::Cancelled => (),
    }
    drop(suspect_guard);
    record_result(app, permit, &result);
    result
}

/// Sends the request and reads the stream until its end, without a deadline for the whole attempt.
async fn run_to_end(
    app: &App,
    permit: &Permit,
    spec: &AttemptSpec,
    assembly: &mut Assembly,
    sink: &mut impl Sink,
) -> AttemptResult {
    let attempt = Attempt::new();
    let Some(request) = request(permit, spec, assembly) else {
        return AttemptResult::Failed(attempt.refuse(), AttemptError::Malformed);
    };
    let attempt = attempt.send();
    let condition = spec.condition.clone();
    let response = app.http.send_if(request, STREAM_IDLE_TIMEOUT, condition);
    let response = match response.await {
        Ok(response) => response,
        Err(SendError::Unconnected) => {
            let attempt = attempt.unsent(NothingSent::connect_failed());
            return AttemptResult::Failed(attempt.refuse(), AttemptError::Unconnected);
        }
        Err(SendError::Forbidden) => {
            let attempt = attempt.unsent(NothingSent::kept_back());
            return AttemptResult::Failed(attempt.refuse(), AttemptError::Forbidden);
        }
        Err(_) => return AttemptResult::Failed(attempt.fail(), AttemptError::Broken),
    };
    if response.status() != StatusCode::OK {
        return AttemptResult::Failed(
            attempt.fail(),
            AttemptError::Status(response.status().as_u16()),
        );
    }
    record_running(app, permit, &response);
    let mut events = events::read(response.into_body());
    let mut text_due = Instant::now() + STREAM_IDLE_TIMEOUT;
    loop {
        let event = match tokio::time::timeout_at(text_due, events.next()).await {
            Ok(Some(event)) => event,
            Ok(None) => return AttemptResult::Failed(attempt.fail(), AttemptError::Broken),
            Err(_) => return AttemptResult::Failed(attempt.fail(), AttemptError::TimedOut),
        };
        match place(spec.attempt, event, assembly) {
            Ok(Some(_)) if assembly.version() < spec.min_version => {
                return AttemptResult::Failed(attempt.fail(), AttemptError::Stale);
            }
            Ok(Some(text)) => {
                if !sink.write(text, assembly).await {
                    return AttemptResult::Cancelled;
                }
                text_due = Instant::now() + STREAM_IDLE_TIMEOUT;
            }
            Ok(None) => (),
            Err(error) => return AttemptResult::Failed(attempt.fail(), error),
        }
        if assembly.is_complete() {
            attempt.answer();
            return AttemptResult::Complete;
        }
    }
}

/// Builds the request, which resumes from the output in the assembly.
fn request(
    permit: &Permit,
    spec: &AttemptSpec,
    assembly: &Assembly,
) -> Option<Request<Full<Bytes>>> {
    let mut request = spec.request.clone();
    request.resume = assembly.partial().text.clone();
    request.offset = assembly.partial().tokens;
    let bytes = serde_json::to_vec(&request).ok()?;
    Request::post(permit.spec.uri(GENERATE))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .ok()
}

/// Places the chunk of an event in the assembly. Returns the text that can now be appended.
fn place(
    attempt: AttemptId,
    event: Event,
    assembly: &mut Assembly,
) -> Result<Option<String>, AttemptError> {
    let data = match event {
        Event::Broken => return Err(AttemptError::Broken),
        // The end marker of the stream; the chunks determine whether the output is complete.
        Event::Data(data) if data == events::DONE => return Ok(None),
        Event::Data(data) => data,
    };
    let chunk: Chunk = serde_json::from_str(&data).map_err(|_| AttemptError::Malformed)?;
    match assembly.place(attempt, chunk) {
        Placement::Appended(text) => Ok(Some(text)),
        Placement::Buffered | Placement::Dropped => Ok(None),
        Placement::Contradiction(contradiction) => Err(AttemptError::Contradiction(contradiction)),
    }
}

/// Records the number of running requests that a response reports.
fn record_running<B>(app: &App, permit: &Permit, response: &http::Response<B>) {
    let running = response.headers().get(RUNNING);
    let running = running.and_then(|value| value.to_str().ok()?.parse().ok());
    if let (Some(dispatcher), Some(running)) = (app.dispatchers.get(&permit.spec.pool), running) {
        dispatcher.record_report(&permit.spec.name, running);
    }
}

/// Records the weight version in a stream, which is newer than any report of the engine.
fn record_version(app: &App, permit: &Permit, version: u64) {
    if let (Some(dispatcher), 1..) = (app.dispatchers.get(&permit.spec.pool), version) {
        dispatcher.update_upstream(&permit.spec.name, |upstream| {
            upstream.version = Some(version)
        });
    }
}

/// Records the result of an attempt for the health of its engine.
fn record_result(app: &App, permit: Permit, result: &AttemptResult) {
    let name = permit.spec.name.clone();
    let dispatcher = app.dispatchers.get(&permit.spec.pool).cloned();
    match result {
        AttemptResult::Complete => permit.finish(true),
        // Old weights are not a failure: the engine has not been ordered to load newer ones yet.
        AttemptResult::Cancelled
        | AttemptResult::Failed(_, AttemptError::Stale | AttemptError::Forbidden) => drop(permit),
        AttemptResult::Failed(_, error) => {
            permit.finish(false);
            if let (Some(dispatcher), AttemptError::Contradiction(contradiction)) =
                (dispatcher, error)
            {
                log::warn!(
                    target: "entry",
                    upstream = &*name,
                    error = contradiction.to_string().as_str();
                    "quarantined"
                );
                dispatcher.update_health(&name, |health| health.set_quarantined(true));
            }
        }
    }
}
