//! Model samplers that crash and start again under a new ID, and what they have run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http1::Request;
use crate::http1::read_request;
use crate::http1::text;

/// Requests that a sampler processes at once.
pub const SLOTS: usize = 12;

/// Time for one event: 74 tokens of 0.529 ms.
const EVENT_TIME: Duration = Duration::from_millis(40);

/// Events of an ordinary item and of a long one.
const EVENTS: u64 = 11;
const LONG_EVENTS: u64 = 80;

/// Letter in the ID of a long item.
pub const LONG_MARK: char = 'y';

/// What is known of an item.
#[derive(Clone, Debug, Default)]
pub struct Item {
    /// Runs that have begun.
    pub runs: usize,
    /// Whether a sampler has sent its last event.
    pub finished: bool,
    /// Runs that are under way.
    pub running: usize,
}

/// What the samplers of a service have seen together.
#[derive(Default)]
pub struct Seen {
    pub items: HashMap<String, Item>,
    /// Requests that run now.
    pub running: usize,
}

/// A sampler that can crash.
pub struct Sampler {
    pub id: String,
    pub addr: SocketAddr,
    crashed: watch::Sender<bool>,
}

struct Shared {
    id: String,
    seen: Arc<Mutex<Seen>>,
    running: AtomicUsize,
    crashed: watch::Receiver<bool>,
}

impl Sampler {
    /// Starts a sampler at a free port.
    pub async fn start(id: String, seen: &Arc<Mutex<Seen>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (crashed, receiver) = watch::channel(false);
        let shared = Arc::new(Shared {
            id: id.clone(),
            seen: seen.clone(),
            running: AtomicUsize::new(0),
            crashed: receiver,
        });
        tokio::spawn(accept(listener, shared));
        Self { id, addr, crashed }
    }

    /// Ends the sampler: its port and all its connections are closed.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    /// Its entry in the platform's store.
    pub fn entry(&self, beat: u64) -> serde_json::Value {
        json!({
            "Service": "rank", "Address": self.addr.to_string(), "Zone": "nord", "Version": "1", "Slots": SLOTS,
            "State": "ready", "ColdLeftMs": 0, "SeqNo": beat, "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
        })
    }
}

async fn wait_crash(shared: &Shared) {
    let mut crashed = shared.crashed.clone();
    let _ = crashed.wait_for(|crashed| *crashed).await;
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let stream = tokio::select! {
            biased;
            () = wait_crash(&shared) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else { return };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = wait_crash(&shared) => (),
                _ = serve(stream, &shared) => (),
            }
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let request = read_request(&mut stream, &mut buffer).await?;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/report") => {
                let running = shared.running.load(Ordering::Relaxed);
                let body = json!({
                    "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": false,
                    "SeqNo": 0, "QueueDepth": 0, "Running": running, "KvUsed": 0, "KvTotal": 90000, "Handles": 0,
                });
                let answer = text(200, "Content-Type: application/json\r\n", &body.to_string());
                stream.write_all(answer.as_bytes()).await.ok()?;
            }
            ("GET", _) => {
                let headers = format!("X-Instance-Id: {}\r\n", shared.id);
                stream.write_all(text(200, &headers, "ok").as_bytes()).await.ok()?;
            }
            ("POST", "/-/order") => stream.write_all(text(200, "", "{}").as_bytes()).await.ok()?,
            _ => run(&mut stream, shared, &request).await?,
        }
    }
}

/// Counts a run from its beginning until it is dropped.
struct Run<'a> {
    shared: &'a Shared,
    item: String,
}

impl<'a> Run<'a> {
    fn begin(shared: &'a Shared, item: &str) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        let mut seen = shared.seen.lock();
        seen.running += 1;
        let known = seen.items.entry(item.to_owned()).or_default();
        known.runs += 1;
        known.running += 1;
        Self {
            shared,
            item: item.to_owned(),
        }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        let mut seen = self.shared.seen.lock();
        seen.running -= 1;
        if let Some(item) = seen.items.get_mut(&self.item) {
            item.running -= 1;
        }
    }
}

async fn run(stream: &mut TcpStream, shared: &Shared, request: &Request) -> Option<()> {
    let item = request.header("x-attempt-id");
    let expected = request.header("x-expect-instance");
    let running = shared.running.load(Ordering::Relaxed);
    let load = format!("X-Instance-Load: {running},0,{SLOTS}\r\n");
    let refusal = match running >= SLOTS {
        _ if !expected.is_empty() && expected != shared.id => Some(421),
        true => Some(503),
        false => None,
    };
    if let Some(status) = refusal {
        let headers = format!("X-Attempt-Id: {item}\r\nX-Not-Executed: 1\r\n{load}");
        return stream.write_all(text(status, &headers, "").as_bytes()).await.ok();
    }
    let _run = Run::begin(shared, item);
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {item}\r\nX-Server-Stamp: {}.{item}\r\n{load}X-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        shared.id
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let events = match item.contains(LONG_MARK) {
        true => LONG_EVENTS,
        false => EVENTS,
    };
    for number in last + 1..=events {
        sleep(EVENT_TIME).await;
        let event = format!("id: {number}\ndata: {item} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()?;
    if let Some(item) = shared.seen.lock().items.get_mut(item) {
        item.finished = true;
    }
    Some(())
}
