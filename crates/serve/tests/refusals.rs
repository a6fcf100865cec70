//! Bad calls: each gets its own typed answer, and none takes the instance down.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use route::Ran;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::problem::Type;
use yare::parameterized;

fn make() -> RigConfig {
    RigConfig {
        domains: vec!["nord"],
        engines: 1,
        services: 1,
        extra_settings: "[limits]\nbody = 1000\npatience = 300ms\nheaders = 300ms\n".into(),
        contracts: vec![contracts::text("aarhus", "")],
        ..RigConfig::default()
    }
}

fn block<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

fn call(to: SocketAddr, method: Method, path: &str, body: &str) -> Call {
    Call::new(to, "aarhus", method, path).body(body.to_owned())
}

const STEP: &str = r#"{"model":"fitting","groups":["a"],"samples":1,"version":1}"#;

#[parameterized(
    nowhere = { Method::GET, "/v2/x", "", Type::NotFound },
    method = { Method::GET, "/v1/completions", "", Type::Method },
    service = { Method::GET, "/v1/services/voucher/x", "", Type::NotCovered },
    model = { Method::POST, "/v1/completions", r#"{"model":"x","prompt":"p"}"#, Type::NotCovered },
    no_json = { Method::POST, "/v1/completions", "{", Type::BadRequest },
    no_prompt = { Method::POST, "/v1/completions", r#"{"model":"fitting"}"#, Type::BadRequest },
    unknown_field = {
        Method::POST, "/v1/completions", r#"{"model":"fitting","prompt":"p","x":1}"#,
        Type::BadRequest
    },
    no_tokens = {
        Method::POST, "/v1/completions", r#"{"model":"fitting","prompt":"p","max_tokens":0}"#,
        Type::BadRequest
    },
    bad_name = { Method::POST, "/v1/completions", r#"{"model":"A B","prompt":"p"}"#, Type::BadRequest },
    no_groups = {
        Method::POST, "/v1/steps",
        r#"{"model":"fitting","groups":[],"samples":1,"version":1}"#, Type::BadRequest
    },
    unknown_step = { Method::POST, "/v1/steps/x.nord-0/pull", r#"{"version":1}"#, Type::NotFound },
    odd_step = { Method::POST, "/v1/steps/%00/pull", r#"{"version":1}"#, Type::NotFound },
    end_unknown = { Method::DELETE, "/v1/steps/x.nord-0", "", Type::NotFound },
    weights_model = { Method::POST, "/v1/weights/x", r#"{"version":1}"#, Type::NotCovered },
)]
fn a_bad_call_is_refused_and_not_run(method: Method, path: &str, body: &str, expected: Type) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let to = rig.addrs()[0];

        let answer = call(to, method, path, body).send().await.unwrap();

        let problem = answer.problem().unwrap();
        assert_eq!(
            (problem.kind, problem.ran),
            (expected, Ran::No),
            "{problem:?}"
        );
        assert_eq!(answer.status.as_u16(), expected.status());
        assert_eq!(
            answer.header("content-type"),
            Some("application/problem+json")
        );
        assert!(answer.header("x-request-id").is_some());
        let after = Call::lookup(to, "aarhus").send().await.unwrap();
        assert_eq!(after.status, StatusCode::OK);
    });
}

#[parameterized(
    none = { None },
    wrong = { Some("Bearer token-of-nobody") },
    scheme = { Some("Basic dG9rZW4tYWFyaHVz") },
)]
fn a_call_without_a_good_token_is_refused(header: Option<&str>) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let mut lookup = Call::lookup(rig.addrs()[0], "aarhus");
        lookup.headers.clear();
        if let Some(header) = header {
            lookup = lookup.header("authorization", header);
        }

        let answer = lookup.send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, Type::Unauthorized);
        assert_eq!(answer.header("www-authenticate"), Some("Bearer"));
    });
}

#[parameterized(
    long_body = { Call::body, "x-a", "1", Type::TooLarge },
    deadline = { keep, "x-request-timeout-ms", "soon", Type::BadRequest },
    no_time = { keep, "x-request-timeout-ms", "0", Type::BadRequest },
)]
fn bad_parts_are_named(body: fn(Call, String) -> Call, name: &str, value: &str, expected: Type) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let order = Call::order(rig.addrs()[0], "aarhus", "k").header(name, value);

        let answer = body(order, "x".repeat(1_001)).send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, expected);
        assert!(rig.standins.executed_orders().is_empty());
    });
}

fn keep(asked: Call, _: String) -> Call {
    asked
}

/// Sends the beginning of a request and nothing more; returns what comes back.
async fn half(to: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(10), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

// Symptom: the instance takes no more calls.
// Sequence: callers open connections, send half a request and stay.
// Cause: no bound on the time in which headers or a body must come.
#[parameterized(
    headers = { "GET /v1/services/portal/x HTTP/1.1\r\nhost: a\r\n", "" },
    body = {
        "POST /v1/services/portal/orders HTTP/1.1\r\nhost: a\r\n\
         authorization: Bearer token-aarhus\r\ncontent-length: 10\r\n\r\nhalf",
        "slow-request"
    },
    garbage = { "\x16\x03\x01 no http at all\r\n\r\n", "400" },
)]
fn half_a_request_is_cut_off(text: &str, part: &str) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let to = rig.addrs()[0];

        let answer = half(to, text).await;

        assert!(answer.contains(part), "{answer}");
        assert!(rig.standins.executed_orders().is_empty());
        let after = Call::lookup(to, "aarhus").send().await.unwrap();
        assert_eq!(after.status, StatusCode::OK);
    });
}

// Symptom: somebody on the network makes instances believe what is not so.
// Sequence: a message for peers comes without the shared key's signature, or for another version.
// Cause: peers that are believed by their address.
#[parameterized(
    unsigned = { None, "1", StatusCode::FORBIDDEN },
    wrong = { Some("00"), "1", StatusCode::FORBIDDEN },
    version = { Some("good"), "9", StatusCode::BAD_REQUEST },
    no_message = { Some("good"), "1", StatusCode::BAD_REQUEST },
)]
fn a_strange_peer_is_refused(sign: Option<&str>, version: &str, expected: StatusCode) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let path = wire::peer::PING;
        let secret = wire::peer::Secret::new(rig::standins::PEER_SECRET);
        let good = secret.sign(path, b"x");
        let mut asked = call(rig.addrs()[0], Method::POST, path, "x");
        asked = asked.header(wire::peer::VERSION_HEADER, version);
        if let Some(sign) = sign {
            let sign = if sign == "good" { &good } else { sign };
            asked = asked.header(wire::peer::MAC_HEADER, sign);
        }

        let answer = asked.send().await.unwrap();

        assert_eq!(answer.status, expected);
    });
}

#[test]
fn a_step_belongs_to_its_customer() {
    block(async {
        let mut make = make();
        make.contracts.push(contracts::text("other", ""));
        let rig = Rig::start(&make).await.unwrap();
        let to = rig.addrs()[0];
        let opened = call(to, Method::POST, "/v1/steps", STEP)
            .send()
            .await
            .unwrap();
        let opened: wire::caller::OpenedStep = opened.json().unwrap();
        let path = format!("/v1/steps/{}/pull", opened.step);

        let pull = Call::new(to, "other", Method::POST, &path).body(r#"{"version":1}"#);
        let answer = pull.send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, Type::NotFound);
    });
}

/// Waits until a call is on its way to the service.
async fn begun(rig: &Rig) {
    let dispatcher = &rig.running().next().unwrap().app.dispatchers["portal"];
    let under_way = || dispatcher.all(|all| all.iter().any(|one| one.outstanding > 0));
    let waiting = async {
        while !under_way() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), waiting)
        .await
        .expect("no call was sent to the service");
}

// Symptom: a lookup is refused with the promise that it has not run, and it has.
// Sequence: an upstream runs it and its answer is lost; another call takes the place before the second attempt,
// and the deadline passes while that waits.
// Cause: the refusal looked at the attempt that was not begun, not at those before it.
#[test]
fn a_call_that_may_have_run_before_is_not_refused_as_not_run() {
    block(async {
        let make = RigConfig {
            service_slots: 1,
            ..make()
        };
        let rig = Rig::start(&make).await.unwrap();
        let service = &rig.standins.services[0];
        service.host.faults.change(|fault| {
            fault.mute = true;
            fault.delay = 100;
        });
        let lookup = || Call::lookup(rig.addrs()[0], "aarhus");

        let first = lookup().header("x-request-timeout-ms", "170");
        let others = async {
            begun(&rig).await;
            let calls = [lookup(), lookup(), lookup()];
            let _ = tokio::join!(calls[0].send(), calls[1].send(), calls[2].send());
        };
        let sending = first.send();
        let (answer, ()) = tokio::join!(sending, others);

        let problem = answer.unwrap().problem().unwrap();
        assert!(service.state.served() > 0);
        assert_eq!(problem.ran, Ran::Unknown, "{problem:?}");
    });
}
