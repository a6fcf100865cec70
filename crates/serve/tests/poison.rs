//! Requests that crash the upstreams that run them.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use standin::Faults;
use standin::fault::FATAL;
use wire::Problem;
use wire::caller::Batch;
use wire::caller::OpenedStep;
use wire::problem::Type;
use yare::parameterized;

/// Upstreams that such a request may end: three, and one while the third is looked at.
const MOST: usize = 4;

/// Time within which instances hear of one another's crashes: some rounds of probes.
const HEARD: Duration = Duration::from_secs(6);

fn block<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Two failure domains with two entries each, and upstreams that a body with the word can end.
async fn fixture(more: &str) -> Rig {
    let make = RigConfig {
        entries: 2,
        engines: 4,
        services: 4,
        contracts: vec![contracts::text("aarhus", more)],
        ..RigConfig::default()
    };
    let rig = Rig::start(&make).await.unwrap();
    for faults in services(&rig).chain(engines(&rig)) {
        faults.change(|fault| fault.fatal = true);
    }
    rig
}

fn services(rig: &Rig) -> impl Iterator<Item = &Faults> {
    rig.standins.services.iter().map(|part| &part.host.faults)
}

fn engines(rig: &Rig) -> impl Iterator<Item = &Faults> {
    rig.standins.engines.iter().map(|part| &part.host.faults)
}

/// Upstreams that have ended.
fn ended<'a>(all: impl Iterator<Item = &'a Faults>) -> usize {
    all.filter(|faults| faults.get().down).count()
}

fn update(rig: &Rig, at: usize, body: &'static str) -> Call {
    let path = "/v1/services/portal/size/1";
    Call::new(rig.addrs()[at], "aarhus", Method::PUT, path).body(body)
}

async fn problem(asked: Call) -> Problem {
    asked.send().await.unwrap().problem().unwrap()
}

// Symptom: a service has no upstream left. Sequence: one call, under a new id each time, ends the upstream that
// runs it; an entry tries the next one, and so does another entry. Cause: nobody counted what a call did.
#[test]
fn a_call_that_ends_its_upstreams_is_sent_no_more() {
    block(async {
        let mut rig = fixture("").await;

        let first = problem(update(&rig, 0, FATAL)).await;
        tokio::time::sleep(HEARD).await;
        let again = problem(update(&rig, 0, FATAL)).await;
        let known = ended(services(&rig));
        let there = problem(update(&rig, 3, FATAL)).await;
        let other = update(&rig, 3, "hello").send().await.unwrap();
        for at in 0..4 {
            rig.kill(at);
            rig.restart(at).await.unwrap();
        }
        rig.wait_for_revision(1).await.unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let anew = problem(update(&rig, 1, FATAL)).await;

        assert!(known <= MOST, "{known} upstreams ended");
        assert_eq!(first.ran, route::Ran::Unknown);
        for problem in [again, there, anew] {
            assert_eq!(
                (problem.kind, problem.ran),
                (Type::Quarantined, route::Ran::No)
            );
            assert!(problem.retry_after_ms > Some(500_000));
        }
        assert_eq!(ended(services(&rig)), known);
        assert_eq!(other.status, StatusCode::OK);
    });
}

// The same where a customer's order may run only once: each key is a call of its own, and each one ended an
// upstream.
#[test]
fn an_order_that_ends_its_upstreams_is_sent_no_more() {
    block(async {
        let rig = fixture("").await;
        let order = |at: usize| {
            let order = Call::order(rig.addrs()[0], "aarhus", &format!("key-{at}"));
            order.body(FATAL)
        };

        let mut kinds = Vec::new();
        for at in 0..7 {
            kinds.push(problem(order(at)).await.kind);
        }

        let ended = ended(services(&rig));
        assert!(ended <= MOST, "{ended} upstreams ended");
        assert_eq!(kinds.last(), Some(&Type::Quarantined));
    });
}

#[parameterized(
    whole = { false },
    streamed = { true },
)]
fn a_completion_that_ends_its_engines_is_sent_no_more(stream: bool) {
    block(async {
        let rig = fixture("deadline = 20s\n").await;
        let body = json!({
            "model": "fitting", "prompt": "a fatal case", "max_tokens": 40, "seed": 7,
            "stream": stream,
        });

        for _ in 0..4 {
            let asked = Call::json(rig.addrs()[0], "aarhus", "/v1/completions", &body);
            // A stream is cut off, so that it does not look whole.
            let _ = asked.send().await;
        }

        let ended = ended(engines(&rig));
        assert!((3..=MOST).contains(&ended), "{ended} engines ended");
    });
}

// A sample ended one engine after the other; its step's other samples lost their runs each time.
#[test]
fn a_sample_that_ends_its_engines_is_held() {
    block(async {
        let rig = fixture("staleness = 1\n").await;
        let open = json!({
            "model": "fitting", "groups": ["case 0", "a fatal case", "case 2"], "samples": 1,
            "max_tokens": 40, "version": 1,
        });
        let opened = Call::json(rig.addrs()[0], "aarhus", "/v1/steps", &open);
        let opened: OpenedStep = opened.send().await.unwrap().json().unwrap();

        let (mut cursor, mut got) = (String::new(), Vec::new());
        for _ in 0..16 {
            let path = format!("/v1/steps/{}/pull", opened.step);
            let pull = json!({"version": 1, "cursor": cursor, "limit": 9, "wait_ms": 300});
            let answer = Call::json(rig.addrs()[0], "aarhus", &path, &pull)
                .send()
                .await;
            let batch: Batch = answer.unwrap().json().unwrap();
            got.extend(batch.samples.iter().map(|sample| sample.index));
            cursor = batch.cursor;
        }

        let ended = ended(engines(&rig));
        assert!((3..=MOST).contains(&ended), "{ended} engines ended");
        got.sort_unstable();
        assert_eq!(got, [0, 2]);
    });
}

// A sample's request for its score ended one scorer after the other.
#[test]
fn a_request_for_a_score_that_ends_its_scorers_is_sent_no_more() {
    block(async {
        let rig = fixture("staleness = 1\nscorer = portal\nunscored = wait\n").await;
        for faults in engines(&rig) {
            faults.change(|fault| fault.fatal = false);
        }
        let open = json!({
            "model": "fitting", "groups": ["a fatal case", "case 1"], "samples": 1,
            "max_tokens": 40, "version": 1,
        });

        let opened = Call::json(rig.addrs()[0], "aarhus", "/v1/steps", &open);
        let status = opened.send().await.unwrap().status;
        tokio::time::sleep(Duration::from_secs(4)).await;

        assert!(status.is_success());
        let ended = ended(services(&rig));
        assert!((3..=MOST).contains(&ended), "{ended} scorers ended");
    });
}
