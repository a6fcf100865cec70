//! Completions: a caller gets the complete answer to its own request or an error.

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

/// Median length of an engine's answers in tokens.
const MEDIAN_TOKENS: u32 = 60;

fn rig_config() -> RigConfig {
    RigConfig {
        engine: engine::Settings {
            median: MEDIAN_TOKENS,
            ..engine::Settings::default()
        },
        contracts: vec![contracts::text("aarhus", "deadline = 20s\n")],
        ..RigConfig::default()
    }
}

fn completion(rig: &Rig, prompt: &str, stream: bool) -> Call {
    let body = json!({
        "model": "fitting", "prompt": prompt, "max_tokens": 400, "seed": 7, "stream": stream
    });
    Call::json(rig.addrs()[0], "aarhus", "/v1/completions", &body)
}

/// Returns the complete answer to a prompt.
fn expected_text(prompt: &str) -> String {
    text::sample(prompt, 7, text::length(prompt, 7, MEDIAN_TOKENS, 400))
}

/// Sets the faults of all engines.
fn set_fault(rig: &Rig, fault: Fault) {
    rig.standins
        .engines
        .iter()
        .for_each(|e| e.host.faults.set(fault));
}

// Guards against a mangled or truncated answer: the engine's stream has duplicated and reordered chunks, or
// its connection is cut once or twice. Chunks must not be joined in the order of arrival, and the end of a
// connection must not be taken for the end of the answer.
#[parameterized(
    no_fault = { Fault::default() },
    shuffled = { Fault { shuffle: true, ..Fault::default() } },
    cut = { Fault { cut: 3, ..Fault::default() } },
    slow = { Fault { slow: 3.0, ..Fault::default() } },
)]
fn answers_are_complete(fault: Fault) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        set_fault(&rig, fault);
        let prompt = short_prompt();

        let answer = completion(&rig, &prompt, false).send().await.unwrap();

        let done: CompletionResponse = answer.json().unwrap();
        assert_eq!(done.choices[0].text, expected_text(&prompt));
        let tokens = done.usage.unwrap().completion_tokens;
        let span = Span {
            from: 0,
            to: tokens,
            version: 1,
        };
        assert_eq!(done.versions, [span]);
    });
}

/// Returns a prompt whose answer takes at most three cut streams of three chunks.
fn short_prompt() -> String {
    let fits = |prompt: &String| (30..72).contains(&text::length(prompt, 7, MEDIAN_TOKENS, 400));
    (0..).map(|n| format!("case {n}")).find(fits).unwrap()
}

/// Returns a prompt whose answer takes many chunks.
fn long_prompt() -> String {
    let fits = |prompt: &String| text::length(prompt, 7, MEDIAN_TOKENS, 400) > 120;
    (0..).map(|n| format!("case {n}")).find(fits).unwrap()
}

/// Returns the data of the events of a streamed answer.
fn events(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_complete_and_ends_with_done() {
    let rig = Rig::start(&rig_config()).await.unwrap();
    let prompt = short_prompt();

    let answer = completion(&rig, &prompt, true).send().await.unwrap();

    let events = events(&answer.body);
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    assert_eq!(events.last().map(String::as_str), Some(DONE));
    let pieces = events[..events.len() - 1].iter();
    let pieces: Vec<CompletionResponse> =
        pieces.map(|e| serde_json::from_str(e).unwrap()).collect();
    let text: String = pieces.iter().map(|p| p.choices[0].text.as_str()).collect();
    assert_eq!(text, expected_text(&prompt));
    assert!(pieces.len() > 2);
    assert!(pieces.last().unwrap().choices[0].finish_reason.is_some());
}

// Guards against a partial answer that looks complete: every engine's stream is cut after its first chunks
// were passed on to the caller. The caller's stream must not end normally while the rest is missing.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_completed_fails() {
    let rig = Rig::start(&rig_config()).await.unwrap();
    set_fault(
        &rig,
        Fault {
            cut: 1,
            ..Fault::default()
        },
    );

    let answer = completion(&rig, &long_prompt(), true).send().await;

    // The connection is closed after the error event, so the HTTP body is incomplete too.
    assert!(answer.is_err());
    set_fault(
        &rig,
        Fault {
            down: true,
            ..Fault::default()
        },
    );
    let answer = completion(&rig, "a long case", false).send().await.unwrap();
    assert!(matches!(
        answer.problem().unwrap().kind,
        Type::Upstream | Type::NoUpstream
    ));
}

// Guards against engines that keep generating for a disconnected caller: the caller closes its connection
// during a long stream, and the upstream request must be cancelled with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_releases_the_engine() {
    let mut config = rig_config();
    config.engine.speed = 20.0;
    let rig = Rig::start(&config).await.unwrap();
    let stream = completion(&rig, "a long case", true);
    let call = tokio::spawn(async move { stream.send().await });
    let app = rig.running().next().unwrap().app.clone();
    let running = || app.dispatchers["fitting"].with_upstreams(outstanding);
    wait_until(|| running() == 1).await;

    call.abort();

    wait_until(|| running() == 0).await;
    let addrs = rig.standins.engines.iter().map(|e| e.host.addr);
    for addr in addrs {
        let is_free = async || {
            let load = Call::new(addr, "-", Method::GET, wire::engine::LOAD);
            let load: wire::engine::LoadReport = load.send().await.unwrap().json().unwrap();
            load.running == 0
        };
        while !is_free().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn outstanding(all: &[route::Upstream]) -> u32 {
    all.iter().map(|u| u.outstanding).sum()
}

/// Waits up to ten seconds for a condition.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition was not met within ten seconds");
}

// Guards against a drain that cuts callers off: an entry is drained while a stream runs for some more
// seconds. It must wait for the stream before it closes connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_completes_a_running_stream() {
    let mut config = rig_config();
    config.engine.speed = 80.0;
    let mut rig = Rig::start(&config).await.unwrap();
    let stream = completion(&rig, &long_prompt(), true);
    let call = tokio::spawn(async move { stream.send().await });
    let entry = rig.entries[0].take().unwrap();
    let app = entry.app.clone();
    wait_until(|| app.dispatchers["fitting"].with_upstreams(outstanding) == 1).await;

    let completed = entry.drain().await;

    let answer = call.await.unwrap().unwrap();
    assert!(completed);
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(events(&answer.body).last().map(String::as_str), Some(DONE));
    let later = completion(&rig, "x", false).send().await.unwrap();
    assert_eq!(later.status, StatusCode::OK, "the other entry still serves");
}

// Guards against a call that is rejected only at its deadline: every engine is leaving, so it must be
// rejected at once instead of waiting for an engine to return.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_available_engines_is_rejected_at_once() {
    let rig = Rig::start(&rig_config()).await.unwrap();
    set_fault(
        &rig,
        Fault {
            leaving: true,
            ..Fault::default()
        },
    );
    let app = rig.running().next().unwrap().app.clone();
    let now = || app.clock.now();
    let is_leaving =
        |u: &route::Upstream| u.health.availability(now()) == route::Availability::Leaving;
    wait_until(|| app.dispatchers["fitting"].with_upstreams(|all| all.iter().all(is_leaving)))
        .await;

    let call = completion(&rig, "x", false);
    let response = call.send();
    let answer = tokio::time::timeout(Duration::from_secs(5), response).await;

    let answer = answer.expect("rejected long before the deadline of 20 s");
    let answer = answer.unwrap();
    assert_eq!(answer.problem().unwrap().kind, Type::NoUpstream);
    assert!(answer.header("retry-after").is_some());
}
