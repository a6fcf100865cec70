//! Non-idempotent calls under faults: each key runs at most once, and "not run" is true.

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

fn make() -> RigConfig {
    RigConfig {
        contracts: vec![contracts::text("aarhus", "deadline = 3s\n")],
        extra_settings: "[journal]\nshards = 2\n".into(),
        ..RigConfig::default()
    }
}

async fn rig() -> Rig {
    Rig::start(&make()).await.unwrap()
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
async fn the_same_key_runs_once_and_gets_its_answer_again_anywhere() {
    let rig = rig().await;
    let to = rig.addrs();

    let first = Call::order(to[0], "aarhus", "k").send().await.unwrap();
    let again = Call::order(to[1], "aarhus", "k").send().await.unwrap();

    assert_eq!(first.status, StatusCode::CREATED);
    assert_eq!(again.status, StatusCode::CREATED);
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("idempotent-replayed"), Some("whole"));
    assert_eq!(rig.standins.executed_orders(), ["k"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn customers_do_not_share_keys() {
    let mut make = make();
    make.contracts.push(contracts::text("other", ""));
    let rig = Rig::start(&make).await.unwrap();
    let to = rig.addrs()[0];

    Call::order(to, "aarhus", "k").send().await.unwrap();
    let other = Call::order(to, "other", "k").send().await.unwrap();

    assert_eq!(other.status, StatusCode::CREATED);
    assert_eq!(rig.standins.executed_orders(), ["k", "k"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_of_another_request_is_refused() {
    let rig = rig().await;
    let to = rig.addrs()[0];
    Call::order(to, "aarhus", "k").send().await.unwrap();

    let other = Call::order(to, "aarhus", "k")
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

// Symptom: two blazers arrive.
// Sequence: the parent presses twice; the balancer gives the two calls to two instances at once.
// Cause: a check and a write that are not one step at the platform.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_instances_at_once_runs_once() {
    let rig = rig().await;
    let to = rig.addrs();

    for turn in 0..10 {
        let key = format!("k{turn}");
        let calls: Vec<_> = (0..6)
            .map(|at| Call::order(to[at % 2], "aarhus", &key))
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

// Symptom: an order runs though its caller was told "not run", or callers hang.
// Sequence: the platform is away when the intent is to be written.
// Cause: running without a written intent.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_orders_are_refused_truly_and_lookups_go_on() {
    let rig = rig().await;
    let to = rig.addrs()[0];
    rig.standins.platform.host.faults.set(down());

    let order = Call::order(to, "aarhus", "k").send().await.unwrap();
    let lookup = Call::lookup(to, "aarhus").send().await.unwrap();
    rig.standins.platform.host.faults.set(Fault::default());
    let again = until_created(&rig, "k").await;

    let problem = order.problem().unwrap();
    assert_eq!((problem.kind, problem.ran), (Type::Journal, Ran::No));
    assert!(order.header("retry-after").is_some());
    assert_eq!(lookup.status, StatusCode::OK);
    assert!(again);
    assert_eq!(rig.standins.executed_orders(), ["k"]);
}

/// Sends an order again until it is created, for a few seconds.
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

// Symptom: an order runs twice, or never can.
// Sequence: the platform carries writes out and its answers are lost; then they come again.
// Cause: taking a lost answer for a failed write.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_platform_double_nothing() {
    let rig = rig().await;
    let to = rig.addrs();
    let mut refused = Vec::new();
    for turn in 0..12 {
        let fault = if turn % 3 == 0 {
            mute()
        } else {
            Fault::default()
        };
        rig.standins.platform.host.faults.set(fault);
        let key = format!("k{turn}");
        let answer = Call::order(to[turn % 2], "aarhus", &key)
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

    let ran = rig.standins.executed_orders();
    assert_eq!(rig.standins.repeated_orders(), Vec::<String>::new());
    assert!(
        refused.iter().all(|key| !ran.contains(key)),
        "{refused:?} {ran:?}"
    );
    // Every fourth order or so met the fault; the others went through or were told truly.
    for key in &refused {
        assert!(until_created(&rig, key).await, "{key} cannot be used again");
    }
    assert_eq!(rig.standins.repeated_orders(), Vec::<String>::new());
}

// Symptom: an order that was refused as "not run" can never be sent again: its key stays in doubt.
// Sequence: a peer writes the intent, the platform's answer is lost, the peer says "refused"; the
//   caller is told that nothing ran.
// Cause: taking the peer's refusal for proof that no intent was written, and giving nothing back.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_intent_a_peer_may_have_written_can_be_used_again() {
    let rig = rig().await;
    let to = rig.addrs();
    // Both shards have been read, so that the next question is a write at once.
    for turn in 0..8 {
        let key = format!("warm{turn}");
        Call::order(to[0], "aarhus", &key).send().await.unwrap();
    }
    rig.standins.platform.host.faults.set(mute());
    let keys: Vec<_> = (0..16).map(|turn| format!("k{turn}")).collect();
    let asked = keys.iter().zip(to.iter().cycle());
    let asked = asked.map(|(key, to)| async {
        let order = Call::order(*to, "aarhus", key);
        order.send().await.unwrap().problem().unwrap().ran
    });
    let ran = futures_util::future::join_all(asked).await;
    rig.standins.platform.host.faults.set(Fault::default());

    assert_eq!(ran, [Ran::No; 16]);
    for key in &keys {
        assert!(until_created(&rig, key).await, "{key} cannot be used again");
    }
    assert_eq!(rig.standins.repeated_orders(), Vec::<String>::new());
}

// Symptom: an order runs again after the service took it and died.
// Sequence: the service carries the order out and its answer is lost; the caller asks again.
// Cause: a retry of what may have run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_stays_in_doubt() {
    let rig = rig().await;
    let to = rig.addrs();
    rig.standins
        .services
        .iter()
        .for_each(|s| s.host.faults.set(mute()));

    let lost = Call::order(to[0], "aarhus", "k").send().await.unwrap();
    rig.standins
        .services
        .iter()
        .for_each(|s| s.host.faults.set(Fault::default()));
    let again = Call::order(to[1], "aarhus", "k").send().await.unwrap();

    let problem = lost.problem().unwrap();
    assert_eq!((problem.kind, problem.ran), (Type::Upstream, Ran::Unknown));
    let problem = again.problem().unwrap();
    assert_eq!(
        (problem.kind, problem.ran),
        (Type::KeyInDoubt, Ran::Unknown)
    );
    assert_eq!(rig.standins.executed_orders(), ["k"]);
}

// Symptom: an order that never reached the service cannot be sent again.
// Sequence: every service refuses connections; the caller is told "not run" and asks again.
// Cause: an intent that is kept though the request provably did not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_could_not_connect_may_be_sent_again() {
    let rig = rig().await;
    let to = rig.addrs()[0];
    rig.standins.services.iter().for_each(|s| s.host.stop());
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;

    let first = Call::order(to, "aarhus", "k").send().await.unwrap();
    let second = Call::order(to, "aarhus", "k").send().await.unwrap();

    for answer in [first, second] {
        let problem = answer.problem().unwrap_or_else(|| panic!("{answer:?}"));
        assert_eq!(problem.ran, Ran::No, "{problem:?}");
    }
    assert!(rig.standins.executed_orders().is_empty());
}

// Symptom: an order runs again on another instance after the first one crashed.
// Sequence: an instance writes the intent, sends the order, and is killed; the caller asks again
// elsewhere.
// Cause: knowledge of the run that dies with the instance.
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
    // What an instance leaves at the platform that was killed after its write.
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

// Symptom: calls fail when the peer that writes a shard is gone.
// Sequence: the instance that writes for others is killed; its peers still think it is there.
// Cause: relaying without another way.
#[tokio::test(flavor = "multi_thread")]
async fn orders_go_on_without_the_writer() {
    let mut rig = rig().await;
    rig.kill(1);
    let to = rig.addrs()[0];

    for turn in 0..8 {
        let answer = Call::order(to, "aarhus", &format!("k{turn}"))
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::CREATED, "{:?}", answer.problem());
    }

    assert_eq!(rig.standins.executed_orders().len(), 8);
}
