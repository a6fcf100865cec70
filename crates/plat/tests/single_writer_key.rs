//! A key that only one start of one instance writes.

use std::sync::Arc;

use plat::Client;
use plat::Delete;
use plat::Put;
use plat::SingleWriterKey;
use plat::Txn;
use standin::Fault;
use standin::Host;
use standin::Platform;

const KEY: &str = "/snipeway/crashes/n1/1";

struct Fixture {
    platform: Arc<Platform>,
    host: Host,
    client: Client,
}

async fn fixture() -> Fixture {
    let platform = Arc::new(Platform::default());
    let host = platform.host(([127, 0, 0, 1], 0).into()).await.unwrap();
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

// A write is carried out and its answer lost; the next one must find the revision that it left, or nothing is
// ever written again.
#[tokio::test]
async fn a_write_that_was_not_answered_stops_no_later_one() {
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

// An older write that was given up is carried out behind the next one, and would put the older value back. The
// condition on the revision makes it do nothing; the other way round, the next write fails once and reads.
#[tokio::test]
async fn a_value_that_somebody_else_has_changed_is_read_again() {
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

// Somebody deletes the key since it looked old; the next write finds another revision than it knows.
#[tokio::test]
async fn a_value_is_written_anew_after_its_key_was_deleted() {
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
