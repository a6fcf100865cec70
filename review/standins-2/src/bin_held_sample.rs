//! Case: a sound item that was under way on three samplers that crashed is sent to no sampler any more.

mod client;
mod crashing;
mod fleet;
mod http1;
mod record;
#[allow(dead_code, unreachable_pub, reason = "shared with the tests of the platform")]
#[path = "../../../platform/tests/common/store.rs"]
mod store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use crashing::Sampler;
use crashing::Seen;
use fleet::Process;
use parking_lot::Mutex;
use record::Record;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(100);

/// Samplers of the service.
const SAMPLERS: usize = 12;

/// Samplers that crash at once: a share of 0.17 of twelve.
const CRASHING: usize = 2;

/// Crashes, the time between two, and the time until a sampler is back.
const CRASHES: usize = 36;
const CRASH_INTERVAL: Duration = Duration::from_millis(200);
const DOWN_TIME: Duration = Duration::from_millis(150);

/// Heartbeat of samplers; an entry is removed after three of silence.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Groups of a step, items of a group, and groups that the trainer waits for.
const GROUPS: usize = 52;
const GROUP_SIZE: usize = 4;
const WANTED: usize = 47;

/// One item of so many is a long one.
const LONG_PERIOD: usize = 12;

/// Time after which the trainer gives a step up.
const DEADLINE: Duration = Duration::from_secs(12);

/// Time for which an item has to be at no sampler, while the samplers are under half full.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Interval between two reads of a trainer.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last crash until the samplers count as steady: `ContactMs`.
const SETTLING: Duration = Duration::from_secs(3);

/// Time that the trainer trains.
const TRAINING: Duration = Duration::from_millis(500);

/// Steps in all, and the first one that is judged; samplers crash while those before it run.
const STEPS: u64 = 4;
const FIRST_JUDGED: u64 = 3;

type Groups = BTreeSet<Group>;

/// A group of a step: the step that asked for it first, and its prompt. Each step goes over the same prompts.
type Group = (u64, usize);

/// The ID of an item. Groups that come again keep their IDs; the items of another step have their own.
fn item_id((step, prompt): Group, index: usize) -> String {
    let mark = match (prompt * GROUP_SIZE + index) % LONG_PERIOD {
        0 => crashing::LONG_MARK,
        _ => 'x',
    };
    format!("{step}-{prompt:03}{mark}{index}")
}

/// The items of a group share their prompt, and so path, headers and body.
fn body(step: u64, groups: &Groups) -> Vec<u8> {
    let items = groups.iter().flat_map(|group| (0..GROUP_SIZE).map(move |index| (*group, index)));
    let items: Vec<_> = items
        .map(|(group, index)| {
            let prompt = group.1;
            json!({
                "Id": item_id(group, index), "Path": format!("/steps/{prompt}"),
                "Headers": {"X-Model": "m", "X-Token-Usage": "271,6000", "X-Length-Hint": "800",
                    "X-Prompt-Prefix": format!("a{prompt:x}:255,b{prompt:x}:16")},
                "Body": STANDARD.encode(format!("prompt {prompt}")), "TokenCount": 6271,
                "Group": format!("g{}-{prompt}", group.0),
            })
        })
        .collect();
    json!({"Step": step, "Model": "m", "MinVersion": 1, "DesiredCount": WANTED, "Items": items})
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

/// The samplers, which write their entries until they crash.
struct Service {
    store: store::Store,
    seen: Arc<Mutex<Seen>>,
    samplers: Mutex<Vec<Arc<Sampler>>>,
    last_crash: Mutex<Option<Instant>>,
}

impl Service {
    /// The number of runs that have begun.
    fn runs(&self) -> usize {
        self.seen.lock().items.values().map(|item| item.runs).sum()
    }

    async fn add(&self, name: &str) {
        let sampler = Arc::new(Sampler::start(name.to_owned(), &self.seen).await);
        self.store.put(&format!("servers/{name}"), &sampler.entry(1));
        self.samplers.lock().push(sampler);
    }

    async fn beat(&self) {
        for beat in 2u64.. {
            sleep(HEARTBEAT).await;
            for sampler in self.samplers.lock().iter() {
                self.store.put(&format!("servers/{}", sampler.id), &sampler.entry(beat));
            }
        }
    }

    /// Crashes some samplers, the next ones by a fixed order; each is back under a new ID after a while.
    async fn crash(self: &Arc<Self>, round: usize, record: &Record) {
        let mut gone = Vec::new();
        {
            let mut samplers = self.samplers.lock();
            for index in 0..CRASHING {
                let at = (round * 7 + index * 5) % samplers.len();
                gone.push(samplers.remove(at));
            }
        }
        *self.last_crash.lock() = Some(Instant::now());
        for (index, sampler) in gone.into_iter().enumerate() {
            record.line(&format!("{} crashes", sampler.id));
            sampler.crash();
            let service = self.clone();
            tokio::spawn(async move {
                sleep(DOWN_TIME).await;
                service.add(&format!("r{round}-{index}")).await;
                sleep(HEARTBEAT * 3 - DOWN_TIME).await;
                service.store.remove(&format!("servers/{}", sampler.id));
            });
        }
    }
}

/// A step as its trainer saw it.
struct Step {
    complete: Groups,
    timed_out: bool,
    /// Most places that were taken in the last [`IDLE_TIME`] before the deadline.
    busiest: usize,
    listed: BTreeMap<String, Value>,
}

/// Submits a step and waits until enough groups are complete, those of `carried` among them, or the time is up.
async fn train(service: &Service, entry: &Process, step: u64, groups: &Groups, carried: &Groups, record: &Record) -> Option<Step> {
    let id = format!("{step:x}f00d");
    let started = Instant::now();
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\nContent-Type: application/json\r\n");
    let (status, _) = client::send(entry.front, "POST /steps/x", &headers, &body(step, groups)).await;
    record.line(&format!("step {step}: batch job {id} of {} groups, carried over {carried:?}, submitted: {status}", groups.len()));
    if status != 202 {
        return None;
    }
    let mut result = Step {
        complete: Groups::new(),
        timed_out: true,
        busiest: 0,
        listed: BTreeMap::new(),
    };
    while started.elapsed() < DEADLINE {
        let read_at = Instant::now();
        if started.elapsed() + IDLE_TIME >= DEADLINE {
            result.busiest = result.busiest.max(service.seen.lock().running);
        }
        let head = format!("GET /-/lots/{id}?After={}", result.listed.len());
        let (status, page) = client::send(entry.front, &head, "X-Wait-Ms: 500\r\n", b"").await;
        let page: Value = serde_json::from_slice(&page).unwrap_or(Value::Null);
        for found in page["Results"].as_array().into_iter().flatten() {
            let name = found["Id"].as_str().unwrap_or_default().to_owned();
            result.listed.insert(name, found["State"].clone());
        }
        let is_complete = |group: &&Group| {
            (0..GROUP_SIZE).all(|index| result.listed.contains_key(&item_id(**group, index)))
        };
        result.complete = groups.iter().filter(is_complete).copied().collect();
        if result.complete.len() >= WANTED && carried.is_subset(&result.complete) {
            result.timed_out = false;
            break;
        }
        if status != 200 {
            record.line(&format!("step {step}: read answered {status}"));
        }
        sleep(READ_INTERVAL.saturating_sub(read_at.elapsed())).await;
    }
    record.line(&format!(
        "step {step}: {} results read, {} groups complete, time up: {}", result.listed.len(), result.complete.len(), result.timed_out
    ));
    Some(result)
}

async fn end(entry: &Process, step: u64, record: &Record) {
    let (status, _) = client::send(entry.front, &format!("DELETE /-/lots/{step:x}f00d"), "", b"").await;
    record.line(&format!("step {step}: ended by its trainer: {status}"));
}

async fn run(trouble: bool, root: &Path, temp: &Path, record: &Record) -> i32 {
    record.line(&format!("trouble: {trouble}"));
    let store = store::Store::start().await;
    let service = Arc::new(Service {
        store: store.share(),
        seen: Arc::default(),
        samplers: Mutex::default(),
        last_crash: Mutex::default(),
    });
    for index in 0..SAMPLERS {
        service.add(&format!("i-{index}")).await;
    }
    let beating = service.clone();
    tokio::spawn(async move { beating.beat().await });
    store.put("op/config", &json!({
        "Version": 3,
        "Routes": [{"Name": "steps", "Host": client::HOST, "Prefix": "/steps/", "RouteKind": "rollout",
            "TimeoutMs": 10_000, "TargetLatencyMs": 400, "Priority": 1, "Service": "rank",
            "MaxAttempts": 3, "QueueTtlS": 40.0, "DueMs": 7_500, "Resumable": true, "Sticky": true}],
        "Services": [{"Name": "rank", "HealthPath": "/healthz", "MaxConns": 160, "Protocol": "h1", "Tls": false,
            "Engine": {"Slots": crashing::SLOTS, "KvCapacity": 90_000, "Stride": 25, "Models": [{"Name": "m"}]}}],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 33_554_432, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000},
    }));
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
    sleep(Duration::from_secs(3)).await;
    if trouble {
        let (service, record) = (service.clone(), record.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(400)).await;
            for round in 0..CRASHES {
                // Never are more samplers down than may be.
                while service.samplers.lock().len() < SAMPLERS {
                    sleep(Duration::from_millis(5)).await;
                }
                service.crash(round, &record).await;
                sleep(CRASH_INTERVAL).await;
            }
        });
    }
    let mut carried = Groups::new();
    let mut broken = false;
    for step in 1..=STEPS {
        if step == FIRST_JUDGED {
            let last_crash = *service.last_crash.lock();
            let settled = last_crash.map(|at| (at + SETTLING).saturating_duration_since(Instant::now()));
            sleep(settled.unwrap_or_default()).await;
        }
        let is_carried = |prompt: &usize| carried.iter().any(|group| group.1 == *prompt);
        let fresh = (0..GROUPS).filter(|prompt| !is_carried(prompt)).map(|prompt| (step, prompt));
        let groups: Groups = carried.iter().copied().chain(fresh).collect();
        let runs_before = service.runs();
        let Some(result) = train(&service, &entry, step, &groups, &carried, record).await else {
            return 2;
        };
        if step >= FIRST_JUDGED {
            broken |= judge(&service, step, &groups, &result, runs_before, record);
        }
        end(&entry, step, record).await;
        if step >= FIRST_JUDGED {
            // Groups that were not complete come again, at most half of those that the trainer waits for.
            let left = groups.difference(&result.complete);
            carried = left.copied().take(WANTED / 2).collect();
        }
        sleep(TRAINING).await;
    }
    for line in entry.log().lines().chain(control.log().lines()).filter(|line| line.contains("quarantined")) {
        record.line(&format!("log: {line}"));
    }
    i32::from(broken)
}

/// Returns whether a step ran out of time while one of its items has never been at a sampler.
fn judge(service: &Service, step: u64, groups: &Groups, result: &Step, runs_before: usize, record: &Record) -> bool {
    let runs = service.runs() - runs_before;
    let seen = service.seen.lock();
    let places = SAMPLERS * crashing::SLOTS;
    record.line(&format!("step {step}: {runs} runs begun at samplers, {} of {places} places taken at its end, at most {} in the last 5 s", seen.running, result.busiest));
    let mut broken = false;
    for group in groups {
        for name in (0..GROUP_SIZE).map(|index| item_id(*group, index)) {
            if result.listed.contains_key(&name) {
                continue;
            }
            let item = seen.items.get(&name).cloned().unwrap_or_default();
            record.line(&format!(
                "step {step}: item {name} is not listed: {} runs at samplers so far, {} under way, finished {}",
                item.runs, item.running, item.finished
            ));
            broken |= result.timed_out && item.runs == 0 && runs > 0 && result.busiest.max(seen.running) * 2 < places;
        }
    }
    broken
}
