//! Crowds of clients that do not behave, at the product's own interface: no process ends, memory is bounded, and an
//! ordinary request is answered.

mod common;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[allow(unreachable_pub, reason = "shared by several crates")]
#[path = "../../../platform/tests/common/crowd.rs"]
mod crowd;

use std::time::Duration;

use common::Fleet;
use crowd::Crowd;
use crowd::Ending;
use crowd::Framing;
use crowd::Upload;
use rig::Call;
use rig::RigConfig;
use rig::contracts;
use tokio::sync::Mutex;

/// Held by each test, so that one runs at a time.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// Memory that an entry may take, in megabytes: bodies and answers have 64 MB each by default, of which the crowds here use
/// the first.
const MEMORY_MB: usize = 128;

/// Longest body by default, in bytes.
const BODY_BYTES: usize = 1 << 20;

/// Longest message of peers, in bytes.
const MESSAGE_BYTES: usize = 4 << 20;

/// Interval between two looks at what an entry holds.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of looks without a change after which an entry has come to rest.
const REST_LOOKS: usize = 25;

/// An upload that stops a byte short of its end.
fn short(path: &'static str, framing: Framing, bytes: usize) -> Upload {
    Upload {
        path,
        host: "portal.example",
        lines: "authorization: Bearer token-aarhus\r\n",
        framing,
        bytes: bytes - 1,
        piece: 64 << 10,
        ending: Ending::Short,
    }
}

/// Plays a crowd at an entry, and asserts that it kept to its memory and answers an ordinary request beside the crowd.
async fn assert_bounded(count: usize, upload: Upload) {
    let _serial = SERIAL.lock().await;
    let options = RigConfig {
        contracts: vec![contracts::text("aarhus", "")],
        ..RigConfig::default()
    };
    let mut fleet = Fleet::start(&options).await;
    let entry = &mut fleet.entries[0];

    let crowd = Crowd::start(entry.addr, count, upload);
    let (mut memory, mut looks) = (0, 0);
    while !crowd.is_settled() || looks < REST_LOOKS {
        let held = entry.peak_memory();
        looks = if held == memory { looks + 1 } else { 0 };
        memory = held;
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let answer = Call::order(entry.addr, "aarhus", "ordinary").send().await;

    let memory = entry.peak_memory();
    println!("{} MB", memory >> 20);
    assert!(memory < MEMORY_MB << 20, "{} MB", memory >> 20);
    let status = answer.unwrap().status;
    assert!(status.is_success(), "{status}");
    assert!(entry.is_running());
}

// Guards against bodies that are counted nowhere: many of legal length, each a byte short of its end.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_when_calls_stop_short() {
    let path = "/v1/services/portal/orders";

    assert_bounded(200, short(path, Framing::Announced(BODY_BYTES), BODY_BYTES)).await;
}

// Guards against chunks that are kept one by one: a byte then takes the memory of an object.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_when_chunks_of_calls_have_one_byte() {
    let path = "/v1/services/portal/orders";

    assert_bounded(48, short(path, Framing::Chunks(1), BODY_BYTES / 4)).await;
}

// Guards against messages whose sum has no limit: they are read before their signature can be checked.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_when_messages_of_peers_stop_short() {
    let framing = Framing::Announced(MESSAGE_BYTES);

    assert_bounded(48, short("/peer/ping", framing, MESSAGE_BYTES)).await;
}
