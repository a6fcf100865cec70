//! Contracts in force: everywhere within seconds, never reverting, whatever the platform does.

use std::time::Duration;

use contract::Contract;
use contract::ini;
use http::Method;
use http::StatusCode;
use operate::Applied;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use standin::Fault;
use wire::problem::Type;
use yare::parameterized;

fn make() -> RigConfig {
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

fn read(more: &str) -> Contract {
    ini::parse("test", &contracts::text("aarhus", more)).unwrap()
}

fn down() -> Fault {
    Fault {
        down: true,
        ..Fault::default()
    }
}

async fn apply(rig: &Rig, more: &str) -> i64 {
    match rig.contracts().apply("op", None, read(more)).await.unwrap() {
        Applied::InForce(rev) => rev,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_reaches_every_entry() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();

        let rev = apply(&rig, "rate = 7\n").await;
        rig.wait_for_revision(rev).await.unwrap();

        for entry in rig.running() {
            let book = entry.app.book.read();
            assert_eq!(
                book.by_name("aarhus").unwrap().stored.contract.request_rate,
                7.0
            );
        }
    });
}

// Symptom: a restarted instance turns every caller away while the platform is down.
// Sequence: the platform goes away, an entry is killed and starts again.
// Cause: contracts that only the platform can tell.
#[test]
fn a_restarted_entry_learns_from_its_peers() {
    block(async {
        let mut rig = Rig::start(&make()).await.unwrap();
        let rev = apply(&rig, "rate = 7\n").await;
        rig.wait_for_revision(rev).await.unwrap();
        rig.standins.platform.host.faults.set(down());
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

// Symptom: the balancer sends callers to an instance that refuses them all.
// Sequence: an instance starts while neither the platform nor any peer can be reached.
// Cause: readiness that only means that the process runs.
#[test]
fn an_entry_that_knows_nothing_is_not_ready() {
    block(async {
        let make = RigConfig {
            domains: vec!["nord"],
            entries: 1,
            contracts: Vec::new(),
            ..make()
        };
        let mut rig = Rig::start(&make).await.unwrap();
        rig.kill(0);
        rig.standins.platform.host.faults.set(down());

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

// Symptom: some instances stay on the old contract after the platform was away.
// Sequence: the watch breaks; the change is made while it is broken, its revision compacted away.
// Cause: following a watch without reading again.
#[parameterized(
    gap = { false },
    compacted = { true },
)]
fn changes_during_a_gap_are_found(compacted: bool) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        rig.standins.platform.host.faults.set(down());
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        rig.standins.platform.host.faults.set(Fault::default());
        let rev = apply(&rig, "rate = 9\n").await;
        if compacted {
            rig.standins.platform.state.compact();
        }

        rig.wait_for_revision(rev).await.unwrap();
    });
}

// Symptom: contracts look unconfirmed though nothing is wrong, and instances that need not read do.
// Sequence: nothing changes for a while, and the platform's watches say nothing meanwhile.
// Cause: taking the silence of the reader's watch for news that are overdue.
#[test]
fn a_silent_watch_does_not_leave_contracts_unconfirmed() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
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
            let ages = readers.iter().filter_map(|entry| entry.app.known());
            oldest = ages.fold(oldest, u64::max);
        }

        assert_eq!(readers.len(), 2, "one for each failure domain");
        assert!(oldest < 6_000, "unconfirmed for {oldest} ms");
    });
}

#[test]
fn an_old_token_stops_working() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let mut contract = read("");
        contract.token_digest = contract::TokenDigest::of("token-new");
        let applied = rig.contracts().apply("op", None, contract).await.unwrap();
        let Applied::InForce(rev) = applied else {
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

// Symptom: an operator's change vanishes without a word.
// Sequence: two operators read the same revision, and both amend.
// Cause: the last write wins.
#[test]
fn of_two_operators_one_is_told_of_the_conflict() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let contracts = rig.contracts();
        let customer = "aarhus".parse().unwrap();
        let base = contracts.show(&customer).await.unwrap().unwrap().rev;

        let first = contracts
            .apply("ida", Some(base), read("rate = 5\n"))
            .await
            .unwrap();
        let second = contracts
            .apply("bo", Some(base), read("rate = 6\n"))
            .await
            .unwrap();

        assert!(matches!(first, Applied::InForce(_)), "{first:?}");
        let Applied::Conflict { theirs, .. } = second else {
            panic!("{second:?}");
        };
        assert!(
            theirs
                .iter()
                .any(|line| line.after.as_deref() == Some("rate = 5"))
        );
        let trail = contracts.audit(Some(&customer)).await.unwrap();
        let who: Vec<_> = trail.iter().map(|(_, audit)| &*audit.operator).collect();
        assert_eq!(who, ["rig", "ida"]);
    });
}

#[test]
fn two_operators_at_the_same_moment_do_not_both_win() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let contracts = rig.contracts();
        let customer = "aarhus".parse().unwrap();
        let base = contracts.show(&customer).await.unwrap().unwrap().rev;

        let tries: Vec<_> = (1..=8)
            .map(|rate| {
                let contracts = contracts.clone();
                let contract = read(&format!("rate = {rate}\n"));
                tokio::spawn(async move { contracts.apply("op", Some(base), contract).await })
            })
            .collect();
        let mut won = 0;
        for one in tries {
            let applied = one.await.unwrap().unwrap();
            won += u32::from(matches!(applied, Applied::InForce(_)));
        }

        assert_eq!(won, 1);
    });
}

// Symptom: the tool says "failed" and the change is in force, or the reverse.
// Sequence: the platform carries the write out, and its answer never comes.
// Cause: taking silence for failure.
#[test]
fn a_change_whose_answer_is_lost_is_settled() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let contracts = rig.contracts();
        let customer = "aarhus".parse().unwrap();
        let faults = rig.standins.platform.host.faults.clone();
        let before = contracts.show(&customer).await.unwrap().unwrap().rev;
        faults.change(|fault| fault.mute_writes = 1);

        let applied = contracts
            .apply("op", None, read("rate = 5\n"))
            .await
            .unwrap();

        let held = contracts.show(&customer).await.unwrap().unwrap();
        assert!(held.rev > before);
        assert_eq!(applied, Applied::InForce(held.rev));
        assert_eq!(contracts.audit(Some(&customer)).await.unwrap().len(), 2);
    });
}

#[test]
fn a_change_that_cannot_be_settled_says_so() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let contracts = rig.contracts();
        let faults = rig.standins.platform.host.faults.clone();
        faults.change(|fault| fault.mute_writes = u32::MAX);
        let customer = "aarhus".parse().unwrap();

        let applied = contracts.apply("op", None, read("rate = 5\n"));
        let down = async {
            while rig.standins.platform.state.dump("/snipeway/audit/").len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            faults.change(|fault| fault.down = true);
        };
        let (applied, ()) = tokio::join!(applied, down);

        // The read back may have come before the platform went down.
        let change = match applied.unwrap() {
            Applied::NotKnown { change } => change,
            Applied::InForce(_) => return,
            other => panic!("{other:?}"),
        };
        faults.set(Fault::default());
        let settled = contracts.settle(&customer, &change).await.unwrap();
        assert!(matches!(settled, Applied::InForce(_)), "{settled:?}");
    });
}

#[test]
fn two_customers_cannot_have_one_token() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let mut contract = read("");
        contract.customer = "other".parse().unwrap();

        let error = rig
            .contracts()
            .apply("op", None, contract)
            .await
            .unwrap_err();

        assert!(error.to_string().contains("aarhus"), "{error}");
    });
}

// Symptom: an upstream that is leaving gets new work for as long as its peers' news take.
// Sequence: the platform lists it as leaving; or it says so itself; a few instances hear of it.
// Cause: each instance finding out for itself.
#[parameterized(
    listed = { true },
    said = { false },
)]
fn a_leaving_upstream_gets_nothing_new_within_seconds(listed: bool) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
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
            // The first answer says so.
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
