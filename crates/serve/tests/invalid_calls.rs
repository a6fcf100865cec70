//! Invalid calls: each one gets a typed error response, and the instance keeps serving.

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

fn rig_config() -> RigConfig {
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

fn call(addr: SocketAddr, method: Method, path: &str, body: &str) -> Call {
    Call::new(addr, "aarhus", method, path).body(body.to_owned())
}

const OPEN_STEP: &str = r#"{"model":"fitting","groups":["a"],"samples":1,"version":1}"#;

#[parameterized(
    unknown_path = { Method::GET, "/v2/x", "", Type::NotFound },
    wrong_method = { Method::GET, "/v1/completions", "", Type::Method },
    unknown_service = { Method::GET, "/v1/services/voucher/x", "", Type::NotCovered },
    unknown_model = { Method::POST, "/v1/completions", r#"{"model":"x","prompt":"p"}"#, Type::NotCovered },
    invalid_json = { Method::POST, "/v1/completions", "{", Type::BadRequest },
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
    invalid_step = { Method::POST, "/v1/steps/%00/pull", r#"{"version":1}"#, Type::NotFound },
    end_of_unknown_step = { Method::DELETE, "/v1/steps/x.nord-0", "", Type::NotFound },
    weights_of_unknown_model = { Method::POST, "/v1/weights/x", r#"{"version":1}"#, Type::NotCovered },
)]
fn an_invalid_call_is_rejected_and_not_run(method: Method, path: &str, body: &str, expected: Type) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let addr = rig.addrs()[0];

        let answer = call(addr, method, path, body).send().await.unwrap();

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
        let after = Call::lookup(addr, "aarhus").send().await.unwrap();
        assert_eq!(after.status, StatusCode::OK);
    });
}

#[parameterized(
    missing = { None },
    unknown = { Some("Bearer token-of-nobody") },
    wrong_scheme = { Some("Basic dG9rZW4tYWFyaHVz") },
)]
fn a_call_without_a_valid_token_is_rejected(header: Option<&str>) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
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
    invalid_timeout = { unchanged, "x-request-timeout-ms", "soon", Type::BadRequest },
    zero_timeout = { unchanged, "x-request-timeout-ms", "0", Type::BadRequest },
)]
fn an_invalid_part_is_rejected_by_its_type(
    set_body: fn(Call, String) -> Call,
    name: &str,
    value: &str,
    expected: Type,
) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let order = Call::order(rig.addrs()[0], "aarhus", "k").header(name, value);

        let answer = set_body(order, "x".repeat(1_001)).send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, expected);
        assert!(rig.standins.executed_orders().is_empty());
    });
}

fn unchanged(call: Call, _: String) -> Call {
    call
}

/// Sends the start of a request and nothing more; returns the response.
async fn send_partial(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(10), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

// Guards against connections that are never released: callers connect, send part of a request and stay
// connected. Without timeouts for headers and bodies, the instance runs out of connections.
#[parameterized(
    headers = { "GET /v1/services/portal/x HTTP/1.1\r\nhost: a\r\n", "" },
    body = {
        "POST /v1/services/portal/orders HTTP/1.1\r\nhost: a\r\n\
         authorization: Bearer token-aarhus\r\ncontent-length: 10\r\n\r\nhalf",
        "slow-request"
    },
    not_http = { "\x16\x03\x01 no http at all\r\n\r\n", "400" },
)]
fn an_incomplete_request_times_out(text: &str, expected: &str) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let addr = rig.addrs()[0];

        let answer = send_partial(addr, text).await;

        assert!(answer.contains(expected), "{answer}");
        assert!(rig.standins.executed_orders().is_empty());
        let after = Call::lookup(addr, "aarhus").send().await.unwrap();
        assert_eq!(after.status, StatusCode::OK);
    });
}

// Guards against forged gossip: a message without a signature by the shared key, or for another protocol
// version, must not be applied, whatever address it comes from.
#[parameterized(
    unsigned = { None, "1", StatusCode::FORBIDDEN },
    wrong_signature = { Some("00"), "1", StatusCode::FORBIDDEN },
    wrong_version = { Some("valid"), "9", StatusCode::BAD_REQUEST },
    invalid_message = { Some("valid"), "1", StatusCode::BAD_REQUEST },
)]
fn an_invalid_peer_message_is_rejected(
    signature: Option<&str>,
    version: &str,
    expected: StatusCode,
) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let path = wire::peer::PING;
        let secret = wire::peer::Secret::new(rig::standins::PEER_SECRET);
        let valid = secret.sign(path, b"x");
        let mut message = call(rig.addrs()[0], Method::POST, path, "x");
        message = message.header(wire::peer::VERSION_HEADER, version);
        if let Some(signature) = signature {
            let signature = if signature == "valid" {
                &valid
            } else {
                signature
            };
            message = message.header(wire::peer::MAC_HEADER, signature);
        }

        let answer = message.send().await.unwrap();

        assert_eq!(answer.status, expected);
    });
}

#[test]
fn a_step_is_hidden_from_other_customers() {
    block(async {
        let mut config = rig_config();
        config.contracts.push(contracts::text("other", ""));
        let rig = Rig::start(&config).await.unwrap();
        let addr = rig.addrs()[0];
        let opened = call(addr, Method::POST, "/v1/steps", OPEN_STEP)
            .send()
            .await
            .unwrap();
        let opened: wire::caller::OpenedStep = opened.json().unwrap();
        let path = format!("/v1/steps/{}/pull", opened.step);

        let pull = Call::new(addr, "other", Method::POST, &path).body(r#"{"version":1}"#);
        let answer = pull.send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, Type::NotFound);
    });
}

/// Waits until a call has been sent to the service.
async fn wait_for_attempt(rig: &Rig) {
    let dispatcher = &rig.running().next().unwrap().app.dispatchers["portal"];
    let has_attempt = || dispatcher.with_upstreams(|all| all.iter().any(|u| u.outstanding > 0));
    let waiting = async {
        while !has_attempt() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), waiting)
        .await
        .expect("no call was sent to the service");
}

// Guards against a rejection that claims the call has not run although an earlier attempt has. An upstream
// runs the lookup and its response is lost; other calls take the slot, and the deadline passes while the
// second attempt is queued. The rejection must consider all attempts, not only the one that was not started.
#[test]
fn a_call_with_an_earlier_attempt_is_not_rejected_as_not_run() {
    block(async {
        let config = RigConfig {
            service_slots: 1,
            ..rig_config()
        };
        let rig = Rig::start(&config).await.unwrap();
        let service = &rig.standins.services[0];
        service.host.faults.change(|fault| {
            fault.mute = true;
            fault.delay = 100;
        });
        let lookup = || Call::lookup(rig.addrs()[0], "aarhus");

        let first = lookup().header("x-request-timeout-ms", "170");
        let others = async {
            wait_for_attempt(&rig).await;
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
