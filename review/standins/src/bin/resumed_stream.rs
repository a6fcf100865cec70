//! Resumable streams while samplers crash and another one answers part of its requests with 500.
//!
//! The rule is ORDER: a stream does not end as complete before its last piece.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use review_standins::case;
use review_standins::case::Case;
use review_standins::case::Record;
use review_standins::case::Rng;
use review_standins::case::Verdict;
use review_standins::http1::Conn;
use review_standins::http1::message;
use review_standins::node::own_ip;
use review_standins::store::Store;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const ZONES: [&str; 4] = [
    "bern-halle",
    "olten-halle",
    "aarau-halle",
    "solothurn-halle",
];

/// Samplers of `rank-lm`, three in each zone, and their slots.
const SAMPLERS: usize = 12;
const SLOTS: usize = 12;
/// Requests that may wait in a sampler: `queue` in the site file.
const QUEUE: usize = 36;

/// Samplers that crash together: `srv_crash` has a share of 0.17 in the site file.
const CRASHED: usize = 2;
/// Time for which they are down: `for_s` in the site file.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after which the entry of a crashed sampler is removed: three heartbeat intervals.
const REMOVED_AFTER: Duration = Duration::from_millis(3_600);

/// The share of its requests that the failing sampler answers with 500: `x` of `srv_grey`. One sampler of 12 fails,
/// where the share is 0.15.
const FAILURES: f64 = 0.4;
/// Time for which it fails: `for_s` of an entry is 5 unless it says otherwise.
const FAILING: Duration = Duration::from_secs(5);
/// Time from the beginning of that to the crash.
const BEFORE_CRASH: Duration = Duration::from_millis(1_500);

/// How often both happen.
const ROUNDS: usize = 5;

/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 25;
const GAP: Duration = Duration::from_millis(40);

/// Clients at each entry, each with one stream after the other: two thirds of the slots.
const CLIENTS: usize = 24;

/// Time that a client waits, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

struct Shared {
    record: Record,
    is_failing: AtomicBool,
    next_id: AtomicU64,
    streams: AtomicUsize,
    whole: AtomicUsize,
    resumed: AtomicUsize,
    failed: AtomicUsize,
    broken: Mutex<Vec<String>>,
}

struct Sampler {
    id: String,
    is_grey: bool,
    slots: Semaphore,
    /// Requests that run or wait.
    busy: AtomicUsize,
    rng: Mutex<Rng>,
    shared: Arc<Shared>,
}

impl Sampler {
    fn load(&self) -> String {
        let busy = self.busy.load(Ordering::Relaxed);
        format!("{},{},{SLOTS}", busy.min(SLOTS), busy.saturating_sub(SLOTS))
    }

    /// Serves a connection, one request at a time.
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(head) = conn.head().await {
            if conn.body(&head, &mut Vec::new()).await.is_err() {
                return;
            }
            let id = head.header("x-attempt-id").to_owned();
            let last = head.header("last-event-id").parse().unwrap_or(0);
            let refusal = if head.header("x-expect-instance") != self.id {
                Some("HTTP/1.1 421 Misdirected Request")
            } else if self.busy.load(Ordering::Relaxed) >= SLOTS + QUEUE {
                Some("HTTP/1.1 503 Service Unavailable")
            } else {
                None
            };
            let load = self.load();
            if let Some(start) = refusal {
                let headers = [
                    ("X-Attempt-Id", &*id),
                    ("X-Not-Executed", "1"),
                    ("X-Instance-Load", &load),
                ];
                if conn.write(&message(start, &headers, b"")).await.is_err() {
                    return;
                }
                continue;
            }
            self.busy.fetch_add(1, Ordering::Relaxed);
            let left = head.header("x-deadline-ms").parse().unwrap_or(DEADLINE_MS);
            let result = tokio::select! {
                slot = self.slots.acquire() => {
                    let _slot = slot;
                    self.run(&mut conn, &id, last).await
                }
                () = conn.closed() => Err(std::io::ErrorKind::ConnectionReset.into()),
                () = tokio::time::sleep(Duration::from_millis(left)) => {
                    let headers = [("X-Attempt-Id", &*id), ("X-Not-Executed", "1")];
                    conn.write(&message("HTTP/1.1 503 Service Unavailable", &headers, b"")).await
                }
            };
            self.busy.fetch_sub(1, Ordering::Relaxed);
            if result.is_err() {
                return;
            }
        }
    }

    async fn run(&self, conn: &mut Conn, id: &str, last: u64) -> std::io::Result<()> {
        let shared = &self.shared;
        shared
            .resumed
            .fetch_add(usize::from(last > 0), Ordering::Relaxed);
        shared
            .record
            .add(format_args!("{} runs {id} after event {last}", self.id));
        let load = self.load();
        let stamp = format!("{}.{id}.{last}", self.id);
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Server-Stamp", &*stamp),
            ("X-Instance-Load", &*load),
        ];
        let is_failing = self.is_grey && shared.is_failing.load(Ordering::Relaxed);
        if is_failing && self.rng.lock().unit() < FAILURES {
            shared.failed.fetch_add(1, Ordering::Relaxed);
            shared.record.add(format_args!(
                "{} answers 500 to {id}, asked for after event {last}",
                self.id
            ));
            return conn
                .write(&message(
                    "HTTP/1.1 500 Internal Server Error",
                    &headers,
                    b"",
                ))
                .await;
        }
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        conn.write(head.as_bytes()).await?;
        for number in last + 1..=EVENTS {
            tokio::select! {
                () = tokio::time::sleep(GAP) => (),
                () = conn.closed() => return Err(std::io::ErrorKind::ConnectionReset.into()),
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .await?;
        }
        conn.write(b"0\r\n\r\n").await
    }
}

/// A sampler that can crash: dropping it closes its listener and its connections.
struct Process {
    id: String,
    tasks: JoinSet<()>,
}

async fn start_sampler(shared: &Arc<Shared>, store: &Store, place: usize, birth: usize) -> Process {
    let listener = TcpListener::bind((own_ip(50 + place as u8), 0))
        .await
        .expect("a sampler can listen");
    let addr = listener
        .local_addr()
        .expect("a bound socket has an address");
    let id = format!("i-rank{place}-{birth}");
    let sampler = Arc::new(Sampler {
        id: id.clone(),
        is_grey: place == SAMPLERS - 1,
        slots: Semaphore::new(SLOTS),
        busy: AtomicUsize::new(0),
        rng: Mutex::new(Rng::new(11 + place as u64)),
        shared: shared.clone(),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(sampler.clone().serve(stream));
        }
    });
    store.put(
        &format!("servers/{id}"),
        &json!({
            "Service": "rank-lm", "Address": addr.to_string(), "Zone": ZONES[place % ZONES.len()],
            "Version": "v1", "Slots": SLOTS, "State": "ready", "ColdLeftMs": 0, "SeqNo": 1,
            "Stage": "both", "Models": [{"Name": "m0", "Version": 1, "Adapters": []}],
        }),
    );
    Process { id, tasks }
}

/// Opens streams one after the other, each on a new connection.
async fn client(
    shared: Arc<Shared>,
    front: SocketAddr,
    entry: String,
    until: tokio::time::Instant,
) {
    while tokio::time::Instant::now() < until {
        let number = shared.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", 0xB000_0000_0000_0000 + number);
        shared
            .record
            .add(format_args!("client opens {id} at {entry}"));
        shared.streams.fetch_add(1, Ordering::Relaxed);
        let limit = Duration::from_millis(DEADLINE_MS + 500);
        let result = tokio::time::timeout(limit, read_stream(front, &id)).await;
        let (status, is_complete, bytes) = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => (0, false, Vec::new()),
        };
        judge(&shared, &id, status, is_complete, &bytes);
        if status != 200 {
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }
}

/// Returns the status, whether the answer ended as complete, and its body.
async fn read_stream(front: SocketAddr, id: &str) -> std::io::Result<(u16, bool, Vec<u8>)> {
    let mut conn = Conn::new(TcpStream::connect(front).await?);
    let deadline = DEADLINE_MS.to_string();
    let prefix = format!("9c2e41:255,{id}:16");
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", &*deadline),
        ("X-Model", "m0"),
        ("X-Token-Usage", "271,1850"),
        ("X-Prompt-Prefix", &*prefix),
    ];
    let request = message(&format!("POST /talk/{id} HTTP/1.1"), &headers, &[b'p'; 600]);
    conn.write(&request).await?;
    let head = conn.head().await?;
    let mut bytes = Vec::new();
    let is_complete = conn.body(&head, &mut bytes).await.is_ok();
    Ok((head.status(), is_complete, bytes))
}

/// Judges an answer as its client sees it.
fn judge(shared: &Shared, id: &str, status: u16, is_complete: bool, bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let numbers: Vec<u64> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    let last = numbers.last().copied().unwrap_or(0);
    shared.record.add(format_args!(
        "client got {status} for {id}: events up to {last}, ended as complete: {is_complete}"
    ));
    if status != 200 {
        return;
    }
    let mut why = None;
    if !numbers.iter().copied().eq(1..=last) {
        why = Some("a piece is missing or comes twice".to_owned());
    } else if is_complete && last < EVENTS {
        why = Some(format!(
            "it ended as complete after piece {last} of {EVENTS}"
        ));
    }
    match why {
        Some(why) => shared
            .broken
            .lock()
            .push(format!("ORDER: stream {id}: {why}")),
        None => drop(
            shared
                .whole
                .fetch_add(usize::from(is_complete), Ordering::Relaxed),
        ),
    }
}

async fn play(case: Case) -> Verdict {
    let Case {
        record,
        store,
        deployment,
        trouble,
    } = case;
    let shared = Arc::new(Shared {
        record: record.clone(),
        is_failing: AtomicBool::new(false),
        next_id: AtomicU64::new(1),
        streams: AtomicUsize::new(0),
        whole: AtomicUsize::new(0),
        resumed: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
        broken: Mutex::default(),
    });
    store.put("op/config", &json!({
        "Version": 3,
        "Routes": [{"Name": "talk", "Host": "ficu95.example", "Prefix": "/talk/",
            "RouteKind": "streaming", "TimeoutMs": 10_000, "TargetLatencyMs": 400, "Priority": 1,
            "Service": "rank-lm", "MaxAttempts": 3, "Sticky": true, "Resumable": true}],
        "Services": [{"Name": "rank-lm", "HealthPath": "/healthz", "MaxConns": 160,
            "Protocol": "h1", "Tls": false, "Engine": {"Slots": SLOTS, "KvCapacity": 46_116,
            "KvTokenBytes": 163_840, "Stride": 74, "Models": [{"Name": "m0"}]}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }));
    let mut samplers = Vec::new();
    for place in 0..SAMPLERS {
        samplers.push(start_sampler(&shared, &store, place, 0).await);
    }
    let mut entries = Vec::new();
    let mut controls = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        entries.push(deployment.start("entry", &format!("edge-{zone}-1"), zone, 20 + number as u8));
        controls.push(deployment.start(
            "control",
            &format!("storage-{zone}-1"),
            zone,
            10 + number as u8,
        ));
    }
    for entry in &entries {
        if !entry.wait_ready().await {
            return Verdict::NotRun(format!("{} is not ready", entry.name));
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let round = Duration::from_secs(2) + BEFORE_CRASH + DOWN + Duration::from_secs(2);
    let until = tokio::time::Instant::now() + round * ROUNDS as u32;
    let mut clients = JoinSet::new();
    for entry in &entries {
        for _ in 0..CLIENTS {
            clients.spawn(client(
                shared.clone(),
                entry.front,
                entry.name.clone(),
                until,
            ));
        }
    }
    for number in 0..ROUNDS {
        tokio::time::sleep(Duration::from_secs(2)).await;
        if !trouble {
            tokio::time::sleep(round - Duration::from_secs(2)).await;
            continue;
        }
        record.add("one sampler begins to answer 500 to a part of its requests");
        shared.is_failing.store(true, Ordering::Relaxed);
        let failing = shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(FAILING).await;
            failing.is_failing.store(false, Ordering::Relaxed);
        });
        tokio::time::sleep(BEFORE_CRASH).await;
        // The two that crash are others each time, never the one that fails.
        let places = CRASHED * number..CRASHED * (number + 1);
        for place in places.clone() {
            record.add(format_args!("{} crashes", samplers[place].id));
            samplers[place].tasks.abort_all();
        }
        tokio::time::sleep(REMOVED_AFTER).await;
        for place in places.clone() {
            store.remove(&format!("servers/{}", samplers[place].id));
        }
        tokio::time::sleep(DOWN - REMOVED_AFTER).await;
        for place in places {
            samplers[place] = start_sampler(&shared, &store, place, number + 1).await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    clients.join_all().await;

    let broken = shared.broken.lock().clone();
    for line in &broken {
        record.add(line);
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let summary = format!(
        "streams {}, whole {}, resumed runs {}, answers of 500 {}, ORDER broken {}",
        count(&shared.streams),
        count(&shared.whole),
        count(&shared.resumed),
        count(&shared.failed),
        broken.len()
    );
    eprintln!("{summary}");
    record.add(summary);
    if count(&shared.whole) == 0 {
        return Verdict::NotRun("no stream was served".into());
    }
    if entries.iter_mut().any(|entry| entry.has_ended()) {
        return Verdict::NotRun("a process has ended".into());
    }
    match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn main() -> ExitCode {
    case::run(play)
}
