//! Completions: the whole answer to the caller's own request, or an error that says so.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use net::events::DONE;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use standin::Fault;
use standin::engine;
use standin::text;
use step::Span;
use wire::caller::CompletionResponse;
use wire::problem::Type;
use yare::parameterized;

const MEDIAN: u32 = 60;

fn make() -> RigConfig {
    RigConfig {
        engine: engine::Make {
            median: MEDIAN,
            ..engine::Make::default()
        },
        contracts: vec![contracts::text("aarhus", "deadline = 20s\n")],
        ..RigConfig::default()
    }
}

fn ask(rig: &Rig, prompt: &str, stream: bool) -> Call {
    let body = json!({
        "model": "fitting", "prompt": prompt, "max_tokens": 400, "seed": 7, "stream": stream,
    });
    Call::json(rig.addrs()[0], "aarhus", "/v1/completions", &body)
}

fn right(prompt: &str) -> String {
    text::whole(prompt, 7, text::length(prompt, 7, MEDIAN, 400))
}

fn set(rig: &Rig, fault: Fault) {
    rig.standins
        .engines
        .iter()
        .for_each(|e| e.host.faults.set(fault));
}

// Symptom: a parent gets a mangled or shortened answer.
// Sequence: the engine's stream is doubled and reordered, or cut once or twice on the way.
// Cause: pieces joined in the order of arrival; the end of a connection taken for the end of the
// answer.
#[parameterized(
    quiet = { Fault::default() },
    shuffled = { Fault { shuffle: true, ..Fault::default() } },
    cut = { Fault { cut: 3, ..Fault::default() } },
    slow = { Fault { slow: 3.0, ..Fault::default() } },
)]
fn answers_are_whole(fault: Fault) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let rig = Rig::start(&make()).await.unwrap();
        set(&rig, fault);
        let prompt = short();

        let answer = ask(&rig, &prompt, false).send().await.unwrap();

        let done: CompletionResponse = answer.json().unwrap();
        assert_eq!(done.choices[0].text, right(&prompt));
        let tokens = done.usage.unwrap().completion_tokens;
        let span = Span {
            from: 0,
            to: tokens,
            version: 1,
        };
        assert_eq!(done.versions, [span]);
    });
}

/// A prompt whose answer takes at most three cut streams of three chunks.
fn short() -> String {
    let fits = |prompt: &String| (30..72).contains(&text::length(prompt, 7, MEDIAN, 400));
    (0..).map(|n| format!("case {n}")).find(fits).unwrap()
}

/// A prompt whose answer takes many chunks.
fn long() -> String {
    let fits = |prompt: &String| text::length(prompt, 7, MEDIAN, 400) > 120;
    (0..).map(|n| format!("case {n}")).find(fits).unwrap()
}

/// The events of a streamed answer.
fn events(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_whole_and_ends_with_done() {
    let rig = Rig::start(&make()).await.unwrap();
    let prompt = short();

    let answer = ask(&rig, &prompt, true).send().await.unwrap();

    let events = events(&answer.body);
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    assert_eq!(events.last().map(String::as_str), Some(DONE));
    let pieces = events[..events.len() - 1].iter();
    let pieces: Vec<CompletionResponse> =
        pieces.map(|e| serde_json::from_str(e).unwrap()).collect();
    let text: String = pieces.iter().map(|p| p.choices[0].text.as_str()).collect();
    assert_eq!(text, right(&prompt));
    assert!(pieces.len() > 2);
    assert!(pieces.last().unwrap().choices[0].finish_reason.is_some());
}

// Symptom: a caller takes half an answer for all of it.
// Sequence: every engine dies in the middle of a stream whose first pieces were passed on.
// Cause: ending the stream properly though the rest is missing.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_finished_says_so() {
    let rig = Rig::start(&make()).await.unwrap();
    set(
        &rig,
        Fault {
            cut: 1,
            ..Fault::default()
        },
    );

    let answer = ask(&rig, &long(), true).send().await;

    // The connection breaks after the error, so the body is not even whole as HTTP.
    assert!(answer.is_err());
    set(
        &rig,
        Fault {
            down: true,
            ..Fault::default()
        },
    );
    let answer = ask(&rig, "a long case", false).send().await.unwrap();
    assert!(matches!(
        answer.problem().unwrap().kind,
        Type::Upstream | Type::NoUpstream
    ));
}

// Symptom: engines work for callers who have left.
// Sequence: a caller closes its connection in the middle of a long stream.
// Cause: an upstream request that outlives its caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_frees_the_engine() {
    let mut make = make();
    make.engine.speed = 20.0;
    let rig = Rig::start(&make).await.unwrap();
    let asked = ask(&rig, "a long case", true);
    let call = tokio::spawn(async move { asked.send().await });
    let app = rig.running().next().unwrap().app.clone();
    let running = || app.dispatchers["fitting"].all(outstanding);
    wait(|| running() == 1).await;

    call.abort();

    wait(|| running() == 0).await;
    let load = rig.standins.engines.iter().map(|e| e.host.addr);
    for addr in load {
        let free = async || {
            let load = Call::new(addr, "-", Method::GET, wire::engine::LOAD);
            let load: wire::engine::LoadReport = load.send().await.unwrap().json().unwrap();
            load.running == 0
        };
        while !free().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn outstanding(all: &[route::Upstream]) -> u32 {
    all.iter().map(|u| u.outstanding).sum()
}

/// Waits for up to ten seconds.
async fn wait(done: impl Fn() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("it did not happen within ten seconds");
}

// Symptom: a graceful stop cuts callers off.
// Sequence: an entry is told to leave while a stream of seconds runs.
// Cause: closing connections, or ending the process, as soon as it is told.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_lets_a_running_stream_end_whole() {
    let mut make = make();
    make.engine.speed = 80.0;
    let mut rig = Rig::start(&make).await.unwrap();
    let asked = ask(&rig, &long(), true);
    let call = tokio::spawn(async move { asked.send().await });
    let entry = rig.entries[0].take().unwrap();
    let app = entry.app.clone();
    wait(|| app.dispatchers["fitting"].all(outstanding) == 1).await;

    let whole = entry.drain().await;

    let answer = call.await.unwrap().unwrap();
    assert!(whole);
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(events(&answer.body).last().map(String::as_str), Some(DONE));
    let refused = ask(&rig, "x", false).send().await.unwrap();
    assert_eq!(refused.status, StatusCode::OK, "the other entry serves on");
}

// Symptom: a caller is told only at its deadline that nothing can be done.
// Sequence: every engine is out.
// Cause: waiting in the hope that one returns.
#[tokio::test(flavor = "multi_thread")]
async fn a_hopeless_call_is_refused_at_once() {
    let rig = Rig::start(&make()).await.unwrap();
    set(
        &rig,
        Fault {
            leaving: true,
            ..Fault::default()
        },
    );
    let app = rig.running().next().unwrap().app.clone();
    let now = || app.clock.now();
    let out = |u: &route::Upstream| u.health.availability(now()) == route::Availability::Leaving;
    wait(|| app.dispatchers["fitting"].all(|all| all.iter().all(out))).await;

    let asked = ask(&rig, "x", false);
    let call = asked.send();
    let answer = tokio::time::timeout(Duration::from_secs(5), call).await;

    let answer = answer.expect("refused long before the deadline of 20 s");
    let answer = answer.unwrap();
    assert_eq!(answer.problem().unwrap().kind, Type::NoUpstream);
    assert!(answer.header("retry-after").is_some());
}
