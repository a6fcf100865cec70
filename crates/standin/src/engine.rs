//! A model engine: streams of chunks at a realistic pace, priorities, orders, load reports.

mod turn;
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
use crate::host::Answer;
use crate::host::serve;
use crate::text;
use turn::Turns;
use weights::Weights;

/// Tokens of one chunk.
const CHUNK: u32 = 8;

/// Settings of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Tokens a second of one stream.
    pub speed: f64,
    /// Streams at the same time; others wait by priority.
    pub slots: u32,
    /// Median length of a sample in tokens.
    pub median: u32,
    /// The weight version at the start.
    pub version: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time of a swap, on top of the download.
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
    make: Settings,
    faults: Faults,
    weights: Weights,
    turns: Turns,
    running: AtomicU32,
    tokens: AtomicU64,
}

impl Engine {
    /// Makes an engine.
    pub fn new(make: Settings) -> Self {
        Self {
            make,
            faults: Faults::default(),
            weights: Weights::new(make.version, make.fencing, make.swap),
            turns: Turns::new(make.slots),
            running: AtomicU32::new(0),
            tokens: AtomicU64::new(0),
        }
    }

    /// Serves at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Tokens that it has generated.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// The version of its next token.
    pub fn version(&self) -> u64 {
        self.weights.version()
    }

    /// Orders that it took, as pairs of fencing number and version.
    pub fn orders(&self) -> Vec<(i64, u64)> {
        self.weights.orders()
    }

    fn load(&self) -> Reply {
        let load = LoadReport {
            running: self.running.load(Ordering::Relaxed),
            slots: self.make.slots,
            stated: self.weights.stated(),
            leaving: self.faults.get().leaving,
        };
        body::json(StatusCode::OK, &load)
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
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, kind);
        headers.insert(RUNNING, HeaderValue::from(running));
        reply
    }

    async fn run(&self, request: &GenerateRequest, sender: &body::Sender) {
        let turn = tokio::select! {
            turn = self.turns.take(request.priority) => turn,
            () = sender.closed() => return,
        };
        if let Err(broken) = self.chunks(request, sender).await {
            // The receiver may be gone, which is what this tells it anyway.
            let _ = sender.send(Err(broken)).await;
        }
        drop(turn);
    }

    async fn chunks(&self, request: &GenerateRequest, sender: &body::Sender) -> io::Result<()> {
        let cut = || io::Error::new(io::ErrorKind::ConnectionAborted, "cut");
        let seed = request.seed.unwrap_or(0);
        let total = text::length(&request.prompt, seed, self.make.median, request.max_tokens);
        let epoch = self.weights.epoch();
        let mut held: Option<Bytes> = None;
        let mut at = request.offset;
        let mut sent = 0;
        loop {
            let fault = self.faults.get();
            let count = CHUNK.min(total.saturating_sub(at));
            let span = f64::from(count) / self.make.speed * fault.factor();
            tokio::time::sleep(Duration::from_secs_f64(span)).await;
            let over = at + count >= total;
            if fault.down || self.weights.epoch() != epoch || fault.cut > 0 && sent >= fault.cut {
                return Err(cut());
            }
            let event = self.chunk(request, seed, at, count, over);
            self.tokens.fetch_add(u64::from(count), Ordering::Relaxed);
            at += count;
            sent += 1;
            // Shuffled: each chunk is held until the next has overtaken it, then sent twice.
            let first = match (fault.shuffle && !over, held.take()) {
                (true, None) => {
                    held = Some(event);
                    continue;
                }
                (_, Some(before)) => vec![event, before.clone(), before],
                (_, None) => vec![event],
            };
            for event in first {
                sender.send(Ok(event)).await.map_err(|_| cut())?;
            }
            if over {
                let done = events::write(events::DONE);
                return sender.send(Ok(done)).await.map_err(|_| cut());
            }
        }
    }

    fn chunk(
        &self,
        request: &GenerateRequest,
        seed: u64,
        at: u32,
        count: u32,
        over: bool,
    ) -> Bytes {
        let tokens = at..at + count;
        let chunk = Chunk {
            offset: at,
            tokens: count,
            text: tokens
                .map(|t| text::token(&request.prompt, seed, t))
                .collect(),
            version: self.weights.version(),
            finish: over.then(|| {
                let full = at + count >= request.max_tokens;
                if full { "length" } else { "stop" }.to_owned()
            }),
        };
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        events::write(&data)
    }
}

fn with<T: serde::de::DeserializeOwned>(bytes: &[u8], f: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(bytes) {
        Ok(request) => f(request),
        Err(error) => body::reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

impl Answer for Engine {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(self: Arc<Self>, call: Call, bytes: Bytes) -> Reply {
        match call.uri.path() {
            GENERATE => with(&bytes, |request| self.generate(request)),
            ORDER => with(&bytes, |order| self.order(order)),
            LOAD => self.load(),
            _ => body::reply(StatusCode::NOT_FOUND, "text/plain", "no such path"),
        }
    }
}
