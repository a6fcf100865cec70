//! Tests with entries as real processes that are killed, paused and resumed while they serve.

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

/// Median length of an engine's output, in tokens.
const MEDIAN_TOKENS: u32 = 40;

fn options() -> RigConfig {
    RigConfig {
        engine: engine::Settings {
            median: MEDIAN_TOKENS,
            ..engine::Settings::default()
        },
        contracts: vec![contracts::text("aarhus", "deadline = 3s\nstaleness = 1\n")],
        ..RigConfig::default()
    }
}

/// Keys of the orders that one caller sent, by outcome.
#[derive(Default)]
struct Outcomes {
    created: Vec<String>,
    refused: Vec<String>,
}

/// Sends `count` orders. Each is retried under its idempotency key, on the entries in turn, until its outcome is known.
async fn send_orders(entries: Vec<SocketAddr>, label: &str, count: usize) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for number in 0..count {
        let key = format!("{label}-{number}");
        for attempt in 0..20 {
            let request = Call::order(entries[(number + attempt) % entries.len()], "aarhus", &key);
            let Ok(answer) = request.send().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            match answer.problem() {
                None => {
                    outcomes.created.push(key.clone());
                    break;
                }
                Some(problem) if problem.ran == Ran::No && attempt == 19 => {
                    outcomes.refused.push(key.clone());
                }
                Some(problem) if problem.kind == Type::KeyInDoubt => break,
                Some(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
    outcomes
}

/// Checks the outcomes that callers received against the logs of the services.
fn assert_consistent(fleet: &Fleet, outcomes: &[Outcomes]) {
    let ran = fleet.parts.executed_orders();
    assert_eq!(
        fleet.parts.repeated_orders(),
        Vec::<String>::new(),
        "no key may run twice"
    );
    for outcomes in outcomes {
        assert!(
            outcomes.created.iter().all(|key| ran.contains(key)),
            "a created order must have run"
        );
        assert!(
            outcomes.refused.iter().all(|key| !ran.contains(key)),
            "a refused order must not have run"
        );
    }
}

async fn start_callers(
    fleet: &Fleet,
    callers: usize,
    count: usize,
) -> Vec<tokio::task::JoinHandle<Outcomes>> {
    let entries = fleet.addrs();
    let start = |caller: usize| {
        let entries = entries.clone();
        tokio::spawn(async move { send_orders(entries, &format!("c{caller}"), count).await })
    };
    (0..callers).map(start).collect()
}

async fn join(callers: Vec<tokio::task::JoinHandle<Outcomes>>) -> Vec<Outcomes> {
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.push(caller.await.unwrap());
    }
    outcomes
}

// Guards against orders that run twice, or that are reported as not run although they ran, around a crash. Entries are
// killed and restarted while callers send and retry orders; the record of a run must not be lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn orders_survive_killed_entries() {
    let mut fleet = Fleet::start(&options()).await;
    let callers = start_callers(&fleet, 8, 40).await;

    for round in 0..6 {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let entry = &mut fleet.entries[round % 2];
        entry.kill();
        entry.restart();
        entry.wait_ready().await;
    }
    let outcomes = join(callers).await;

    assert_consistent(&fleet, &outcomes);
    let created: usize = outcomes.iter().map(|o| o.created.len()).sum();
    assert!(created > 250, "{created} of 320");
}

// Guards against a process that resumes after a pause and runs an order that another entry has run meanwhile. An entry
// is stopped while it works, callers retry the same keys elsewhere, and it resumes; it must not rely on a claim that
// it held before the pause.
#[tokio::test(flavor = "multi_thread")]
async fn orders_survive_paused_entries() {
    let mut options = options();
    options.extra_settings = "[journal]\nshards = 1\n".into();
    let fleet = Fleet::start(&options).await;
    let callers = start_callers(&fleet, 8, 25).await;

    for round in 0..4 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let entry = &fleet.entries[round % 2];
        entry.pause();
        tokio::time::sleep(Duration::from_millis(600)).await;
        entry.resume();
    }
    let outcomes = join(callers).await;

    assert_consistent(&fleet, &outcomes);
}

// Guards against a step that stalls or returns samples twice after a crash. Entries that work on the step are killed
// and restarted several times; its progress must not be known to one process alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_trainer_survives_killed_entries() {
    let mut fleet = Fleet::start(&options()).await;
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
        median_tokens: MEDIAN_TOKENS,
    };
    let run = tokio::spawn(async move { trainer.run().await });

    for round in 0..3 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let entry = &mut fleet.entries[round % 2];
        entry.kill();
        entry.restart();
        entry.wait_ready().await;
    }
    let run = tokio::time::timeout(Duration::from_secs(60), run);
    let tally = run.await.expect("the steps must complete").unwrap();

    assert_eq!((tally.steps, tally.samples), (3, 3 * 48));
    assert_eq!(tally.violations(), 0, "{tally:?}");
    assert!(tally.failures > 0, "the kills must cause failed calls");
}

// Guards against a caller's stream that breaks when its instance is replaced. The process receives SIGTERM while a
// stream of several seconds runs; it must not exit before the stream has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_entry_completes_its_streams() {
    let mut options = options();
    options.engine.speed = 30.0;
    options.contracts = vec![contracts::text("aarhus", "deadline = 30s\n")];
    let mut fleet = Fleet::start(&options).await;
    let addr = fleet.entries[0].addr;
    let body = json!({"model": "fitting", "prompt": "a case", "stream": true, "seed": 3});
    let request = Call::json(addr, "aarhus", "/v1/completions", &body);
    let call = tokio::spawn(async move { request.send().await });
    tokio::time::sleep(Duration::from_millis(200)).await;

    fleet.entries[0].terminate();
    let ready = async || {
        let probe = Call::new(addr, "-", Method::GET, "/readyz");
        probe
            .send()
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    };
    while ready().await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let answer = call.await.unwrap().unwrap();

    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert!(
        fleet.entries[0].wait_exit().await,
        "the process must exit with success"
    );
}
