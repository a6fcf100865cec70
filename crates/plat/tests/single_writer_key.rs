//! Tests of keys with a single writer.

use std::sync::Arc;

use plat::Client;
use plat::Delete;
use plat::Put;
use plat::SingleWriterKey;
use plat::Txn;
use standin::Fault;
use standin::Platform;
use standin::Server;

const KEY: &str = "/snipeway/crashes/n1/1";

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

impl Fixture {
    fn values(&self) -> Vec<Vec<u8>> {
        let dump = self.platform.dump(KEY);
        dump.into_iter().map(|(_, value)| value).collect()
    }
}

#[tokio::test]
async fn the_last_value_is_kept() {
    let f = fixture().await;
    let mut single = SingleWriterKey::new(KEY);

    for value in ["a", "b", "c"] {
        single.write(&f.client, value.into()).await.unwrap();
    }

    assert_eq!(f.values(), [b"c"]);
}

// A write is applied but its answer is lost. The next write must read the new revision; otherwise every later write
// would conflict.
#[tokio::test]
async fn a_write_without_an_answer_does_not_block_later_writes() {
    let f = fixture().await;
    let mut single = SingleWriterKey::new(KEY);
    single.write(&f.client, "a".into()).await.unwrap();
    f.host.faults.set(Fault {
        mute_writes: 1,
        ..Fault::default()
    });

    let lost = single.write(&f.client, "b".into()).await;
    let next = single.write(&f.client, "c".into()).await;

    assert!(lost.is_err());
    assert!(next.is_ok());
    assert_eq!(f.values(), [b"c"]);
}

// A write that the client no longer waits for is applied late. If the next write was applied before it, the condition
// on the revision turns the late write into a conflict, so that it does not restore the older value. If the late write
// was applied first, as here, the next write fails once, and its retry reads the new revision.
#[tokio::test]
async fn a_write_that_was_applied_late_fails_the_next_write_once() {
    let f = fixture().await;
    let mut single = SingleWriterKey::new(KEY);
    single.write(&f.client, "a".into()).await.unwrap();
    let late = Txn {
        puts: vec![Put::new(KEY, "late")],
        ..Txn::default()
    };
    f.client.txn(&late).await.unwrap();

    let first = single.write(&f.client, "b".into()).await;
    let second = single.write(&f.client, "b".into()).await;

    assert!(first.is_err());
    assert!(second.is_ok());
    assert_eq!(f.values(), [b"b"]);
}

// A reader deletes the key because it looks old, so that the next write has an outdated revision.
#[tokio::test]
async fn a_value_is_written_again_after_its_key_was_deleted() {
    let f = fixture().await;
    let mut single = SingleWriterKey::new(KEY);
    single.write(&f.client, "a".into()).await.unwrap();
    let delete = Txn {
        deletes: vec![Delete::Key(KEY.into())],
        ..Txn::default()
    };
    f.client.txn(&delete).await.unwrap();

    let first = single.write(&f.client, "b".into()).await;
    let second = single.write(&f.client, "b".into()).await;

    assert!(first.is_err());
    assert!(second.is_ok());
    assert_eq!(f.values(), [b"b"]);
}
