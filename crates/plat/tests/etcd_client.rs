//! Tests of the client against the stand-in platform, over the etcd v3 JSON mapping.

use std::sync::Arc;
use std::time::Duration;

use plat::Change;
use plat::Client;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use plat::budget::CallKind;
use standin::Fault;
use standin::Platform;
use standin::Server;
use yare::parameterized;

struct Fixture {
    platform: Arc<Platform>,
    host: Server,
    client: Client,
}

async fn fixture() -> Fixture {
    let platform = Arc::new(Platform::default());
    let host = platform.serve(([127, 0, 0, 1], 0).into()).await.unwrap();
    let client = Client::new(vec![host.addr]);
    Fixture {
        platform,
        host,
        client,
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

fn put(key: &str, value: &str, rev: i64) -> Txn {
    Txn {
        guards: vec![Guard::on(key, rev)],
        puts: vec![Put::new(key, value)],
        ..Txn::default()
    }
}

#[test]
fn a_write_is_conditional_on_the_revision() {
    block_on(async {
        let f = fixture().await;

        let first = f.client.txn(&put("/a", "1", 0)).await.unwrap();
        let again = f.client.txn(&put("/a", "2", 0)).await.unwrap();
        let item = f.client.get("/a").await.unwrap().unwrap();
        let next = f.client.txn(&put("/a", "3", item.rev)).await.unwrap();
        let stale = f.client.txn(&put("/a", "4", item.rev)).await.unwrap();

        assert_eq!(first, TxnOutcome::At(item.rev));
        assert_eq!(again, TxnOutcome::Conflict);
        assert!(matches!(next, TxnOutcome::At(rev) if rev > item.rev));
        assert_eq!(stale, TxnOutcome::Conflict);
        assert_eq!(f.client.get("/a").await.unwrap().unwrap().value, b"3");
    });
}

#[test]
fn a_transaction_is_atomic() {
    block_on(async {
        let f = fixture().await;
        f.client.txn(&put("/a", "1", 0)).await.unwrap();
        let txn = Txn {
            guards: vec![Guard::Absent("/c".into())],
            puts: vec![Put::new("/b", "2"), Put::new("/c", [0, 255])],
            deletes: vec![plat::Delete::Span("/a".into(), "/b".into())],
        };

        f.client.txn(&txn).await.unwrap();
        f.client.txn(&txn).await.unwrap();

        let range = f.client.list("/").await.unwrap();
        let keys: Vec<_> = range.items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(keys, ["/b", "/c"]);
        assert_eq!(range.items[1].value, [0, 255]);
        assert_eq!(range.items[0].rev, range.items[1].rev);
    });
}

#[test]
fn a_list_holds_only_keys_with_its_prefix() {
    block_on(async {
        let f = fixture().await;
        for key in ["/a/1", "/a/2", "/ab", "/b"] {
            f.client.txn(&put(key, "x", 0)).await.unwrap();
        }

        let range = f.client.list("/a/").await.unwrap();
        let rest = f.client.list_after("/a/1", "/a/").await.unwrap();

        assert_eq!(range.items.len(), 2);
        assert_eq!(rest.items.len(), 1);
        assert_eq!(f.client.get("/none").await.unwrap(), None);
    });
}

// Symptom: two instances hold the same lease.
// Sequence: a holder does not renew its lease in time; the key must be deleted, and a later renewal must fail.
// Cause: the lease outlives its time to live.
#[test]
fn a_lease_that_ends_deletes_its_keys() {
    block_on(async {
        let f = fixture().await;
        let short = f.client.grant(1_000).await.unwrap();
        let long = f.client.grant(60_000).await.unwrap();
        for (key, lease) in [("/short", short.id), ("/long", long.id)] {
            let mut txn = put(key, "x", 0);
            txn.puts[0].lease = lease;
            f.client.txn(&txn).await.unwrap();
        }
        assert!(f.client.renew(short.id).await.unwrap());

        tokio::time::sleep(Duration::from_millis(1_200)).await;

        assert!(!f.client.renew(short.id).await.unwrap());
        assert_eq!(f.client.get("/short").await.unwrap(), None);
        assert!(f.client.get("/long").await.unwrap().is_some());
        f.client.revoke(long.id).await.unwrap();
        assert_eq!(f.client.get("/long").await.unwrap(), None);
    });
}

/// Waits for changes other than progress messages.
async fn next_changes(watch: &mut plat::Watch) -> Result<Vec<Change>, PlatError> {
    loop {
        let changes = watch.next().await?;
        let is_change = |change: &Change| !matches!(change, Change::Progress(_));
        let changes: Vec<_> = changes.into_iter().filter(is_change).collect();
        if !changes.is_empty() {
            return Ok(changes);
        }
    }
}

#[test]
fn a_watch_reports_earlier_and_later_changes() {
    block_on(async {
        let f = fixture().await;
        let TxnOutcome::At(rev) = f.client.txn(&put("/w/a", "1", 0)).await.unwrap() else {
            panic!("conflict");
        };
        f.client.txn(&put("/w/b", "2", 0)).await.unwrap();
        f.client.txn(&put("/x", "3", 0)).await.unwrap();

        let mut watch = f.client.watch("/w/", rev + 1).await.unwrap();
        let before = next_changes(&mut watch).await.unwrap();
        f.client.txn(&put("/w/a", "4", rev)).await.unwrap();
        let after = next_changes(&mut watch).await.unwrap();

        assert!(
            matches!(&before[..], [Change::Put(item)] if item.key == "/w/b"),
            "{before:?}"
        );
        assert!(
            matches!(&after[..], [Change::Put(item)] if item.value == b"4"),
            "{after:?}"
        );
    });
}

#[test]
fn a_watch_reports_deletions() {
    block_on(async {
        let f = fixture().await;
        f.client.txn(&put("/w/a", "1", 0)).await.unwrap();
        let mut watch = f.client.watch("/w/", 2).await.unwrap();
        let txn = Txn {
            deletes: vec![plat::Delete::Span("/w/".into(), "/w0".into())],
            ..Txn::default()
        };

        f.client.txn(&txn).await.unwrap();

        let changes = next_changes(&mut watch).await.unwrap();
        assert!(
            matches!(&changes[..], [Change::Delete(key, _)] if key == "/w/a"),
            "{changes:?}"
        );
    });
}

#[test]
fn a_watch_from_a_compacted_revision_fails() {
    block_on(async {
        let f = fixture().await;
        f.client.txn(&put("/w/a", "1", 0)).await.unwrap();
        f.client.txn(&put("/w/b", "1", 0)).await.unwrap();
        f.platform.compact();

        let mut watch = f.client.watch("/w/", 1).await.unwrap();

        assert!(matches!(
            next_changes(&mut watch).await,
            Err(PlatError::Compacted(_))
        ));
    });
}

// Symptom: a write is reported as failed although it was applied, or the reverse.
// Sequence: the platform is down, does not answer, rejects calls, or is slow.
// Cause: all of these faults lead to the same error.
#[parameterized(
    down = { Fault { down: true, ..Fault::default() }, true, false },
    mute = { Fault { mute: true, ..Fault::default() }, true, true },
    muted_write = { Fault { mute_writes: 1, ..Fault::default() }, true, true },
    limited = { Fault { limited: true, ..Fault::default() }, false, false },
    slow = { Fault { delay: 3_000, ..Fault::default() }, true, false },
)]
fn errors_tell_whether_a_write_may_have_been_applied(
    fault: Fault,
    indeterminate: bool,
    written: bool,
) {
    block_on(async {
        let f = fixture().await;
        f.host.faults.set(fault);

        let error = f.client.txn(&put("/a", "1", 0)).await.unwrap_err();

        f.host.faults.set(Fault::default());
        assert_eq!(error.is_indeterminate(), indeterminate, "{error}");
        assert_eq!(f.client.get("/a").await.unwrap().is_some(), written);
    });
}

#[test]
fn an_unreachable_platform_has_written_nothing() {
    block_on(async {
        let unreachable = Client::new(vec![([127, 0, 0, 1], 1).into()]);

        let error = unreachable.txn(&put("/a", "1", 0)).await.unwrap_err();

        assert!(matches!(error, PlatError::Unreachable), "{error}");
        assert!(!error.is_indeterminate());
    });
}

#[test]
fn the_next_address_is_tried_when_one_cannot_be_reached() {
    block_on(async {
        let f = fixture().await;
        let client = Client::new(vec![([127, 0, 0, 1], 1).into(), f.host.addr]);

        assert!(client.txn(&put("/a", "1", 0)).await.is_ok());
    });
}

// Symptom: one instance uses up the capacity of the platform, and all others lose access to it.
// Sequence: a bug in the instance makes it call the platform without pause.
// Cause: nothing limits the calls of one instance.
#[test]
fn calls_stay_within_the_budget() {
    block_on(async {
        let f = fixture().await;
        let calls: Vec<_> = (0..400)
            .map(|_| f.client.clone())
            .map(|client| tokio::spawn(async move { client.get("/a").await.err() }))
            .collect();
        let mut refused = 0;
        for call in calls {
            let error = call.await.unwrap();
            refused += u64::from(matches!(error, Some(PlatError::Budget)));
        }

        assert!(refused > 0);
        assert_eq!(f.client.budget().used(CallKind::Read), 400 - refused);
    });
}
