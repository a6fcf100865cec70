//! A model sampler on raw connections, so that it can send bytes that no HTTP library would.

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
use tokio::time::sleep;

use crate::http1::Request;
use crate::http1::read_request;
use crate::http1::text;
use crate::record::Record;

/// Time for one event.
const EVENT_TIME: Duration = Duration::from_millis(20);

/// Events of a short and of a long item.
const EVENTS: u64 = 10;
const LONG_EVENTS: u64 = 40;

/// How the samplers behave, shared by all of them.
pub struct Behavior {
    /// How many runs of an item fail with 500 before one succeeds, by the item's ID.
    pub failing: HashMap<String, usize>,
    /// The item whose first answer is sent a second time, late: before the answer to the next request on that
    /// connection.
    pub repeated: Option<String>,
    /// How the IDs of long items begin.
    pub long: &'static str,
}

/// What the samplers of a service have seen.
#[derive(Default)]
pub struct Seen {
    /// Runs of each item.
    pub runs: HashMap<String, usize>,
    /// Answers of 500 to a request for an item, without repeated ones.
    pub failed: HashMap<String, usize>,
}

/// A sampler.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub answers: Arc<AtomicUsize>,
}

struct Shared {
    id: String,
    faulty: bool,
    behavior: Arc<Behavior>,
    seen: Arc<Mutex<Seen>>,
    answers: Arc<AtomicUsize>,
    running: AtomicUsize,
    record: Record,
}

impl Engine {
    /// Starts a sampler at a free port.
    pub async fn start(
        id: &str,
        faulty: bool,
        behavior: &Arc<Behavior>,
        seen: &Arc<Mutex<Seen>>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            faulty,
            behavior: behavior.clone(),
            seen: seen.clone(),
            answers: Arc::default(),
            running: AtomicUsize::new(0),
            record: record.clone(),
        });
        let answers = shared.answers.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Self {
            id: id.to_owned(),
            addr,
            answers,
        }
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    let mut late: Option<String> = None;
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        if let Some(copy) = late.take() {
            shared.record.line(&format!(
                "{} sends the copy of its earlier answer before the answer to {} (item {})",
                shared.id,
                request.path,
                request.header("x-attempt-id")
            ));
            if stream.write_all(copy.as_bytes()).await.is_err() {
                return;
            }
        }
        let done = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/report") => report(&mut stream, &shared).await,
            ("GET", "/healthz") => plain(&mut stream, 200, &format!("X-Instance-Id: {}\r\n", shared.id), "ok").await,
            ("POST", "/-/order") => plain(&mut stream, 200, "", "{}").await,
            _ => run(&mut stream, &shared, &request, &mut late).await,
        };
        if done.is_none() {
            return;
        }
    }
}

async fn plain(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> Option<()> {
    let answer = text(status, headers, body);
    stream.write_all(answer.as_bytes()).await.ok()
}

async fn report(stream: &mut TcpStream, shared: &Shared) -> Option<()> {
    let body = json!({
        "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": false, "SeqNo": 0,
        "QueueDepth": 0, "Running": shared.running.load(Ordering::Relaxed), "KvUsed": 0, "KvTotal": 90000,
        "Handles": 0,
    });
    plain(stream, 200, "Content-Type: application/json\r\n", &body.to_string()).await
}

/// Counts a run while it lasts.
struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(
    stream: &mut TcpStream,
    shared: &Shared,
    request: &Request,
    late: &mut Option<String>,
) -> Option<()> {
    let item = request.header("x-attempt-id").to_owned();
    let expected = request.header("x-expect-instance");
    shared.answers.fetch_add(1, Ordering::Relaxed);
    if !expected.is_empty() && expected != shared.id {
        let headers = format!("X-Attempt-Id: {item}\r\nX-Not-Executed: 1\r\n");
        return plain(stream, 421, &headers, "").await;
    }
    let count = {
        let mut seen = shared.seen.lock();
        let count = seen.runs.entry(item.clone()).or_default();
        *count += 1;
        *count
    };
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _running = Running(&shared.running);
    let headers = format!(
        "X-Attempt-Id: {item}\r\nX-Server-Stamp: {}.{item}.{count}\r\nX-Instance-Load: {running},0,4\r\n",
        shared.id
    );
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    if count <= shared.behavior.failing.get(&item).copied().unwrap_or(0) {
        *shared.seen.lock().failed.entry(item.clone()).or_default() += 1;
        shared.record.line(&format!("{} runs item {item} (run {count}) and answers 500", shared.id));
        let answer = text(500, &headers, "failed");
        if shared.faulty && count == 1 && shared.behavior.repeated.as_ref() == Some(&item) {
            *late = Some(answer.clone());
        }
        return stream.write_all(answer.as_bytes()).await.ok();
    }
    if shared.behavior.failing.contains_key(&item) {
        shared.record.line(&format!("{} runs item {item} (run {count}) after event {last}", shared.id));
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let events = match item.starts_with(shared.behavior.long) {
        true => LONG_EVENTS,
        false => EVENTS,
    };
    for number in last + 1..=events {
        sleep(EVENT_TIME).await;
        let event = format!("id: {number}\ndata: {item} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}
