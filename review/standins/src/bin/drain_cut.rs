//! Streams of some seconds while the machines of the system are stopped and started in turn.
//!
//! The rule is LOST: around a SIGTERM, a request that was passed on to a sampler ends with a complete answer, unless
//! the sampler broke off, the deadline or the route's timeout was reached, or the sampler was still at work in the last
//! sixth of `GraceS`.

use std::collections::BTreeMap;
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
use review_standins::case::Verdict;
use review_standins::http1::Conn;
use review_standins::http1::message;
use review_standins::node::Node;
use review_standins::node::own_ip;
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

/// Events of a stream, and the time between two of them, in milliseconds: a stream takes 4.4 s. The longest samples
/// of the site have 80 events, and a step of an engine takes 39 ms and more.
const EVENTS: u64 = 80;
const GAP_MS: u64 = 55;

/// `GraceS`, and the moment from which a request that still runs at its sampler is not counted, in milliseconds after
/// the SIGTERM: the last sixth of it.
const GRACE_MS: u64 = 8_000;
const LAST_SIXTH_MS: u64 = GRACE_MS * 5 / 6;

/// Time that a client waits, in milliseconds.
const DEADLINE_MS: u64 = 12_000;

/// Clients of each zone; each opens one stream after the other.
const CLIENTS: usize = 25;

struct Shared {
    record: Record,
    next_id: AtomicU64,
    whole: AtomicUsize,
    /// The streams that ended early: the entry, the ID, and when, in milliseconds since the start.
    cut: Mutex<Vec<(usize, String, u64)>>,
    /// When the sampler of each stream began, in milliseconds since the start.
    begun: Mutex<BTreeMap<String, u64>>,
    /// What the platform knows of the entries: the address, and whether it sends new connections there.
    fronts: Vec<(SocketAddr, AtomicBool)>,
}

struct Sampler {
    id: String,
    slots: Semaphore,
    /// Requests that run or wait.
    busy: AtomicUsize,
    shared: Arc<Shared>,
}

impl Sampler {
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(head) = conn.head().await {
            if conn.body(&head, &mut Vec::new()).await.is_err() {
                return;
            }
            let id = head.header("x-attempt-id").to_owned();
            let busy = self.busy.load(Ordering::Relaxed);
            let load = format!("{},{},{SLOTS}", busy.min(SLOTS), busy.saturating_sub(SLOTS));
            let refusal = if head.header("x-expect-instance") != self.id {
                Some("HTTP/1.1 421 Misdirected Request")
            } else if busy >= SLOTS + QUEUE {
                Some("HTTP/1.1 503 Service Unavailable")
            } else {
                None
            };
            if let Some(start) = refusal {
                let headers = [
                    ("X-Attempt-Id", &*id),
                    ("X-Not-Executed", "1"),
                    ("X-Instance-Load", &*load),
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
                    self.run(&mut conn, &id, &load).await
                }
                () = conn.closed() => Err(std::io::ErrorKind::ConnectionReset.into()),
                () = tokio::time::sleep(Duration::from_millis(left)) => {
                    let headers = [("X-Attempt-Id", &*id), ("X-Not-Executed", "1")];
                    conn.write(&message("HTTP/1.1 503 Service Unavailable", &headers, b"")).await
                }
            };
            self.busy.fetch_sub(1, Ordering::Relaxed);
            if result.is_err() {
                self.shared.record.add(format_args!(
                    "{} drops {id}: its connection was closed",
                    self.id
                ));
                return;
            }
        }
    }

    async fn run(&self, conn: &mut Conn, id: &str, load: &str) -> std::io::Result<()> {
        let begun = self.shared.record.now();
        self.shared.begun.lock().insert(id.to_owned(), begun);
        self.shared
            .record
            .add(format_args!("{} runs {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\nX-Instance-Load: {load}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        conn.write(head.as_bytes()).await?;
        let mut ticks = tokio::time::interval(Duration::from_millis(GAP_MS));
        ticks.tick().await;
        for number in 1..=EVENTS {
            tokio::select! {
                _ = ticks.tick() => (),
                () = conn.closed() => return Err(std::io::ErrorKind::ConnectionReset.into()),
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .await?;
        }
        conn.write(b"0\r\n\r\n").await
    }
}

/// Asks an entry each second whether it is ready; after two misses it gets no new connections.
async fn watch_readiness(shared: Arc<Shared>, number: usize, ready: SocketAddr) {
    let mut misses = 0;
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        let answer = tokio::time::timeout(Duration::from_millis(900), async {
            let mut conn = Conn::new(TcpStream::connect(ready).await?);
            conn.write(&message(
                "GET /-/readyz HTTP/1.1",
                &[("Host", "ready")],
                b"",
            ))
            .await?;
            conn.head().await
        });
        let is_ready = matches!(answer.await, Ok(Ok(head)) if head.status() == 200);
        misses = if is_ready { 0 } else { misses + 1 };
        shared.fronts[number].1.store(misses < 2, Ordering::Relaxed);
    }
}

/// Opens streams one after the other, each on a new connection to the entry of its zone, or of the next zone that has
/// one in rotation.
async fn client(shared: Arc<Shared>, zone: usize, delay: Duration, until: tokio::time::Instant) {
    tokio::time::sleep(delay).await;
    while tokio::time::Instant::now() < until {
        let places = (0..ZONES.len()).map(|step| (zone + step) % ZONES.len());
        let mut places = places.filter(|place| shared.fronts[*place].1.load(Ordering::Relaxed));
        let place = places.next().unwrap_or(zone);
        let number = shared.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", 0xC000_0000_0000_0000 + number);
        shared.record.add(format_args!(
            "client opens {id} at the entry of {}",
            ZONES[place]
        ));
        let mut bytes = Vec::new();
        let limit = Duration::from_millis(DEADLINE_MS);
        let exchange = read_stream(shared.fronts[place].0, &id, &mut bytes);
        let result = tokio::time::timeout(limit, exchange).await;
        let last = String::from_utf8_lossy(&bytes)
            .lines()
            .filter(|line| line.starts_with("id: "))
            .count();
        match result {
            Ok(Ok(200)) => {
                shared.whole.fetch_add(1, Ordering::Relaxed);
                shared.record.add(format_args!(
                    "client got 200 for {id}, complete, {last} events"
                ));
            }
            Ok(Ok(status)) => {
                shared
                    .record
                    .add(format_args!("client got {status} for {id}"));
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            Ok(Err(error)) => {
                let now = shared.record.now();
                shared.record.add(format_args!(
                    "client: the connection of {id} ended after {last} events: {error}"
                ));
                shared.cut.lock().push((place, id, now));
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(_) => shared
                .record
                .add(format_args!("client gave {id} up at its deadline")),
        }
    }
}

/// Returns the status of a complete answer.
async fn read_stream(front: SocketAddr, id: &str, bytes: &mut Vec<u8>) -> std::io::Result<u16> {
    let mut conn = Conn::new(TcpStream::connect(front).await?);
    let deadline = DEADLINE_MS.to_string();
    let prefix = format!("9c2e41:255,{id}:16");
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", &*deadline),
        ("X-Model", "m0"),
        ("X-Token-Usage", "271,5920"),
        ("X-Prompt-Prefix", &*prefix),
    ];
    let request = message(&format!("POST /talk/{id} HTTP/1.1"), &headers, &[b'p'; 600]);
    conn.write(&request).await?;
    let head = conn.head().await?;
    conn.body(&head, bytes).await?;
    Ok(head.status())
}

async fn play(case: Case) -> Verdict {
    let Case {
        record,
        store,
        deployment,
        trouble,
    } = case;
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
    let shared = Arc::new(Shared {
        record: record.clone(),
        next_id: AtomicU64::new(1),
        whole: AtomicUsize::new(0),
        cut: Mutex::default(),
        begun: Mutex::default(),
        fronts: entries
            .iter()
            .map(|entry| (entry.front, AtomicBool::new(true)))
            .collect(),
    });
    for place in 0..SAMPLERS {
        let listener = TcpListener::bind((own_ip(50 + place as u8), 0))
            .await
            .expect("a sampler can listen");
        let addr = listener
            .local_addr()
            .expect("a bound socket has an address");
        let id = format!("i-rank{place}");
        let sampler = Arc::new(Sampler {
            id: id.clone(),
            slots: Semaphore::new(SLOTS),
            busy: AtomicUsize::new(0),
            shared: shared.clone(),
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(sampler.clone().serve(stream));
            }
        });
        store.put(&format!("servers/{id}"), &json!({
            "Service": "rank-lm", "Address": addr.to_string(), "Zone": ZONES[place % ZONES.len()],
            "Version": "v1", "Slots": SLOTS, "State": "ready", "ColdLeftMs": 0, "SeqNo": 1,
            "Stage": "both", "Models": [{"Name": "m0", "Version": 1, "Adapters": []}],
        }));
    }
    for entry in &entries {
        if !entry.wait_ready().await {
            return Verdict::NotRun(format!("{} is not ready", entry.name));
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (number, entry) in entries.iter().enumerate() {
        tokio::spawn(watch_readiness(shared.clone(), number, entry.ready));
    }
    let round = Duration::from_secs(12);
    let until = tokio::time::Instant::now() + Duration::from_secs(6) + round * entries.len() as u32;
    let mut clients = JoinSet::new();
    for zone in 0..ZONES.len() {
        for number in 0..CLIENTS {
            // They begin evenly spread over the time of a stream.
            let delay = Duration::from_millis(EVENTS * GAP_MS * number as u64 / CLIENTS as u64);
            clients.spawn(client(shared.clone(), zone, delay, until));
        }
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut terms = Vec::new();
    for entry in &mut entries {
        let begin = tokio::time::Instant::now();
        if trouble {
            terms.push(record.now());
            record.add(format_args!("SIGTERM to {}", entry.name));
            entry.signal("TERM");
            if !end_within_grace(entry).await {
                return Verdict::NotRun(format!("{} did not leave", entry.name));
            }
            record.add(format_args!(
                "{} has ended and is started again",
                entry.name
            ));
            deployment.restart(entry);
            entry.wait_ready().await;
        }
        tokio::time::sleep_until(begin + round).await;
    }
    clients.join_all().await;
    judge(&shared, &terms)
}

/// Waits until a process has ended by itself; kills it after the grace time, as the platform does.
async fn end_within_grace(entry: &mut Node) -> bool {
    for _ in 0..GRACE_MS / 50 {
        if entry.has_ended() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    entry.kill();
    true
}

/// Judges by what clients and samplers saw.
fn judge(shared: &Shared, terms: &[u64]) -> Verdict {
    let begun = shared.begun.lock();
    let cut = shared.cut.lock();
    let (mut broken, mut excused, mut others) = (Vec::new(), 0, 0);
    for (place, id, at) in &*cut {
        let (Some(term), Some(begun)) = (terms.get(*place), begun.get(id)) else {
            others += 1;
            continue;
        };
        // Until 1 s after `GraceS`.
        if !(*term..=term + GRACE_MS + 1_000).contains(at) {
            others += 1;
            continue;
        }
        let end = begun + EVENTS * GAP_MS;
        if end >= term + LAST_SIXTH_MS {
            excused += 1;
            continue;
        }
        broken.push(format!(
            "LOST: stream {id} was cut {} ms after the SIGTERM; its sampler began {} ms and would have ended {} ms after it",
            at - term, *begun as i64 - *term as i64, end - term
        ));
    }
    for line in &broken {
        shared.record.add(line);
    }
    let whole = shared.whole.load(Ordering::Relaxed);
    let summary = format!(
        "streams complete {whole}, cut around a SIGTERM and counted {}, cut and not counted since the sampler would have been at work in the last sixth of GraceS {excused}, cut otherwise {others}",
        broken.len()
    );
    eprintln!("{summary}");
    shared.record.add(summary);
    if whole == 0 {
        return Verdict::NotRun("no stream was served".into());
    }
    match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn main() -> ExitCode {
    case::run(play)
}
