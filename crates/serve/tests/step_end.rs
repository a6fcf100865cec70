//! Ended steps: after the end is acknowledged, no sample of a step is started, run or scored.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use plat::budget::CallKind;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use serve::RunningInstance;
use standin::Fault;
use standin::engine;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use wire::caller::OpenedStep;
use wire::problem::Type;
use yare::parameterized;

/// Maximum time from the acknowledgement of an end until all activity of the step has stopped.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time after [`STOP_TIMEOUT`] during which the test observes activity.
const OBSERVATION: Duration = Duration::from_millis(3_000);

/// Maximum time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of each call to a slow platform, in milliseconds.
const SLOW_MS: u64 = 400;

/// Samples take half a minute each, and there are more than the engines have slots.
fn rig_config() -> RigConfig {
    RigConfig {
        engine: engine::Settings {
            speed: 10.0,
            median: 300,
            slots: 2,
            ..engine::Settings::default()
        },
        engines: 1,
        services: 0,
        contracts: vec![contracts::text("staff", "staleness = 1\n")],
        ..RigConfig::default()
    }
}

fn block<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

async fn open(addr: SocketAddr) -> String {
    let prompts: Vec<_> = (0..8).map(|g| format!("case {g}")).collect();
    let open = json!({
        "model": "fitting", "groups": prompts, "samples": 2, "max_tokens": 300, "version": 1
    });
    let answer = Call::json(addr, "staff", "/v1/steps", &open).send().await;
    let opened: OpenedStep = answer.unwrap().json().unwrap();
    opened.step
}

async fn end(addr: SocketAddr, step: &str) -> StatusCode {
    let path = format!("/v1/steps/{step}");
    let request = Call::new(addr, "staff", Method::DELETE, &path);
    request.send().await.unwrap().status
}

/// Ends a step, with retries until the end is acknowledged.
async fn end_until_acknowledged(addr: SocketAddr, step: &str) {
    until(async || end(addr, step).await == StatusCode::NO_CONTENT).await;
}

/// Pulls with an empty cursor. Returns the type of the refusal, if any.
async fn pull(addr: SocketAddr, step: &str) -> Option<Type> {
    let path = format!("/v1/steps/{step}/pull");
    let pull = json!({ "version": 1, "cursor": "", "limit": 8, "wait_ms": 100 });
    let answer = Call::json(addr, "staff", &path, &pull)
        .send()
        .await
        .unwrap();
    match answer.status {
        StatusCode::OK => None,
        _ => answer.problem().map(|problem| problem.kind),
    }
}

async fn until(mut done: impl AsyncFnMut() -> bool) {
    let start = tokio::time::Instant::now();
    while !done().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the condition was not met in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn tokens(rig: &Rig) -> u64 {
    rig.standins.engines.iter().map(|e| e.state.tokens()).sum()
}

async fn until_running(rig: &Rig) {
    let before = tokens(rig);
    until(async || tokens(rig) > before).await;
}

/// Returns the number of tokens generated during the observation, which begins [`STOP_TIMEOUT`] from now.
async fn late_tokens(rig: &Rig) -> u64 {
    tokio::time::sleep(STOP_TIMEOUT).await;
    let before = tokens(rig);
    tokio::time::sleep(OBSERVATION).await;
    tokens(rig) - before
}

fn platform(rig: &Rig, f: impl FnOnce(&mut Fault)) {
    rig.standins.platform.host.faults.change(f);
}

/// Starts an instance that can reach the platform and the upstreams, but no other instance.
async fn start_isolated(rig: &Rig) -> RunningInstance {
    start(rig, "ost-0", &rig.standins.shared).await
}

/// Starts an instance that reaches the platform through `proxy`, and every instance of the rig
/// directly.
async fn start_behind(rig: &Rig, proxy: SocketAddr) -> RunningInstance {
    let platform = rig.standins.platform.host.addr.to_string();
    let mut text = rig.standins.shared.replace(&platform, &proxy.to_string());
    for (name, addr) in ["nord-0", "syd-0"].iter().zip(rig.addrs()) {
        let domain = name.trim_end_matches("-0");
        text += &format!("[peer {name}]\ndomain = {domain}\naddress = {addr}\n");
    }
    start(rig, "vest-0", &text).await
}

async fn start(rig: &Rig, name: &str, shared: &str) -> RunningInstance {
    let text =
        format!("{shared}[instance]\nname = {name}\ndomain = {name}\nlisten = 127.0.0.1:0\n");
    let running = RunningInstance::start(serve::settings::read(name, &text).unwrap());
    let running = running.await.unwrap();
    until(async || {
        running.app.newest_revision() >= rig.entries[0].as_ref().unwrap().app.newest_revision()
    })
    .await;
    running
}

/// Starts a TCP proxy to an address. Aborting its task closes all its connections.
async fn start_proxy(server_addr: SocketAddr) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        // Dropped with this task, which closes all connections.
        let mut connections = JoinSet::new();
        while let Ok((mut client, _)) = listener.accept().await {
            connections.spawn(async move {
                let mut server = TcpStream::connect(server_addr).await.unwrap();
                let _ = copy_bidirectional(&mut client, &mut server).await;
            });
        }
    });
    (addr, task)
}

// Guards against samples that continue after the end of their step, at an engine or in its queue.
#[test]
fn running_and_waiting_samples_stop_at_the_end() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        until_running(&rig).await;

        end_until_acknowledged(rig.addrs()[1], &step).await;

        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// Guards against samples that wait for a scorer and are scored after the end of their step.
#[test]
fn no_score_is_requested_after_the_end() {
    block(async {
        let mut config = rig_config();
        config.engine.speed = 10_000.0;
        config.engine.slots = 16;
        config.domains = vec!["nord"];
        config.services = 1;
        config.service_slots = 1;
        config.service_time = Duration::from_millis(1_200);
        let more = "staleness = 1\nscorer = portal\nunscored = wait\n";
        config.contracts = vec![contracts::text("staff", more)];
        let rig = Rig::start(&config).await.unwrap();
        let scored = || rig.standins.services[0].state.served();
        let step = open(rig.addrs()[0]).await;
        until(async || scored() > 0).await;

        end_until_acknowledged(rig.addrs()[0], &step).await;

        tokio::time::sleep(STOP_TIMEOUT).await;
        let before = scored();
        tokio::time::sleep(OBSERVATION).await;
        assert_eq!(scored() - before, 0);
    });
}

// Guards against a step that is ended while the platform is unavailable, and that a later pull
// starts again although the end was acknowledged.
#[test]
fn an_acknowledged_end_is_durable_after_a_platform_outage() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        until_running(&rig).await;
        platform(&rig, |fault| fault.down = true);
        let first = end(rig.addrs()[0], &step).await;
        platform(&rig, |fault| fault.down = false);
        if first != StatusCode::NO_CONTENT {
            end_until_acknowledged(rig.addrs()[0], &step).await;
        }

        for addr in rig.addrs() {
            assert_eq!(pull(addr, &step).await, Some(Type::NotFound));
        }

        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// Guards against a step that becomes open again because a delayed save takes effect after its end.
#[test]
fn a_save_after_the_end_does_not_reopen_a_step() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        platform(&rig, |fault| fault.down = true);
        let step = open(rig.addrs()[0]).await;
        platform(&rig, |fault| {
            fault.down = false;
            fault.delay = SLOW_MS;
        });
        let leases = || {
            rig.standins
                .platform
                .state
                .calls
                .lease
                .load(Ordering::Relaxed)
        };
        let before = leases();
        until(async || leases() > before).await;

        end_until_acknowledged(rig.addrs()[0], &step).await;
        tokio::time::sleep(STOP_TIMEOUT).await;

        for addr in rig.addrs() {
            assert_eq!(pull(addr, &step).await, Some(Type::NotFound));
        }
        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// Guards against a step that keeps starting samples because the instance that receives its end
// cannot reach the instance that runs it.
#[parameterized(
    quick = { 0 },
    slow = { SLOW_MS },
)]
fn an_end_reaches_an_instance_that_cannot_be_notified(delay: u64) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let other = start_isolated(&rig).await;
        let step = open(rig.addrs()[0]).await;
        until_running(&rig).await;
        platform(&rig, |fault| fault.delay = delay);

        end_until_acknowledged(other.addr, &step).await;

        assert_eq!(late_tokens(&rig).await, 0);
        for addr in rig.addrs() {
            assert_eq!(pull(addr, &step).await, Some(Type::NotFound));
        }
    });
}

// Guards against an instance that keeps starting samples because it can reach neither the platform
// nor the instance that receives the end, although its peers can reach the platform.
#[test]
fn an_end_reaches_an_instance_through_its_peers() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let other = start_isolated(&rig).await;
        let (addr, task) = start_proxy(rig.standins.platform.host.addr).await;
        let home = start_behind(&rig, addr).await;
        let step = open(home.addr).await;
        until_running(&rig).await;
        task.abort();

        end_until_acknowledged(other.addr, &step).await;

        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// Guards against a pull that takes over a step while it is being ended, and starts it after its end.
#[test]
fn a_takeover_concurrent_with_the_end_stops() {
    block(async {
        let mut rig = Rig::start(&rig_config()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        rig.kill(0);
        let addr = rig.addrs()[0];
        until(async || rig.running().all(|e| e.app.view.lock().live().count() == 1)).await;
        platform(&rig, |fault| fault.delay = SLOW_MS);

        let (pulled, ended) = tokio::join!(pull(addr, &step), end(addr, &step));
        platform(&rig, |fault| fault.delay = 0);

        assert_eq!(ended, StatusCode::NO_CONTENT, "{pulled:?}");
        assert_eq!(late_tokens(&rig).await, 0);
        assert_eq!(pull(addr, &step).await, Some(Type::NotFound));
    });
}

// Guards against a repeated end that is refused as not found, after the first response was lost.
#[test]
fn a_repeated_end_is_acknowledged_again() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        end_until_acknowledged(rig.addrs()[0], &step).await;

        for addr in rig.addrs() {
            assert_eq!(end(addr, &step).await, StatusCode::NO_CONTENT);
        }
    });
}

// Guards against an open step that stops making progress because no query can confirm that it has
// not ended.
#[parameterized(
    down = { Fault { down: true, ..Fault::default() } },
    mute = { Fault { mute: true, ..Fault::default() } },
    limited = { Fault { limited: true, ..Fault::default() } },
    slow = { Fault { delay: 2_000, ..Fault::default() } },
)]
fn samples_are_started_while_the_platform_is_unavailable(fault: Fault) {
    block(async {
        let mut config = rig_config();
        // A sample takes two seconds, so samples that were started on an earlier reply finish within
        // twice the bound.
        config.engine.speed = 150.0;
        let rig = Rig::start(&config).await.unwrap();
        open(rig.addrs()[0]).await;
        until_running(&rig).await;

        rig.standins.platform.host.faults.set(fault);

        tokio::time::sleep(STOP_TIMEOUT).await;
        assert!(late_tokens(&rig).await > 0);
    });
}

// Guards against a customer that ends another customer's step, or learns that it exists.
#[test]
fn only_its_customer_ends_a_step() {
    block(async {
        let mut config = rig_config();
        config.contracts.push(contracts::text("cutters", ""));
        let rig = Rig::start(&config).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        let path = format!("/v1/steps/{step}");

        for addr in rig.addrs() {
            let foreign = Call::new(addr, "cutters", Method::DELETE, &path)
                .send()
                .await;
            assert_eq!(foreign.unwrap().status, StatusCode::NOT_FOUND);
        }

        assert_eq!(pull(rig.addrs()[1], &step).await, None);
    });
}

// Guards against queries for the end of a step that put more load on the platform than two reads a
// second, regardless of the length of the step.
#[test]
fn an_open_step_costs_two_reads_a_second_at_most() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let reads = || {
            let used = |entry: &RunningInstance| entry.app.plat.budget().used(CallKind::Read);
            rig.running().map(used).sum::<u64>()
        };
        tokio::time::sleep(OBSERVATION).await;
        let idle = reads();
        tokio::time::sleep(OBSERVATION).await;
        let idle = reads() - idle;
        open(rig.addrs()[0]).await;
        let before = reads();

        tokio::time::sleep(OBSERVATION).await;

        let read_count = (reads() - before).saturating_sub(idle);
        assert!(
            (1..=6).contains(&read_count),
            "{read_count} reads in {OBSERVATION:?}"
        );
    });
}
