//! Entries as real processes that are killed, stopped and resumed while they serve.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::Fleet;
use http::Method;
use http::StatusCode;
use load::Trainer;
use rig::Call;
use rig::RigConfig;
use rig::contracts;
use route::Ran;
use serde_json::json;
use standin::engine;
use wire::problem::Type;

const MEDIAN: u32 = 40;

fn make() -> RigConfig {
    RigConfig {
        engine: engine::Make {
            median: MEDIAN,
            ..engine::Make::default()
        },
        contracts: vec![contracts::text("aarhus", "deadline = 3s\nstaleness = 1\n")],
        ..RigConfig::default()
    }
}

/// What became of the orders of a run.
#[derive(Default)]
struct Seen {
    created: Vec<String>,
    refused: Vec<String>,
}

/// Sends orders, each again under its key until it is settled, at entries in turn.
async fn orders(to: Vec<SocketAddr>, label: &str, count: usize) -> Seen {
    let mut seen = Seen::default();
    for number in 0..count {
        let key = format!("{label}-{number}");
        for turn in 0..20 {
            let order = Call::order(to[(number + turn) % to.len()], "aarhus", &key);
            let Ok(answer) = order.send().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            match answer.problem() {
                None => {
                    seen.created.push(key.clone());
                    break;
                }
                Some(problem) if problem.ran == Ran::No && turn == 19 => {
                    seen.refused.push(key.clone());
                }
                Some(problem) if problem.kind == Type::KeyInDoubt => break,
                Some(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
    seen
}

/// Checks what callers were told against the services' own logs.
fn check(fleet: &Fleet, seen: &[Seen]) {
    let ran = fleet.parts.executed_orders();
    assert_eq!(
        fleet.parts.repeated_orders(),
        Vec::<String>::new(),
        "no key runs twice"
    );
    for seen in seen {
        assert!(
            seen.created.iter().all(|key| ran.contains(key)),
            "created means run"
        );
        assert!(
            seen.refused.iter().all(|key| !ran.contains(key)),
            "refused means not run"
        );
    }
}

async fn load(fleet: &Fleet, callers: usize, count: usize) -> Vec<tokio::task::JoinHandle<Seen>> {
    let to = fleet.addrs();
    let run = |caller: usize| {
        let to = to.clone();
        tokio::spawn(async move { orders(to, &format!("c{caller}"), count).await })
    };
    (0..callers).map(run).collect()
}

async fn join(calls: Vec<tokio::task::JoinHandle<Seen>>) -> Vec<Seen> {
    let mut all = Vec::new();
    for call in calls {
        all.push(call.await.unwrap());
    }
    all
}

// Symptom: orders run twice, or "not run" is said of one that ran, around a crash.
// Sequence: entries are killed and started again while callers order, and order again.
// Cause: knowledge of a run that dies with the process.
#[tokio::test(flavor = "multi_thread")]
async fn orders_survive_killed_entries() {
    let mut fleet = Fleet::start(&make()).await;
    let calls = load(&fleet, 8, 40).await;

    for turn in 0..6 {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let entry = &mut fleet.entries[turn % 2];
        entry.kill();
        entry.restart();
        entry.ready().await;
    }
    let seen = join(calls).await;

    check(&fleet, &seen);
    let created: usize = seen.iter().map(|s| s.created.len()).sum();
    assert!(created > 250, "{created} of 320");
}

// Symptom: a process that was paused resumes and runs an order that another has run since.
// Sequence: an entry is stopped in the middle of its work for seconds; callers go elsewhere with
// the same keys; it resumes.
// Cause: a right to run that is believed in after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn orders_survive_paused_entries() {
    let mut make = make();
    make.extra_settings = "[journal]\nshards = 1\n".into();
    let fleet = Fleet::start(&make).await;
    let calls = load(&fleet, 8, 25).await;

    for turn in 0..4 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let entry = &fleet.entries[turn % 2];
        entry.pause();
        tokio::time::sleep(Duration::from_millis(600)).await;
        entry.resume();
    }
    let seen = join(calls).await;

    check(&fleet, &seen);
}

// Symptom: the trainer's step stalls, or holds samples twice, after a crash in the middle.
// Sequence: the entry that works on the step is killed and started again, twice.
// Cause: progress that only the dead process knew.
#[tokio::test(flavor = "multi_thread")]
async fn a_trainer_survives_killed_entries() {
    let mut fleet = Fleet::start(&make()).await;
    let trainer = Trainer {
        entries: fleet.addrs(),
        token: contracts::token("aarhus"),
        model: "fitting".parse().unwrap(),
        groups: 12,
        samples: 4,
        max_tokens: 400,
        steps: 3,
        train_time: Duration::from_millis(100),
        start_version: 1,
        label: "t".into(),
        median_tokens: MEDIAN,
    };
    let run = tokio::spawn(async move { trainer.run().await });

    for turn in 0..3 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let entry = &mut fleet.entries[turn % 2];
        entry.kill();
        entry.restart();
        entry.ready().await;
    }
    let run = tokio::time::timeout(Duration::from_secs(60), run);
    let seen = run.await.expect("the steps become whole").unwrap();

    assert_eq!((seen.steps, seen.samples), (3, 3 * 48));
    assert_eq!(seen.violations(), 0, "{seen:?}");
    assert!(seen.failures > 0, "the kills were felt");
}

// Symptom: a caller's stream breaks when its instance is replaced.
// Sequence: the process is told to terminate while a stream of seconds runs.
// Cause: ending on the signal.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_entry_ends_its_streams_whole() {
    let mut make = make();
    make.engine.speed = 30.0;
    make.contracts = vec![contracts::text("aarhus", "deadline = 30s\n")];
    let mut fleet = Fleet::start(&make).await;
    let to = fleet.entries[0].addr;
    let body = json!({"model": "fitting", "prompt": "a case", "stream": true, "seed": 3});
    let asked = Call::json(to, "aarhus", "/v1/completions", &body);
    let call = tokio::spawn(async move { asked.send().await });
    tokio::time::sleep(Duration::from_millis(200)).await;

    fleet.entries[0].terminate();
    let ready = async || {
        let asked = Call::new(to, "-", Method::GET, "/readyz");
        asked
            .send()
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    };
    while ready().await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let answer = call.await.unwrap().unwrap();

    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert!(fleet.entries[0].ended().await, "it ends with success");
}
