//! Non-idempotent calls under faults: each key runs at most once, and a call that is reported as not
//! run did not run.

use http::StatusCode;
use kernel::RequestId;
use once::Fingerprint;
use once::Key;
use once::Record;
use once::Segment;
use plat::Put;
use plat::Txn;
use plat::keys;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use route::Ran;
use standin::Fault;
use wire::problem::Type;
use yare::parameterized;

fn rig_config() -> RigConfig {
    RigConfig {
        contracts: vec![contracts::text("aarhus", "deadline = 3s\n")],
        extra_settings: "[journal]\nshards = 2\n".into(),
        ..RigConfig::default()
    }
}

async fn rig() -> Rig {
    Rig::start(&rig_config()).await.unwrap()
}

fn down() -> Fault {
    Fault {
        down: true,
        ..Fault::default()
    }
}

fn mute() -> Fault {
    Fault {
        mute: true,
        ..Fault::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_runs_once_and_replays_its_response_on_any_instance() {
    let rig = rig().await;
    let addrs = rig.addrs();

    let first = Call::order(addrs[0], "aarhus", "k").send().await.unwrap();
    let again = Call::order(addrs[1], "aarhus", "k").send().await.unwrap();

    assert_eq!(first.status, StatusCode::CREATED);
    assert_eq!(again.status, StatusCode::CREATED);
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("idempotent-replayed"), Some("whole"));
    assert_eq!(rig.standins.executed_orders(), ["k"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn customers_do_not_share_keys() {
    let mut config = rig_config();
    config.contracts.push(contracts::text("other", ""));
    let rig = Rig::start(&config).await.unwrap();
    let addr = rig.addrs()[0];

    Call::order(addr, "aarhus", "k").send().await.unwrap();
    let other = Call::order(addr, "other", "k").send().await.unwrap();

    assert_eq!(other.status, StatusCode::CREATED);
    assert_eq!(rig.standins.executed_orders(), ["k", "k"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_of_another_request_is_refused() {
    let rig = rig().await;
    let addr = rig.addrs()[0];
    Call::order(addr, "aarhus", "k").send().await.unwrap();

    let other = Call::order(addr, "aarhus", "k")
        .body("cap")
        .send()
        .await
        .unwrap();

    let problem = other.problem().unwrap();
    assert_eq!((problem.kind, problem.ran), (Type::KeyMismatch, Ran::No));
}

#[parameterized(
    empty = { "", Type::BadRequest },
    long = { &"k".repeat(201), Type::BadRequest },
    old = { "01890a5d-ac96-774b-bcce-b302099a8057", Type::KeyExpired },
)]
fn bad_keys_are_refused(key: &str, expected: Type) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let rig = rig().await;

        let answer = Call::order(rig.addrs()[0], "aarhus", key)
            .send()
            .await
            .unwrap();

        assert_eq!(answer.problem().unwrap().kind, expected);
        assert!(rig.standins.executed_orders().is_empty());
    });
}

// Guards against running a key twice when two instances receive calls with it concurrently. This
// happens if the check and the write of the key are not atomic at the platform.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_at_two_instances_run_once() {
    let rig = rig().await;
    let addrs = rig.addrs();

    for round in 0..10 {
        let key = format!("k{round}");
        let calls: Vec<_> = (0..6)
            .map(|index| Call::order(addrs[index % 2], "aarhus", &key))
            .map(|order| tokio::spawn(async move { order.send().await.unwrap() }))
            .collect();
        let mut created = 0;
        for call in calls {
            let answer = call.await.unwrap();
            match answer.problem() {
                Some(problem) => assert_eq!(problem.kind, Type::KeyInDoubt, "{problem:?}"),
                None => created += 1,
            }
        }
        assert!(created >= 1);
    }

    assert_eq!(rig.standins.executed_orders().len(), 10);
}

// Guards against an order that runs although its caller received a response that says it did not,
// and against calls that hang. This happens if an order runs without a stored intent while the
// platform is unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_orders_are_refused_as_not_run_and_lookups_succeed() {
    let rig = rig().await;
    let addr = rig.addrs()[0];
    rig.standins.platform.host.faults.set(down());

    let order = Call::order(addr, "aarhus", "k").send().await.unwrap();
    let lookup = Call::lookup(addr, "aarhus").send().await.unwrap();
    rig.standins.platform.host.faults.set(Fault::default());
    let again = until_created(&rig, "k").await;

    let problem = order.problem().unwrap();
    assert_eq!((problem.kind, problem.ran), (Type::Journal, Ran::No));
    assert!(order.header("retry-after").is_some());
    assert_eq!(lookup.status, StatusCode::OK);
    assert!(again);
    assert_eq!(rig.standins.executed_orders(), ["k"]);
}

/// Repeats an order until it is created, for a few seconds. Returns whether it was.
async fn until_created(rig: &Rig, key: &str) -> bool {
    for _ in 0..60 {
        let answer = Call::order(rig.addrs()[0], "aarhus", key)
            .send()
            .await
            .unwrap();
        if answer.status == StatusCode::CREATED {
            return true;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    false
}

// Guards against an order that runs twice or whose key stays unusable, after the platform carried
// out a write and its response was lost. This happens if a lost response counts as a failed write.
#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_responses_cause_no_duplicate_run() {
    let rig = rig().await;
    let addrs = rig.addrs();
    let mut refused = Vec::new();
    for index in 0..12 {
        let fault = if index % 3 == 0 {
            mute()
        } else {
            Fault::default()
        };
        rig.standins.platform.host.faults.set(fault);
        let key = format!("k{index}");
        let answer = Call::order(addrs[index % 2], "aarhus", &key)
            .send()
            .await
            .unwrap();
        if answer
            .problem()
            .is_some_and(|problem| problem.ran == Ran::No)
        {
            refused.push(key);
        }
    }
    rig.standins.platform.host.faults.set(Fault::default());

    let executed = rig.standins.executed_orders();
    assert_eq!(rig.standins.repeated_orders(), Vec::<String>::new());
    assert!(
        refused.iter().all(|key| !executed.contains(key)),
        "{refused:?} {executed:?}"
    );
    // Every third order was sent during the fault. The others succeeded, or were refused without
    // being run.
    for key in &refused {
        assert!(until_created(&rig, key).await, "{key} cannot be used again");
    }
    assert_eq!(rig.standins.repeated_orders(), Vec::<String>::new());
}

// Guards against a key that stays in doubt although its order was refused as not run. The peer that
// writes the shard stores the intent, the platform's response is lost and the peer refuses the
// claim. The key must be released then, since the refusal does not prove that no intent was written.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_intent_a_peer_may_have_written_can_be_used_again() {
    let rig = rig().await;
    let addrs = rig.addrs();
    // Load both shards, so that the next claims are written without loading a shard first.
    for index in 0..8 {
        let key = format!("warm{index}");
        Call::order(addrs[0], "aarhus", &key).send().await.unwrap();
    }
    rig.standins.platform.host.faults.set(mute());
    let keys: Vec<_> = (0..16).map(|index| format!("k{index}")).collect();
    let orders = keys.iter().zip(addrs.iter().cycle());
    let orders = orders.map(|(key, addr)| async {
        let order = Call::order(*addr, "aarhus", key);
        order.send().await.unwrap().problem().unwrap().ran
    });
    let ran = futures_util::future::join_all(orders).await;
    rig.standins.platform.host.faults.set(Fault::default());

    assert_eq!(ran, [Ran::No; 16]);
    for key in &keys {
        assert!(until_created(&rig, key).await, "{key} cannot be used again");
    }
    assert_eq!(rig.standins.repeated_orders(), Vec::<String>::new());
}

// Guards against an order that runs again after the service carried it out and its response was
// lost. This happens if a request that may have run is retried.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_response_is_lost_stays_in_doubt() {
    let rig = rig().await;
    let addrs = rig.addrs();
    rig.standins
        .services
        .iter()
        .for_each(|s| s.host.faults.set(mute()));

    let lost = Call::order(addrs[0], "aarhus", "k").send().await.unwrap();
    rig.standins
        .services
        .iter()
        .for_each(|s| s.host.faults.set(Fault::default()));
    let again = Call::order(addrs[1], "aarhus", "k").send().await.unwrap();

    let problem = lost.problem().unwrap();
    assert_eq!((problem.kind, problem.ran), (Type::Upstream, Ran::Unknown));
    let problem = again.problem().unwrap();
    assert_eq!(
        (problem.kind, problem.ran),
        (Type::KeyInDoubt, Ran::Unknown)
    );
    assert_eq!(rig.standins.executed_orders(), ["k"]);
}

// Guards against an order that cannot be repeated although it never reached a service, because all
// of them refused connections. This happens if the intent is kept although the request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_could_not_connect_may_be_sent_again() {
    let rig = rig().await;
    let addr = rig.addrs()[0];
    rig.standins.services.iter().for_each(|s| s.host.stop());
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;

    let first = Call::order(addr, "aarhus", "k").send().await.unwrap();
    let second = Call::order(addr, "aarhus", "k").send().await.unwrap();

    for answer in [first, second] {
        let problem = answer.problem().unwrap_or_else(|| panic!("{answer:?}"));
        assert_eq!(problem.ran, Ran::No, "{problem:?}");
    }
    assert!(rig.standins.executed_orders().is_empty());
}

// Guards against an order that is sent to another process, which took over the address of a service that has ended, and
// whose answer counts as that of the service.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_not_sent_to_a_stranger_at_the_address_of_a_service() {
    let rig = rig().await;
    let mut strangers = Vec::new();
    for service in &rig.standins.services {
        service.host.stop();
        strangers.push(start_stranger(service.host.addr).await);
    }

    let order = Call::order(rig.addrs()[0], "aarhus", "k");
    let answer = order.send().await.unwrap();

    let problem = answer.problem().unwrap_or_else(|| panic!("{answer:?}"));
    assert_eq!(problem.ran, Ran::No, "{problem:?}");
    for stranger in strangers {
        assert!(stranger.executed_keys().is_empty());
    }
}

/// Starts another service at an address as soon as that is free.
async fn start_stranger(addr: std::net::SocketAddr) -> std::sync::Arc<standin::Service> {
    let service = standin::Service::new(std::time::Duration::ZERO, 4);
    let service = std::sync::Arc::new(service);
    loop {
        match service.serve(addr).await {
            Ok(_) => return service,
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
        }
    }
}

// Guards against an order that runs again at another instance, after the first instance wrote the
// intent, sent the order and was killed. This happens if only the killed instance knows of the run.
#[tokio::test(flavor = "multi_thread")]
async fn an_intent_outlives_its_instance() {
    let rig = rig().await;
    let key = Key::new("aarhus", "portal", "k").unwrap();
    let shard = key.shard(2);
    let record = Record::Intent {
        key,
        fingerprint: Fingerprint::new("POST", "/orders", b"blazer"),
        attempt: RequestId::generate().attempt(0),
        at: rig.running().next().unwrap().app.clock.wall(),
    };
    let segment = Segment {
        seq: 1,
        min_seq: 1,
        records: vec![record],
    };
    // The state that a killed instance leaves at the platform after it wrote the intent.
    let plat = plat::Client::new(vec![rig.standins.platform.host.addr]);
    let txn = Txn {
        puts: vec![
            Put::new(keys::shard_head(shard), "1"),
            Put::new(keys::segment(shard, 1), segment.encode().unwrap()),
        ],
        ..Txn::default()
    };
    plat.txn(&txn).await.unwrap();

    let answer = Call::order(rig.addrs()[0], "aarhus", "k")
        .send()
        .await
        .unwrap();

    assert_eq!(answer.problem().unwrap().kind, Type::KeyInDoubt);
    assert!(rig.standins.executed_orders().is_empty());
}

// Guards against calls that fail because the instance that writes a shard was killed while its peers
// still consider it live. This happens if a claim has no fallback to a local write.
#[tokio::test(flavor = "multi_thread")]
async fn orders_succeed_without_the_writer() {
    let mut rig = rig().await;
    rig.kill(1);
    let addr = rig.addrs()[0];

    for index in 0..8 {
        let answer = Call::order(addr, "aarhus", &format!("k{index}"))
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::CREATED, "{:?}", answer.problem());
    }

    assert_eq!(rig.standins.executed_orders().len(), 8);
}
