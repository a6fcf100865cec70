//! One attempt at a completion at one engine.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::AttemptId;
use kernel::Millis;
use net::events;
use net::events::Event;
use route::Attempt;
use route::Ran;
use route::attempt::NoConnection;
use step::Assembly;
use step::Chunk;
use step::assembly::Contradiction;
use step::assembly::Placement;
use wire::engine::GENERATE;
use wire::engine::GenerateRequest;
use wire::engine::RUNNING;

use crate::App;
use crate::crashes::OutgoingRequest;
use crate::dispatcher::Permit;

/// Silence after which a stream counts as cut. An engine that holds a request back for want of a
/// slot sends nothing either, so this is long.
pub const SILENCE: Duration = Duration::from_secs(20);

/// How an attempt ended.
#[derive(Debug)]
pub enum End {
    /// The assembly is whole.
    Whole,
    /// It ended early; what the assembly holds may be resumed.
    Early(Ran, Why),
    /// Nobody wants it any more.
    Unwanted,
}

/// Why an attempt ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Why {
    /// No connection was made.
    #[error("could not connect")]
    Unconnected,
    /// The engine refused it.
    #[error("the engine answered with status {0}")]
    Status(u16),
    /// The stream broke, or ended before the last chunk.
    #[error("the stream was cut")]
    Cut,
    /// Nothing came for too long.
    #[error("the stream fell silent")]
    Silent,
    /// A chunk could not be read.
    #[error("the stream could not be understood")]
    Garbled,
    /// The engine's weights are older than what was asked for.
    #[error("the engine has older weights than were asked for")]
    Old,
    /// The engine contradicted itself.
    #[error(transparent)]
    Contradiction(#[from] Contradiction),
}

/// What becomes of the text as it comes.
pub trait Sink: Send {
    /// Takes the next piece; tells whether the rest is still wanted.
    fn take(
        &mut self,
        text: String,
        assembly: &Assembly,
    ) -> impl std::future::Future<Output = bool> + Send;
}

/// What an attempt is made of.
#[derive(Clone, Debug)]
pub struct Order {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request, without what is there already.
    pub generate: GenerateRequest,
    /// What is sent, for what upstreams do under it.
    pub(crate) sent: OutgoingRequest,
    /// Lowest weight version that will do.
    pub floor: u64,
    /// When it has to be over, on the monotonic clock.
    pub deadline: Millis,
}

/// Runs one attempt and places its chunks in `assembly`.
pub async fn run(
    app: &App,
    permit: Permit,
    order: &Order,
    assembly: &mut Assembly,
    sink: &mut impl Sink,
) -> End {
    assembly.restart(order.attempt);
    let left = order.deadline.saturating_sub(app.clock.now());
    let stay = order.sent.track_suspect(app, &permit.spec);
    let whole = attempt(app, &permit, order, assembly, sink);
    let end = match tokio::time::timeout(Duration::from_millis(left), whole).await {
        Ok(end) => end,
        Err(_) => End::Early(Ran::Unknown, Why::Silent),
    };
    learn(app, &permit, assembly.version());
    match &end {
        End::Whole => order.sent.record_success(app),
        End::Early(Ran::Unknown, Why::Cut) => order.sent.check_crash(app, &permit.spec).await,
        End::Early(..) | End::Unwanted => (),
    }
    drop(stay);
    judge(app, permit, &end);
    end
}

async fn attempt(
    app: &App,
    permit: &Permit,
    order: &Order,
    assembly: &mut Assembly,
    sink: &mut impl Sink,
) -> End {
    let attempt = Attempt::new();
    let Some(request) = request(permit, order, assembly) else {
        return End::Early(attempt.refuse(), Why::Garbled);
    };
    let attempt = attempt.send();
    let answer = match app.http.send(request, SILENCE).await {
        Ok(answer) => answer,
        Err(error) if error.is_unsent() => {
            let attempt = attempt.unconnected(NoConnection::connect_failed());
            return End::Early(attempt.refuse(), Why::Unconnected);
        }
        Err(_) => return End::Early(attempt.fail(), Why::Cut),
    };
    if answer.status() != StatusCode::OK {
        return End::Early(attempt.fail(), Why::Status(answer.status().as_u16()));
    }
    hear(app, permit, &answer);
    let mut events = events::read(answer.into_body());
    loop {
        let event = match tokio::time::timeout(SILENCE, events.next()).await {
            Ok(Some(event)) => event,
            Ok(None) => return End::Early(attempt.fail(), Why::Cut),
            Err(_) => return End::Early(attempt.fail(), Why::Silent),
        };
        match place(order.attempt, event, assembly) {
            Ok(Some(_)) if assembly.version() < order.floor => {
                return End::Early(attempt.fail(), Why::Old);
            }
            Ok(Some(text)) => {
                if !sink.take(text, assembly).await {
                    return End::Unwanted;
                }
            }
            Ok(None) => (),
            Err(why) => return End::Early(attempt.fail(), why),
        }
        if assembly.is_complete() {
            attempt.answer();
            return End::Whole;
        }
    }
}

fn request(permit: &Permit, order: &Order, assembly: &Assembly) -> Option<Request<Full<Bytes>>> {
    let mut generate = order.generate.clone();
    generate.resume = assembly.partial().text.clone();
    generate.offset = assembly.partial().tokens;
    let bytes = serde_json::to_vec(&generate).ok()?;
    Request::post(net::client::uri(permit.spec.addr, GENERATE))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .ok()
}

/// Places the chunk of an event; gives the text that follows what was there.
fn place(attempt: AttemptId, event: Event, assembly: &mut Assembly) -> Result<Option<String>, Why> {
    let data = match event {
        Event::Broken => return Err(Why::Cut),
        // The end of the stream; whether it is whole shows in the chunks.
        Event::Data(data) if data == events::DONE => return Ok(None),
        Event::Data(data) => data,
    };
    let chunk: Chunk = serde_json::from_str(&data).map_err(|_| Why::Garbled)?;
    match assembly.place(attempt, chunk) {
        Placement::Appended(text) => Ok(Some(text)),
        Placement::Buffered | Placement::Dropped => Ok(None),
        Placement::Contradiction(fault) => Err(Why::Contradiction(fault)),
    }
}

/// Takes in the load that an answer tells.
fn hear<B>(app: &App, permit: &Permit, answer: &http::Response<B>) {
    let running = answer.headers().get(RUNNING);
    let running = running.and_then(|value| value.to_str().ok()?.parse().ok());
    if let (Some(dispatcher), Some(running)) = (app.dispatchers.get(&permit.spec.pool), running) {
        dispatcher.heard(&permit.spec.name, running);
    }
}

/// Takes in the weight version that a stream named, which is newer than any report.
fn learn(app: &App, permit: &Permit, version: u64) {
    if let (Some(dispatcher), 1..) = (app.dispatchers.get(&permit.spec.pool), version) {
        dispatcher.update(&permit.spec.name, |upstream| {
            upstream.version = Some(version)
        });
    }
}

/// Tells the pool what the attempt showed of the engine.
fn judge(app: &App, permit: Permit, end: &End) {
    let name = permit.spec.name.clone();
    let dispatcher = app.dispatchers.get(&permit.spec.pool).cloned();
    match end {
        End::Whole => permit.end(true),
        // Old weights are no failure: the engine waits for its order.
        End::Unwanted | End::Early(_, Why::Old) => drop(permit),
        End::Early(_, why) => {
            permit.end(false);
            if let (Some(dispatcher), Why::Contradiction(fault)) = (dispatcher, why) {
                log::warn!(
                    target: "entry",
                    upstream = &*name,
                    error = fault.to_string().as_str();
                    "quarantined"
                );
                dispatcher.judge(&name, |health| health.set_quarantined(true));
            }
        }
    }
}
