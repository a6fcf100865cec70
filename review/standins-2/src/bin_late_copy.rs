//! Case: the late copy of an answer of 500 counts as another failed attempt of the same item.

mod client;
mod engine;
mod fleet;
mod http1;
mod record;
#[allow(dead_code, unreachable_pub, reason = "shared with the tests of the platform")]
#[path = "../../../platform/tests/common/store.rs"]
mod store;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use engine::Behavior;
use engine::Engine;
use engine::Seen;
use fleet::Process;
use parking_lot::Mutex;
use record::Record;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(100);

/// Attempts that the route allows.
const MAX_ATTEMPTS: usize = 3;

/// Runs of the item that fail before one succeeds.
const FAILED_RUNS: usize = 2;

/// The item that fails.
const ITEM: &str = "b0";

/// Items of the batch job before: with them, one spoiled answer is less than 3 in 100 of the sampler's.
const FIRST_ITEMS: usize = 120;

fn lot(prefix: &str, step: u64, count: usize) -> Vec<u8> {
    let items: Vec<_> = (0..count)
        .map(|index| {
            json!({
                "Id": format!("{prefix}{index}"), "Path": format!("/steps/{prefix}{index}"),
                "Headers": {"X-Model": "m", "X-Token-Usage": "16,100", "X-Prompt-Prefix": format!("{:x}:16", index + 1)},
                "Body": STANDARD.encode(format!("body {index}")), "TokenCount": 116, "Group": format!("g{}", index / 4),
            })
        })
        .collect();
    json!({"Step": step, "Model": "m", "MinVersion": 1, "DesiredCount": count.div_ceil(4), "Items": items})
        .to_string()
        .into_bytes()
}

#[tokio::main]
async fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let (root, folder) = (args.next().unwrap(), args.next().unwrap());
    let record = Record::create(&folder.join("record.txt"));
    let temp = std::env::temp_dir().join(format!("snipeway-review-{}", std::process::id()));
    std::fs::create_dir_all(&temp).unwrap();
    // Dropping the run ends its processes.
    let code = timeout(LIMIT, run(trouble, &root, &temp, &record)).await.unwrap_or(2);
    record.line(&format!("exit code {code}"));
    let _ = std::fs::remove_dir_all(&temp);
    std::process::exit(code);
}

async fn run(trouble: bool, root: &std::path::Path, temp: &std::path::Path, record: &Record) -> i32 {
    record.line(&format!("trouble: {trouble}"));
    let store = store::Store::start().await;
    let behavior = Arc::new(Behavior {
        failing: HashMap::from([(ITEM.to_owned(), FAILED_RUNS)]),
        repeated: trouble.then(|| ITEM.to_owned()),
        long: "b",
    });
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut engines = Vec::new();
    for name in ["i-1", "i-2"] {
        engines.push(Engine::start(name, trouble, &behavior, &seen, record).await);
    }
    store.put("op/config", &json!({
        "Version": 3,
        "Routes": [{"Name": "steps", "Host": client::HOST, "Prefix": "/steps/", "RouteKind": "rollout",
            "TimeoutMs": 10_000, "TargetLatencyMs": 400, "Priority": 1, "Service": "fit",
            "MaxAttempts": MAX_ATTEMPTS, "QueueTtlS": 40.0, "DueMs": 7_500, "Resumable": true, "Sticky": true}],
        "Services": [{"Name": "fit", "HealthPath": "/healthz", "MaxConns": 160, "Protocol": "h1", "Tls": false,
            "Engine": {"Slots": 4, "KvCapacity": 90_000, "Stride": 1, "Models": [{"Name": "m"}]}}],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_000_000, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000},
    }));
    let entries: Vec<_> = engines.iter().map(|engine| (engine.id.clone(), engine.addr)).collect();
    let beating = store.share();
    tokio::spawn(async move {
        for beat in 1u64.. {
            for (id, addr) in &entries {
                beating.put(&format!("servers/{id}"), &json!({
                    "Service": "fit", "Address": addr.to_string(), "Zone": "nord", "Version": "1", "Slots": 4,
                    "State": "ready", "ColdLeftMs": 0, "SeqNo": beat, "Stage": "both",
                    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                }));
            }
            sleep(Duration::from_millis(1_200)).await;
        }
    });
    let control = Process::start(root, temp, "control", 1, store.addr);
    let entry = Process::start(root, temp, "entry", 2, store.addr);
    let mut is_ready = false;
    for _ in 0..100 {
        is_ready = client::send(entry.ready, "GET /-/readyz", "", b"").await.0 == 200;
        if is_ready {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    if !is_ready {
        record.line("the entry is not ready");
        return 2;
    }
    // Both processes know each other by then.
    sleep(Duration::from_secs(3)).await;
    for (name, step, count) in [("a", 0, FIRST_ITEMS), ("b", 1, 4)] {
        let id = format!("{name}0000001");
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\nContent-Type: application/json\r\n");
        let (status, _) = client::send(entry.front, "POST /steps/x", &headers, &lot(name, step, count)).await;
        record.line(&format!("batch job {id} of {count} items submitted: {status}"));
        if status != 202 {
            return 2;
        }
        let results = results(entry.front, &id, Duration::from_secs(30)).await;
        for result in &results {
            let text = result["Text"].as_str().unwrap_or_default().replace('\n', ", ");
            record.line(&format!("result of {}: {}, versions {}, text {text}", result["Id"], result["State"], result["Versions"]));
        }
        record.line(&format!("batch job {id}: {} of {count} results read", results.len()));
        if results.len() != count {
            return 2;
        }
        if name == "b" {
            return judge(&results, &seen, &engines, record, &entry, &control);
        }
    }
    2
}

/// Reads all results of a batch job at a process, for at most `limit`.
async fn results(addr: std::net::SocketAddr, lot: &str, limit: Duration) -> Vec<serde_json::Value> {
    let mut results: Vec<serde_json::Value> = Vec::new();
    let end = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < end {
        let head = format!("GET /-/lots/{lot}?After={}", results.len());
        let (status, body) = client::send(addr, &head, "X-Wait-Ms: 500\r\n", b"").await;
        let page: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        if status != 200 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        }
        results.extend(page["Results"].as_array().cloned().unwrap_or_default());
        if page["Total"].as_u64() == Some(results.len() as u64) {
            break;
        }
    }
    results
}

fn judge(
    results: &[serde_json::Value],
    seen: &Mutex<Seen>,
    engines: &[Engine],
    record: &Record,
    entry: &Process,
    control: &Process,
) -> i32 {
    for line in entry.log().lines().chain(control.log().lines()).filter(|line| line.contains(&format!("id={ITEM} "))) {
        record.line(&format!("log: {line}"));
    }
    for engine in engines {
        record.line(&format!("{} answered {} requests for items", engine.id, engine.answers.load(Ordering::Relaxed)));
    }
    let failed = seen.lock().failed.get(ITEM).copied().unwrap_or(0);
    let runs = seen.lock().runs.get(ITEM).copied().unwrap_or(0);
    let state = results.iter().find(|result| result["Id"] == ITEM).map(|result| result["State"].clone());
    record.line(&format!("item {ITEM}: state {state:?}, {runs} runs, {failed} answers of 500, {MAX_ATTEMPTS} allowed"));
    match state {
        Some(state) if state == "faulted" && failed < MAX_ATTEMPTS => 1,
        Some(state) if state == "completed" => 0,
        _ => 2,
    }
}
