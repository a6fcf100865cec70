//! Weight rollout under faults: every engine reaches the announced version, and orders from former
//! lease holders have no lasting effect.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use standin::Fault;
use wire::engine::LOAD;
use wire::engine::LoadOrder;
use wire::engine::LoadReport;
use wire::engine::ORDER;

fn config() -> RigConfig {
    RigConfig {
        entries: 2,
        engines: 3,
        services: 0,
        with_control: true,
        store: Some((100_000, 100e6)),
        contracts: vec![contracts::text("staff", "")],
        ..RigConfig::default()
    }
}

fn run_async<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

async fn announce(rig: &Rig, version: u64) -> StatusCode {
    let path = "/v1/weights/fitting";
    let asked = Call::json(
        rig.addrs()[0],
        "staff",
        path,
        &json!({ "version": version }),
    );
    asked.send().await.unwrap().status
}

async fn fetch_load(addr: std::net::SocketAddr) -> Option<LoadReport> {
    let asked = Call::new(addr, "-", Method::GET, LOAD);
    asked.send().await.ok()?.json().ok()
}

/// An order whose fencing token is lower than that of any lease.
fn stale_order() -> LoadOrder {
    LoadOrder {
        version: 1,
        source: String::new(),
        fence: 0,
        keep: true,
    }
}

/// Waits until every engine reports exactly this version.
async fn wait_for_version(rig: &Rig, version: u64) {
    for _ in 0..1_500 {
        let mut all = true;
        for engine in &rig.standins.engines {
            let load = fetch_load(engine.host.addr).await;
            all &= load.is_some_and(|load| load.stated.single_version() == Some(version));
        }
        if all {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not every engine reports version {version}");
}

#[test]
fn an_announced_version_reaches_every_engine() {
    run_async(async {
        let rig = Rig::start(&config()).await.unwrap();

        assert_eq!(announce(&rig, 2).await, StatusCode::OK);

        wait_for_version(&rig, 2).await;
        let store = rig.standins.store.as_ref().unwrap();
        assert_eq!(store.state.bytes_sent(), 6 * 100_000);
    });
}

// Guards against an older version replacing a newer one when a trainer that was paused announces
// its old version late and the last announcement wins.
#[test]
fn an_older_announcement_changes_nothing() {
    run_async(async {
        let rig = Rig::start(&config()).await.unwrap();
        announce(&rig, 5).await;
        wait_for_version(&rig, 5).await;

        assert_eq!(announce(&rig, 3).await, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(1_500)).await;

        wait_for_version(&rig, 5).await;
        let orders = rig.standins.engines.iter().flat_map(|e| e.state.orders());
        assert!(orders.into_iter().all(|(_, version)| version == 5));
    });
}

// Guards against an engine that serves a mixture of two versions permanently: a swap fails partway,
// and nothing verifies the result of the order.
#[test]
fn a_swap_that_fails_partway_is_repaired() {
    run_async(async {
        let rig = Rig::start(&config()).await.unwrap();
        rig.standins.engines[1]
            .host
            .faults
            .change(|fault| fault.mixed = true);

        announce(&rig, 2).await;

        wait_for_version(&rig, 2).await;
        assert!(rig.standins.engines[1].state.orders().len() > 1);
    });
}

#[test]
fn an_engine_that_was_down_gets_the_announced_version() {
    run_async(async {
        let rig = Rig::start(&config()).await.unwrap();
        let down = Fault {
            down: true,
            ..Fault::default()
        };
        rig.standins.engines[0].host.faults.set(down);
        announce(&rig, 2).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;

        rig.standins.engines[0].host.faults.set(Fault::default());

        wait_for_version(&rig, 2).await;
    });
}

// Guards against control that depends on one instance: when the lease holder is killed, its lease
// has to expire and another instance has to take over, or new weights reach no engine.
#[test]
fn another_instance_takes_over_the_lease() {
    run_async(async {
        let mut rig = Rig::start(&config()).await.unwrap();
        announce(&rig, 2).await;
        wait_for_version(&rig, 2).await;

        // The first instance of each failure domain is the reader and so holds the lease.
        for at in [2, 0] {
            rig.kill(at);
            // A crashed holder would not revoke its lease. `stop` revokes it, which stands in for
            // the expiry of the lease at the platform.
            rig.controllers.remove(at).stop().await;
        }
        announce(&rig, 3).await;

        wait_for_version(&rig, 3).await;
        let fences = |at: usize| rig.standins.engines[at].state.orders();
        let first = fences(0);
        assert!(
            first.windows(2).all(|pair| pair[0].0 <= pair[1].0),
            "{first:?}"
        );
        assert!(first.first().unwrap().0 < first.last().unwrap().0);
    });
}

// Guards against orders without a fencing token: a holder that was paused between its lease check
// and its order resumes after another holder has sent orders, and reverts engines to older weights.
#[test]
fn an_order_of_a_former_lease_holder_is_rejected() {
    run_async(async {
        let rig = Rig::start(&config()).await.unwrap();
        announce(&rig, 2).await;
        wait_for_version(&rig, 2).await;
        let engine = &rig.standins.engines[0];
        let answer = Call::json(engine.host.addr, "-", ORDER, &stale_order())
            .send()
            .await
            .unwrap();

        assert_eq!(answer.status, StatusCode::CONFLICT);
        wait_for_version(&rig, 2).await;
    });
}

// Guards against relying on fencing where an engine does not check it: an order of a former holder
// arrives late, and the engine stays at the old weights.
#[test]
fn an_engine_that_ignores_fencing_returns_to_the_announced_version() {
    run_async(async {
        let mut config = config();
        config.engine.fencing = false;
        let rig = Rig::start(&config).await.unwrap();
        announce(&rig, 2).await;
        wait_for_version(&rig, 2).await;
        let engine = &rig.standins.engines[0];
        let answer = Call::json(engine.host.addr, "-", ORDER, &stale_order())
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        while fetch_load(engine.host.addr)
            .await
            .unwrap()
            .stated
            .single_version()
            != Some(1)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }

        wait_for_version(&rig, 2).await;
    });
}

// Guards against engines that revert or are never updated again after a platform outage that
// outlasts the lease: the holder must stop sending orders without it, and must acquire it again.
#[test]
fn rollout_resumes_after_a_platform_outage() {
    run_async(async {
        let rig = Rig::start(&config()).await.unwrap();
        announce(&rig, 2).await;
        wait_for_version(&rig, 2).await;
        let faults = rig.standins.platform.host.faults.clone();
        faults.change(|fault| fault.down = true);
        assert_eq!(announce(&rig, 3).await, StatusCode::SERVICE_UNAVAILABLE);
        tokio::time::sleep(Duration::from_secs(9)).await;

        faults.change(|fault| fault.down = false);
        while announce(&rig, 3).await != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }

        wait_for_version(&rig, 3).await;
    });
}

fn config_with_cache() -> RigConfig {
    RigConfig {
        with_cache: true,
        ..config()
    }
}

// Guards against one download per engine: if every engine of a failure domain fetches the same
// version from the rate-limited store, a rollout takes minutes while the engines' own networks are
// idle.
#[test]
fn a_cache_fetches_each_version_once() {
    run_async(async {
        let rig = Rig::start(&config_with_cache()).await.unwrap();

        announce(&rig, 2).await;

        wait_for_version(&rig, 2).await;
        let store = rig.standins.store.as_ref().unwrap();
        assert_eq!(
            store.state.bytes_sent(),
            2 * 100_000,
            "one download per failure domain"
        );
    });
}

// Guards against depending on the cache: the instance with the cache is killed before a version is
// announced, and engines stay at old weights.
#[test]
fn without_its_cache_a_failure_domain_fetches_from_the_store() {
    run_async(async {
        let mut rig = Rig::start(&config_with_cache()).await.unwrap();
        announce(&rig, 2).await;
        wait_for_version(&rig, 2).await;
        rig.kill(0);
        rig.controllers.remove(0).stop().await;

        announce(&rig, 3).await;

        wait_for_version(&rig, 3).await;
    });
}
