//! Replication of contracts: a change is in force on every entry within seconds and never reverts, whatever
//! faults the platform has.

use std::time::Duration;

use contract::Contract;
use contract::ini;
use http::Method;
use http::StatusCode;
use operate::ApplyOutcome;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use standin::Fault;
use wire::problem::Type;
use yare::parameterized;

fn rig_config() -> RigConfig {
    RigConfig {
        entries: 2,
        engines: 0,
        services: 1,
        contracts: vec![contracts::text("aarhus", "")],
        ..RigConfig::default()
    }
}

fn block<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

fn contract(more: &str) -> Contract {
    ini::parse("test", &contracts::text("aarhus", more)).unwrap()
}

fn platform_down() -> Fault {
    Fault {
        down: true,
        ..Fault::default()
    }
}

async fn apply(rig: &Rig, more: &str) -> i64 {
    match rig
        .contracts()
        .apply("op", None, contract(more))
        .await
        .unwrap()
    {
        ApplyOutcome::InForce(rev) => rev,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_reaches_every_entry() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();

        let rev = apply(&rig, "rate = 7\n").await;
        rig.wait_for_revision(rev).await.unwrap();

        for entry in rig.running() {
            let registry = entry.app.contracts.read();
            assert_eq!(
                registry
                    .by_name("aarhus")
                    .unwrap()
                    .stored
                    .contract
                    .request_rate,
                7.0
            );
        }
    });
}

// Guards against a restarted entry that rejects every caller during an outage of the platform: it is killed
// and restarted while the platform is down, so it must get the contracts from its peers.
#[test]
fn a_restarted_entry_gets_contracts_from_its_peers() {
    block(async {
        let mut rig = Rig::start(&rig_config()).await.unwrap();
        let rev = apply(&rig, "rate = 7\n").await;
        rig.wait_for_revision(rev).await.unwrap();
        rig.standins.platform.host.faults.set(platform_down());
        rig.kill(2);

        rig.restart(2).await.unwrap();
        rig.wait_for_revision(rev).await.unwrap();

        let entry = rig.entries[2].as_ref().unwrap();
        let ready = Call::new(entry.addr, "-", Method::GET, "/readyz")
            .send()
            .await
            .unwrap();
        assert_eq!(ready.status, StatusCode::OK);
        let lookup = Call::lookup(entry.addr, "aarhus").send().await.unwrap();
        assert_eq!(lookup.status, StatusCode::OK);
    });
}

// Guards against a balancer that sends callers to an instance that rejects them all: the instance starts
// while neither the platform nor a peer is reachable, so it has no contracts and must not report itself
// ready.
#[test]
fn an_entry_without_contracts_is_not_ready() {
    block(async {
        let config = RigConfig {
            domains: vec!["nord"],
            entries: 1,
            contracts: Vec::new(),
            ..rig_config()
        };
        let mut rig = Rig::start(&config).await.unwrap();
        rig.kill(0);
        rig.standins.platform.host.faults.set(platform_down());

        rig.restart(0).await.unwrap();

        let addr = rig.addrs()[0];
        let ready = Call::new(addr, "-", Method::GET, "/readyz")
            .send()
            .await
            .unwrap();
        let health = Call::new(addr, "-", Method::GET, "/healthz")
            .send()
            .await
            .unwrap();
        assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(health.status, StatusCode::OK);
        let lookup = Call::lookup(addr, "aarhus").send().await.unwrap();
        assert_eq!(lookup.problem().unwrap().kind, Type::Unauthorized);
    });
}

// Guards against instances that keep an old contract after an outage of the platform: the watch breaks, and
// the contract changes before the watch is resumed. If the revision was compacted, only a full read finds the
// change.
#[parameterized(
    outage = { false },
    compacted = { true },
)]
fn changes_after_an_outage_are_found(compacted: bool) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        rig.standins.platform.host.faults.set(platform_down());
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        rig.standins.platform.host.faults.set(Fault::default());
        let rev = apply(&rig, "rate = 9\n").await;
        if compacted {
            rig.standins.platform.state.compact();
        }

        rig.wait_for_revision(rev).await.unwrap();
    });
}

// Guards against contracts that count as unconfirmed in normal operation, so that instances other than the
// reader read the platform too. Nothing changes for a while, and the platform's watches yield nothing; that
// must not count as an outage.
#[test]
fn a_silent_watch_does_not_leave_contracts_unconfirmed() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        rig.standins
            .platform
            .host
            .faults
            .change(|fault| fault.quiet = true);
        let readers: Vec<_> = rig
            .running()
            .filter(|entry| entry.app.view.lock().is_reader())
            .collect();
        let mut oldest = 0;

        for _ in 0..120 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let ages = readers.iter().filter_map(|entry| entry.app.contracts_age());
            oldest = ages.fold(oldest, u64::max);
        }

        assert_eq!(readers.len(), 2, "one for each failure domain");
        assert!(oldest < 6_000, "unconfirmed for {oldest} ms");
    });
}

#[test]
fn a_replaced_token_is_rejected() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let mut contract = contract("");
        contract.token_digest = contract::TokenDigest::of("token-new");
        let applied = rig.contracts().apply("op", None, contract).await.unwrap();
        let ApplyOutcome::InForce(rev) = applied else {
            panic!("{applied:?}");
        };

        rig.wait_for_revision(rev).await.unwrap();

        for addr in rig.addrs() {
            let old = Call::lookup(addr, "aarhus").send().await.unwrap();
            let new = Call::lookup(addr, "new").send().await.unwrap();
            assert_eq!(old.problem().unwrap().kind, Type::Unauthorized);
            assert_eq!(new.status, StatusCode::OK);
        }
    });
}

// Guards against a lost update: two operators read the same revision and both amend it. The second write must
// fail with a conflict instead of replacing the first.
#[test]
fn the_second_of_two_conflicting_changes_is_rejected() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let contracts = rig.contracts();
        let customer = "aarhus".parse().unwrap();
        let base = contracts.show(&customer).await.unwrap().unwrap().rev;

        let first = contracts
            .apply("ida", Some(base), contract("rate = 5\n"))
            .await
            .unwrap();
        let second = contracts
            .apply("bo", Some(base), contract("rate = 6\n"))
            .await
            .unwrap();

        assert!(matches!(first, ApplyOutcome::InForce(_)), "{first:?}");
        let ApplyOutcome::Conflict { theirs, .. } = second else {
            panic!("{second:?}");
        };
        assert!(
            theirs
                .iter()
                .any(|line| line.after.as_deref() == Some("rate = 5"))
        );
        let audit_trail = contracts.audit(Some(&customer)).await.unwrap();
        let operators: Vec<_> = audit_trail
            .iter()
            .map(|(_, audit)| &*audit.operator)
            .collect();
        assert_eq!(operators, ["rig", "ida"]);
    });
}

#[test]
fn only_one_of_concurrent_changes_is_applied() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let contracts = rig.contracts();
        let customer = "aarhus".parse().unwrap();
        let base = contracts.show(&customer).await.unwrap().unwrap().rev;

        let tasks: Vec<_> = (1..=8)
            .map(|rate| {
                let contracts = contracts.clone();
                let contract = contract(&format!("rate = {rate}\n"));
                tokio::spawn(async move { contracts.apply("op", Some(base), contract).await })
            })
            .collect();
        let mut in_force = 0;
        for task in tasks {
            let applied = task.await.unwrap().unwrap();
            in_force += u32::from(matches!(applied, ApplyOutcome::InForce(_)));
        }

        assert_eq!(in_force, 1);
    });
}

// Guards against a change that is reported as failed although it is in force: the platform applies the write,
// and its response is lost. `apply` must then read the contract to determine the outcome.
#[test]
fn a_change_with_a_lost_response_is_resolved() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let contracts = rig.contracts();
        let customer = "aarhus".parse().unwrap();
        let faults = rig.standins.platform.host.faults.clone();
        let before = contracts.show(&customer).await.unwrap().unwrap().rev;
        faults.change(|fault| fault.mute_writes = 1);

        let applied = contracts
            .apply("op", None, contract("rate = 5\n"))
            .await
            .unwrap();

        let stored = contracts.show(&customer).await.unwrap().unwrap();
        assert!(stored.rev > before);
        assert_eq!(applied, ApplyOutcome::InForce(stored.rev));
        assert_eq!(contracts.audit(Some(&customer)).await.unwrap().len(), 2);
    });
}

#[test]
fn a_change_that_cannot_be_resolved_is_reported_as_unknown() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let contracts = rig.contracts();
        let faults = rig.standins.platform.host.faults.clone();
        faults.change(|fault| fault.mute_writes = u32::MAX);
        let customer = "aarhus".parse().unwrap();

        let applied = contracts.apply("op", None, contract("rate = 5\n"));
        let outage = async {
            while rig.standins.platform.state.dump("/snipeway/audit/").len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            faults.change(|fault| fault.down = true);
        };
        let (applied, ()) = tokio::join!(applied, outage);

        // `apply` may have read the contract back before the platform went down.
        let change = match applied.unwrap() {
            ApplyOutcome::Indeterminate { change } => change,
            ApplyOutcome::InForce(_) => return,
            other => panic!("{other:?}"),
        };
        faults.set(Fault::default());
        let settled = contracts.settle(&customer, &change).await.unwrap();
        assert!(matches!(settled, ApplyOutcome::InForce(_)), "{settled:?}");
    });
}

#[test]
fn two_customers_cannot_share_a_token() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let mut contract = contract("");
        contract.customer = "other".parse().unwrap();

        let error = rig
            .contracts()
            .apply("op", None, contract)
            .await
            .unwrap_err();

        assert!(error.to_string().contains("aarhus"), "{error}");
    });
}

// Guards against new calls to an upstream that is leaving. The platform lists it as leaving, or the upstream
// reports it in its responses, so that only a few instances know at first; these must gossip it to all others
// within seconds.
#[parameterized(
    listed = { true },
    reported = { false },
)]
fn a_leaving_upstream_gets_no_new_calls_after_seconds(listed: bool) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let leaving = &rig.standins.services[0];
        if listed {
            let plat = plat::Client::new(vec![rig.standins.platform.host.addr]);
            let key = format!("{}{}", plat::keys::LEAVING, leaving.name);
            let txn = plat::Txn {
                puts: vec![plat::Put::new(key, "1")],
                ..plat::Txn::default()
            };
            plat.txn(&txn).await.unwrap();
        } else {
            leaving.host.faults.change(|fault| fault.leaving = true);
            // The first response reports that the upstream is leaving.
            for _ in 0..8 {
                for addr in rig.addrs() {
                    Call::lookup(addr, "aarhus").send().await.unwrap();
                }
            }
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = leaving.state.served();

        for _ in 0..10 {
            for addr in rig.addrs() {
                let answer = Call::lookup(addr, "aarhus").send().await.unwrap();
                assert_eq!(answer.status, StatusCode::OK);
            }
        }

        assert_eq!(leaving.state.served(), before);
    });
}
