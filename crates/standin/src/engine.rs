//! A model engine: generates streams of chunks at a realistic rate, schedules them by priority, carries out load orders
//! and reports its load.

mod slots;
mod weights;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use net::Call;
use net::Reply;
use net::body;
use net::events;
use step::Chunk;
use wire::engine::GENERATE;
use wire::engine::GenerateRequest;
use wire::engine::LOAD;
use wire::engine::LoadOrder;
use wire::engine::LoadReport;
use wire::engine::ORDER;
use wire::engine::OrderReply;
use wire::engine::RUNNING;

use crate::Faults;
use crate::Server;
use crate::server::Handler;
use crate::server::serve;
use crate::text;
use slots::SlotQueue;
use weights::Weights;

/// Tokens per chunk; the last chunk of a stream may have fewer.
const CHUNK_TOKENS: u32 = 8;

/// Settings of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Generation rate of one stream, in tokens per second.
    pub speed: f64,
    /// Maximum number of concurrent streams; others wait in order of priority.
    pub slots: u32,
    /// Median length of a sample in tokens.
    pub median: u32,
    /// Weight version at startup.
    pub version: u64,
    /// Whether orders with an outdated fencing token are rejected.
    pub fencing: bool,
    /// Duration of a weight swap, excluding the download.
    pub swap: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            speed: 400.0,
            slots: 16,
            median: 60,
            version: 1,
            fencing: true,
            swap: Duration::from_millis(50),
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    faults: Faults,
    weights: Weights,
    slots: SlotQueue,
    /// Streams that are running or waiting for a slot.
    running: AtomicU32,
    tokens: AtomicU64,
}

impl Engine {
    /// Creates an engine.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            faults: Faults::default(),
            weights: Weights::new(settings.version, settings.fencing, settings.swap),
            slots: SlotQueue::new(settings.slots),
            running: AtomicU32::new(0),
            tokens: AtomicU64::new(0),
        }
    }

    /// Starts a server for this engine at an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Returns the number of tokens generated.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Returns the weight version that generates the next token.
    pub fn version(&self) -> u64 {
        self.weights.version()
    }

    /// Returns the accepted load orders, as pairs of fencing token and version.
    pub fn orders(&self) -> Vec<(i64, u64)> {
        self.weights.orders()
    }

    fn load(&self) -> Reply {
        let report = LoadReport {
            running: self.running.load(Ordering::Relaxed),
            slots: self.settings.slots,
            stated: self.weights.state(),
            leaving: self.faults.get().leaving,
        };
        body::json(StatusCode::OK, &report)
    }

    fn order(self: &Arc<Self>, order: LoadOrder) -> Reply {
        if !self.weights.accept(&order) {
            return body::json(StatusCode::CONFLICT, &OrderReply::Fenced);
        }
        let engine = self.clone();
        tokio::spawn(async move { engine.weights.swap(order, &engine.faults).await });
        body::json(StatusCode::OK, &OrderReply::Accepted)
    }

    fn generate(self: &Arc<Self>, request: GenerateRequest) -> Reply {
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        let (sender, stream) = body::stream();
        let engine = self.clone();
        tokio::spawn(async move {
            engine.run(&request, &sender).await;
            engine.running.fetch_sub(1, Ordering::Relaxed);
        });
        let mut reply = Reply::new(stream);
        let headers = reply.headers_mut();
        let content_type = HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, content_type);
        headers.insert(RUNNING, HeaderValue::from(running));
        reply
    }

    async fn run(&self, request: &GenerateRequest, sender: &body::Sender) {
        let slot = tokio::select! {
            slot = self.slots.acquire(request.priority) => slot,
            () = sender.closed() => return,
        };
        if let Err(error) = self.send_chunks(request, sender).await {
            // Fails only if the client has already closed the connection.
            let _ = sender.send(Err(error)).await;
        }
        drop(slot);
    }

    async fn send_chunks(
        &self,
        request: &GenerateRequest,
        sender: &body::Sender,
    ) -> io::Result<()> {
        let aborted = || io::Error::new(io::ErrorKind::ConnectionAborted, "cut");
        let seed = request.seed.unwrap_or(0);
        let total = text::length(
            &request.prompt,
            seed,
            self.settings.median,
            request.max_tokens,
        );
        let epoch = self.weights.epoch();
        let mut held: Option<Bytes> = None;
        let mut position = request.offset;
        let mut sent = 0;
        loop {
            let fault = self.faults.get();
            let count = CHUNK_TOKENS.min(total.saturating_sub(position));
            let seconds = f64::from(count) / self.settings.speed * fault.slowdown();
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            let is_last = position + count >= total;
            if fault.down || self.weights.epoch() != epoch || fault.cut > 0 && sent >= fault.cut {
                return Err(aborted());
            }
            let event = self.chunk(request, seed, position, count, is_last);
            self.tokens.fetch_add(u64::from(count), Ordering::Relaxed);
            position += count;
            sent += 1;
            // With `shuffle`, every other chunk is held back and sent twice after the chunk that follows it.
            let events = match (fault.shuffle && !is_last, held.take()) {
                (true, None) => {
                    held = Some(event);
                    continue;
                }
                (_, Some(previous)) => vec![event, previous.clone(), previous],
                (_, None) => vec![event],
            };
            for event in events {
                sender.send(Ok(event)).await.map_err(|_| aborted())?;
            }
            if is_last {
                let done = events::write(events::DONE);
                return sender.send(Ok(done)).await.map_err(|_| aborted());
            }
        }
    }

    fn chunk(
        &self,
        request: &GenerateRequest,
        seed: u64,
        position: u32,
        count: u32,
        is_last: bool,
    ) -> Bytes {
        let indices = position..position + count;
        let chunk = Chunk {
            offset: position,
            tokens: count,
            text: indices
                .map(|index| text::token(&request.prompt, seed, index))
                .collect(),
            version: self.weights.version(),
            finish: is_last.then(|| {
                let is_full = position + count >= request.max_tokens;
                if is_full { "length" } else { "stop" }.to_owned()
            }),
        };
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        events::write(&data)
    }
}

fn with_json<T: serde::de::DeserializeOwned>(bytes: &[u8], f: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(bytes) {
        Ok(request) => f(request),
        Err(error) => body::reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

impl Handler for Engine {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn handle(self: Arc<Self>, call: Call, bytes: Bytes) -> Reply {
        match call.uri.path() {
            GENERATE => with_json(&bytes, |request| self.generate(request)),
            ORDER => with_json(&bytes, |order| self.order(order)),
            LOAD => self.load(),
            _ => body::reply(StatusCode::NOT_FOUND, "text/plain", "no such path"),
        }
    }
}
