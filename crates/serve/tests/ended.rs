//! Steps that have ended: nothing of them begins, runs or is scored any more.

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
use serve::Running;
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

/// Time after an acknowledged end within which everything of the step has to be over.
const BOUND: Duration = Duration::from_millis(3_000);

/// Time after [`BOUND`] for which the engines are watched.
const WATCHED: Duration = Duration::from_millis(3_000);

/// Time within which something has to happen that a test waits for.
const PATIENCE: Duration = Duration::from_secs(10);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(5);

/// Milliseconds that each call of a slow platform waits.
const SLOW: u64 = 400;

/// Samples take half a minute each, and more wait than the engines have places for.
fn make() -> RigConfig {
    RigConfig {
        engine: engine::Make {
            speed: 10.0,
            median: 300,
            slots: 2,
            ..engine::Make::default()
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

async fn open(to: SocketAddr) -> String {
    let prompts: Vec<_> = (0..8).map(|g| format!("case {g}")).collect();
    let open = json!({
        "model": "fitting", "groups": prompts, "samples": 2, "max_tokens": 300, "version": 1,
    });
    let answer = Call::json(to, "staff", "/v1/steps", &open).send().await;
    let opened: OpenedStep = answer.unwrap().json().unwrap();
    opened.step
}

async fn end(to: SocketAddr, step: &str) -> StatusCode {
    let path = format!("/v1/steps/{step}");
    let asked = Call::new(to, "staff", Method::DELETE, &path);
    asked.send().await.unwrap().status
}

/// Ends a step, again and again until that is acknowledged.
async fn end_surely(to: SocketAddr, step: &str) {
    until(async || end(to, step).await == StatusCode::NO_CONTENT).await;
}

/// Pulls with nothing held; gives the kind of the refusal.
async fn pull(to: SocketAddr, step: &str) -> Option<Type> {
    let path = format!("/v1/steps/{step}/pull");
    let pull = json!({ "version": 1, "cursor": "", "limit": 8, "wait_ms": 100 });
    let answer = Call::json(to, "staff", &path, &pull).send().await.unwrap();
    match answer.status {
        StatusCode::OK => None,
        _ => answer.problem().map(|problem| problem.kind),
    }
}

async fn until(mut done: impl AsyncFnMut() -> bool) {
    let start = tokio::time::Instant::now();
    while !done().await {
        assert!(start.elapsed() < PATIENCE, "it did not happen in time");
        tokio::time::sleep(LOOK).await;
    }
}

fn tokens(rig: &Rig) -> u64 {
    rig.standins.engines.iter().map(|e| e.state.tokens()).sum()
}

async fn running(rig: &Rig) {
    let before = tokens(rig);
    until(async || tokens(rig) > before).await;
}

/// Tokens that engines generate later than the bound after now.
async fn late_tokens(rig: &Rig) -> u64 {
    tokio::time::sleep(BOUND).await;
    let before = tokens(rig);
    tokio::time::sleep(WATCHED).await;
    tokens(rig) - before
}

fn platform(rig: &Rig, f: impl FnOnce(&mut Fault)) {
    rig.standins.platform.host.faults.change(f);
}

/// An instance that reaches the platform and the upstreams, and no other instance.
async fn apart(rig: &Rig) -> Running {
    start(rig, "ost-0", &rig.standins.shared).await
}

/// An instance that reaches the platform through `way`, and all instances of the rig.
async fn behind(rig: &Rig, way: SocketAddr) -> Running {
    let platform = rig.standins.platform.host.addr.to_string();
    let mut text = rig.standins.shared.replace(&platform, &way.to_string());
    for (name, addr) in ["nord-0", "syd-0"].iter().zip(rig.addrs()) {
        let domain = name.trim_end_matches("-0");
        text += &format!("[peer {name}]\ndomain = {domain}\naddress = {addr}\n");
    }
    start(rig, "vest-0", &text).await
}

async fn start(rig: &Rig, name: &str, shared: &str) -> Running {
    let text =
        format!("{shared}[instance]\nname = {name}\ndomain = {name}\nlisten = 127.0.0.1:0\n");
    let running = Running::start(serve::settings::read(name, &text).unwrap());
    let running = running.await.unwrap();
    until(async || running.app.newest() >= rig.entries[0].as_ref().unwrap().app.newest()).await;
    running
}

/// A way to an address that is cut when its task is aborted.
async fn way(to: SocketAddr) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        // Dropped with this task, and with it all that goes this way.
        let mut through = JoinSet::new();
        while let Ok((mut near, _)) = listener.accept().await {
            through.spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                let _ = copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });
    (addr, task)
}

// Samples that run at an engine, or wait for a place there, go on after the end of their step.
#[test]
fn what_runs_or_waits_at_the_end_stops() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        running(&rig).await;

        end_surely(rig.addrs()[1], &step).await;

        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// Samples that wait for a scorer are scored after the end of their step.
#[test]
fn no_score_is_asked_for_after_the_end() {
    block(async {
        let mut make = make();
        make.engine.speed = 10_000.0;
        make.engine.slots = 16;
        make.domains = vec!["nord"];
        make.services = 1;
        make.service_slots = 1;
        make.service_time = Duration::from_millis(1_200);
        let more = "staleness = 1\nscorer = portal\nunscored = wait\n";
        make.contracts = vec![contracts::text("staff", more)];
        let rig = Rig::start(&make).await.unwrap();
        let scored = || rig.standins.services[0].state.served();
        let step = open(rig.addrs()[0]).await;
        until(async || scored() > 0).await;

        end_surely(rig.addrs()[0], &step).await;

        tokio::time::sleep(BOUND).await;
        let before = scored();
        tokio::time::sleep(WATCHED).await;
        assert_eq!(scored() - before, 0);
    });
}

// A step whose end was acknowledged while the platform was away is begun anew by a later pull.
#[test]
fn an_end_while_the_platform_is_away_lasts_once_acknowledged() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        running(&rig).await;
        platform(&rig, |fault| fault.down = true);
        let first = end(rig.addrs()[0], &step).await;
        platform(&rig, |fault| fault.down = false);
        if first != StatusCode::NO_CONTENT {
            end_surely(rig.addrs()[0], &step).await;
        }

        for to in rig.addrs() {
            assert_eq!(pull(to, &step).await, Some(Type::NotFound));
        }

        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// A step that was saved late comes back, because its save takes effect after its end.
#[test]
fn a_save_behind_the_end_does_not_bring_a_step_back() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        platform(&rig, |fault| fault.down = true);
        let step = open(rig.addrs()[0]).await;
        platform(&rig, |fault| {
            fault.down = false;
            fault.delay = SLOW;
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

        end_surely(rig.addrs()[0], &step).await;
        tokio::time::sleep(BOUND).await;

        for to in rig.addrs() {
            assert_eq!(pull(to, &step).await, Some(Type::NotFound));
        }
        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// An end that comes to an instance which does not reach the one that works on the step: that one
// goes on beginning samples.
#[parameterized(
    quick = { 0 },
    slow = { SLOW },
)]
fn an_end_reaches_an_instance_that_nobody_can_tell(delay: u64) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let other = apart(&rig).await;
        let step = open(rig.addrs()[0]).await;
        running(&rig).await;
        platform(&rig, |fault| fault.delay = delay);

        end_surely(other.addr, &step).await;

        assert_eq!(late_tokens(&rig).await, 0);
        for to in rig.addrs() {
            assert_eq!(pull(to, &step).await, Some(Type::NotFound));
        }
    });
}

// An instance that reaches neither the platform nor the one at which the step ends takes the
// platform for away, though its peers reach it, and goes on beginning samples.
#[test]
fn an_end_reaches_an_instance_through_its_peers() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let other = apart(&rig).await;
        let (addr, task) = way(rig.standins.platform.host.addr).await;
        let home = behind(&rig, addr).await;
        let step = open(home.addr).await;
        running(&rig).await;
        task.abort();

        end_surely(other.addr, &step).await;

        assert_eq!(late_tokens(&rig).await, 0);
    });
}

// A pull that takes a step over while it is ended begins it behind the end.
#[test]
fn a_takeover_beside_the_end_does_not_last() {
    block(async {
        let mut rig = Rig::start(&make()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        rig.kill(0);
        let to = rig.addrs()[0];
        until(async || rig.running().all(|e| e.app.view.lock().live().count() == 1)).await;
        platform(&rig, |fault| fault.delay = SLOW);

        let (pulled, ended) = tokio::join!(pull(to, &step), end(to, &step));
        platform(&rig, |fault| fault.delay = 0);

        assert_eq!(ended, StatusCode::NO_CONTENT, "{pulled:?}");
        assert_eq!(late_tokens(&rig).await, 0);
        assert_eq!(pull(to, &step).await, Some(Type::NotFound));
    });
}

// An answer to the end is lost, and the end that comes again is told that there is no such step.
#[test]
fn an_end_that_comes_again_is_acknowledged_again() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        end_surely(rig.addrs()[0], &step).await;

        for to in rig.addrs() {
            assert_eq!(end(to, &step).await, StatusCode::NO_CONTENT);
        }
    });
}

// A step that is known to be open stands still because nobody can say that it has not ended.
#[parameterized(
    down = { Fault { down: true, ..Fault::default() } },
    mute = { Fault { mute: true, ..Fault::default() } },
    limited = { Fault { limited: true, ..Fault::default() } },
    slow = { Fault { delay: 2_000, ..Fault::default() } },
)]
fn samples_are_begun_while_the_platform_is_away(fault: Fault) {
    block(async {
        let mut make = make();
        // A sample takes two seconds, so what was begun on old word is over within twice the bound.
        make.engine.speed = 150.0;
        let rig = Rig::start(&make).await.unwrap();
        open(rig.addrs()[0]).await;
        running(&rig).await;

        rig.standins.platform.host.faults.set(fault);

        tokio::time::sleep(BOUND).await;
        assert!(late_tokens(&rig).await > 0);
    });
}

// Another customer ends a step that is not its own, or learns that it is there.
#[test]
fn only_its_customer_ends_a_step() {
    block(async {
        let mut make = make();
        make.contracts.push(contracts::text("cutters", ""));
        let rig = Rig::start(&make).await.unwrap();
        let step = open(rig.addrs()[0]).await;
        let path = format!("/v1/steps/{step}");

        for to in rig.addrs() {
            let foreign = Call::new(to, "cutters", Method::DELETE, &path).send().await;
            assert_eq!(foreign.unwrap().status, StatusCode::NOT_FOUND);
        }

        assert_eq!(pull(rig.addrs()[1], &step).await, None);
    });
}

// The questions whether a step has ended cost the platform more with the length of a step than a
// read or two a second.
#[test]
fn an_open_step_costs_two_reads_a_second_at_most() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let reads = || {
            let used = |entry: &Running| entry.app.plat.budget().used(CallKind::Read);
            rig.running().map(used).sum::<u64>()
        };
        tokio::time::sleep(WATCHED).await;
        let idle = reads();
        tokio::time::sleep(WATCHED).await;
        let idle = reads() - idle;
        open(rig.addrs()[0]).await;
        let before = reads();

        tokio::time::sleep(WATCHED).await;

        let asked = (reads() - before).saturating_sub(idle);
        assert!((1..=6).contains(&asked), "{asked} reads in {WATCHED:?}");
    });
}
