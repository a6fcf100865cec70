//! Orders (a `non_idempotent` route) while samplers answer some requests twice: the second copy arrives where the
//! answer to the next request on the connection is expected. Some of the answers that come twice are rejections.
//!
//! The rule is TWICE: an order runs once at most. Orders that ran although they were answered 429 or 503 (or 408, 421;
//! REFUSED) are recorded beside it.

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
use review_standins::case::Rng;
use review_standins::case::Verdict;
use review_standins::http1::Conn;
use review_standins::http1::Head;
use review_standins::http1::message;
use review_standins::node::own_ip;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

const ZONES: [&str; 4] = [
    "bern-halle",
    "olten-halle",
    "aarau-halle",
    "solothurn-halle",
];

/// Slots and queue of a sampler of `bon-api`.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Share of the answers that come twice: `x` of `garble`, `extra late`, in the site file.
const EXTRA: f64 = 0.03;
/// Samplers that do so: a half of four; `share` in the site file is 0.6.
const FAULTY: usize = 2;
/// Time for which they do so: `for_s` in the site file.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// How often they do, and the pause before each time: disruptions may come more than once.
const ROUNDS: u32 = 8;
const PAUSE: Duration = Duration::from_secs(2);

/// Entries in each zone, as on the sheet of the site.
const ENTRIES: [usize; 4] = [3, 1, 2, 2];

/// Clients at each entry: together more than all samplers take at once.
const CLIENTS: usize = 20;

/// Time between two orders of a client: all send at the same moments, as tills do after a change of prices.
const WAVE: Duration = Duration::from_millis(500);

/// Time that a client waits, in milliseconds, as `voucher-lookup` on the sheet.
const DEADLINE_MS: u64 = 2_000;

struct Sampler {
    id: String,
    is_faulty: bool,
    slots: Semaphore,
    /// Requests that run or wait.
    busy: AtomicUsize,
    rng: Mutex<Rng>,
    shared: Arc<Shared>,
}

struct Shared {
    record: Record,
    fault: AtomicBool,
    /// The samplers at which each order ran.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    /// The status that the client of each order got; 0 for none.
    answers: Mutex<BTreeMap<String, u16>>,
    extras: AtomicUsize,
    extra_rejections: AtomicUsize,
    answered: AtomicUsize,
    rejected: AtomicUsize,
    next_id: AtomicU64,
}

impl Sampler {
    fn load(&self) -> String {
        let busy = self.busy.load(Ordering::Relaxed);
        format!("{},{},{SLOTS}", busy.min(SLOTS), busy.saturating_sub(SLOTS))
    }

    fn rejection(&self, id: &str, status: &str) -> Vec<u8> {
        let load = self.load();
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Not-Executed", "1"),
            ("X-Instance-Load", &load),
        ];
        message(status, &headers, b"not run")
    }

    /// Serves a connection, one request at a time.
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Ok(head) = conn.head().await {
            let mut body = Vec::new();
            if conn.body(&head, &mut body).await.is_err() {
                return;
            }
            let id = head.header("x-attempt-id").to_owned();
            // A second copy that has not been sent when the disruption ends is not sent at all.
            let is_due = self.shared.fault.load(Ordering::Relaxed);
            if let Some((former, bytes)) = extra.take().filter(|_| is_due) {
                let is_rejection = bytes.windows(14).any(|part| part == b"X-Not-Executed");
                self.shared.record.add(format_args!(
                    "{} sends the answer to {former} again (rejection: {is_rejection}), where the answer to {id} is expected",
                    self.id
                ));
                self.shared.extras.fetch_add(1, Ordering::Relaxed);
                self.shared
                    .extra_rejections
                    .fetch_add(usize::from(is_rejection), Ordering::Relaxed);
                if conn.write(&bytes).await.is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&conn, &head, &id).await else {
                return;
            };
            if conn.write(&answer).await.is_err() {
                return;
            }
            let is_doubled = self.is_faulty
                && self.shared.fault.load(Ordering::Relaxed)
                && self.rng.lock().unit() < EXTRA;
            extra = is_doubled.then_some((id, answer));
        }
    }

    /// Runs or rejects a request; [`None`] if its connection was closed meanwhile.
    async fn answer(&self, conn: &Conn, head: &Head, id: &str) -> Option<Vec<u8>> {
        if head.header("x-expect-instance") != self.id {
            return Some(self.rejection(id, "HTTP/1.1 421 Misdirected Request"));
        }
        if self.busy.fetch_add(1, Ordering::Relaxed) >= SLOTS + QUEUE {
            self.busy.fetch_sub(1, Ordering::Relaxed);
            self.shared.rejected.fetch_add(1, Ordering::Relaxed);
            self.shared
                .record
                .add(format_args!("{} rejects {id}: full", self.id));
            return Some(self.rejection(id, "HTTP/1.1 503 Service Unavailable"));
        }
        let answer = self.run(conn, head, id).await;
        self.busy.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    async fn run(&self, conn: &Conn, head: &Head, id: &str) -> Option<Vec<u8>> {
        let left = head.header("x-deadline-ms").parse().unwrap_or(DEADLINE_MS);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(left);
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot.ok()?,
            () = conn.closed() => return None,
            () = tokio::time::sleep_until(deadline) => {
                return Some(self.rejection(id, "HTTP/1.1 503 Service Unavailable"));
            }
        };
        {
            let mut runs = self.shared.runs.lock();
            runs.entry(id.to_owned()).or_default().push(self.id.clone());
        }
        self.shared
            .record
            .add(format_args!("{} runs {id}", self.id));
        // 25 ms of work on average, between a half and one and a half of it.
        let work = 12.5 + 25.0 * self.rng.lock().unit();
        let end = tokio::time::Instant::now() + Duration::from_secs_f64(work / 1_000.0);
        tokio::select! {
            () = tokio::time::sleep_until(end.min(deadline)) => (),
            () = conn.closed() => return None,
        }
        drop(slot);
        let load = self.load();
        let stamp = format!("{}.{id}", self.id);
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Server-Stamp", &stamp),
            ("X-Instance-Load", &load),
            ("Content-Type", "text/plain"),
        ];
        // A sampler stops work at the deadline that it was given.
        Some(match end <= deadline {
            true => message("HTTP/1.1 200 OK", &headers, &[b'o'; 800]),
            false => message("HTTP/1.1 504 Gateway Timeout", &headers, b"late"),
        })
    }
}

/// Sends orders one after the other, each with an ID of its own, on connections that are kept open.
async fn client(
    shared: Arc<Shared>,
    front: SocketAddr,
    entry: String,
    until: tokio::time::Instant,
) {
    let mut conn = None;
    let mut waves = tokio::time::interval(WAVE);
    waves.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    while tokio::time::Instant::now() < until {
        waves.tick().await;
        let number = shared.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", 0xA000_0000_0000_0000 + number);
        shared
            .record
            .add(format_args!("client sends {id} to {entry}"));
        let result = order(&mut conn, front, &id).await;
        let status = result.as_ref().map_or(0, Head::status);
        shared.answers.lock().insert(id.clone(), status);
        shared
            .answered
            .fetch_add(usize::from(status == 200), Ordering::Relaxed);
        shared
            .record
            .add(format_args!("client got {status} for {id}"));
        match result {
            Ok(head) => {
                if head.header("connection").eq_ignore_ascii_case("close") {
                    conn = None;
                }
                let pause: f64 = head.header("retry-after").parse().unwrap_or(0.0);
                tokio::time::sleep(Duration::from_secs_f64(pause.min(1.0))).await;
            }
            Err(_) => conn = None,
        }
    }
}

async fn order(conn: &mut Option<Conn>, front: SocketAddr, id: &str) -> std::io::Result<Head> {
    let exchange = async {
        let mut open = match conn.take() {
            Some(open) => open,
            None => Conn::new(TcpStream::connect(front).await?),
        };
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", &deadline),
        ];
        let request = message(
            &format!("POST /order/{id} HTTP/1.1"),
            &headers,
            &[b'v'; 600],
        );
        open.write(&request).await?;
        let head = open.head().await?;
        open.body(&head, &mut Vec::new()).await?;
        *conn = Some(open);
        Ok(head)
    };
    // A client allows a little longer than it has said.
    let limit = Duration::from_millis(DEADLINE_MS + 500);
    let result = tokio::time::timeout(limit, exchange).await;
    result.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
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
        fault: AtomicBool::new(false),
        runs: Mutex::default(),
        answers: Mutex::default(),
        extras: AtomicUsize::new(0),
        extra_rejections: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
        rejected: AtomicUsize::new(0),
        next_id: AtomicU64::new(1),
    });
    store.put(
        "op/config",
        &json!({
            "Version": 3,
            "Routes": [{"Name": "orders", "Host": "ficu95.example", "Prefix": "/order/",
                "RouteKind": "non_idempotent", "TimeoutMs": 2_000, "TargetLatencyMs": 150,
                "Priority": 2, "Service": "bon-api", "MaxAttempts": 3}],
            "Services": [{"Name": "bon-api", "HealthPath": "/healthz", "MaxConns": 110,
                "Protocol": "h1", "Tls": false}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
                "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        }),
    );
    for (number, zone) in ZONES.iter().enumerate() {
        let ip = own_ip(50 + number as u8);
        let listener = TcpListener::bind((ip, 0))
            .await
            .expect("a sampler can listen");
        let addr = listener
            .local_addr()
            .expect("a bound socket has an address");
        let id = format!("i-bon{number}");
        let sampler = Arc::new(Sampler {
            id: id.clone(),
            is_faulty: number < FAULTY,
            slots: Semaphore::new(SLOTS),
            busy: AtomicUsize::new(0),
            rng: Mutex::new(Rng::new(7 + number as u64)),
            shared: shared.clone(),
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(sampler.clone().serve(stream));
            }
        });
        store.put(
            &format!("servers/{id}"),
            &json!({
                "Service": "bon-api", "Address": addr.to_string(), "Zone": zone, "Version": "v1",
                "Slots": SLOTS, "State": "ready", "ColdLeftMs": 0, "SeqNo": 1,
            }),
        );
    }
    let mut entries = Vec::new();
    let mut controls = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        for count in 1..=ENTRIES[number] {
            let place = 20 + entries.len() as u8;
            entries.push(deployment.start("entry", &format!("edge-{zone}-{count}"), zone, place));
        }
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

    let start = tokio::time::Instant::now();
    let until = start + (PAUSE + FAULT_TIME) * ROUNDS + PAUSE;
    let mut clients = tokio::task::JoinSet::new();
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
    for _ in 0..ROUNDS {
        tokio::time::sleep(PAUSE).await;
        if trouble {
            record.add("two samplers begin to answer some requests twice");
            shared.fault.store(true, Ordering::Relaxed);
        }
        tokio::time::sleep(FAULT_TIME).await;
        shared.fault.store(false, Ordering::Relaxed);
        record.add("the samplers answer once again");
    }
    clients.join_all().await;
    // What was sent on may still run.
    tokio::time::sleep(Duration::from_secs(3)).await;

    judge(&shared, entries.iter_mut().any(|entry| entry.has_ended()))
}

/// Judges by what clients and samplers saw.
fn judge(shared: &Shared, has_ended: bool) -> Verdict {
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let answers = shared.answers.lock();
    let (mut broken, mut refused) = (Vec::new(), Vec::new());
    for (id, samplers) in &*shared.runs.lock() {
        let status = answers.get(id).copied().unwrap_or(0);
        if samplers.len() > 1 {
            broken.push(format!(
                "TWICE: {id} ran at {}; its client got {status}",
                samplers.join(" and ")
            ));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused.push(format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                samplers.join(" and ")
            ));
        }
    }
    for line in broken.iter().chain(&refused) {
        shared.record.add(line);
    }
    let summary = format!(
        "orders {}, answered with 200 {}, rejected by samplers as full {}, answers sent twice {}, of them rejections {}, TWICE broken {}, REFUSED broken {}",
        answers.len(),
        count(&shared.answered),
        count(&shared.rejected),
        count(&shared.extras),
        count(&shared.extra_rejections),
        broken.len(),
        refused.len()
    );
    eprintln!("{summary}");
    shared.record.add(summary);
    if count(&shared.answered) == 0 {
        return Verdict::NotRun("no order was served".into());
    }
    if has_ended {
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
