//! Tests of what a shard knows of a key after the first thing that it knew of it has expired.

mod common;

use common::Fault;
use common::Platform;
use kernel::AttemptId;
use kernel::RequestId;
use once::Answer;
use once::Key;
use once::Outcome;
use once::Print;
use once::Shard;

/// Time for which a key is known, in milliseconds.
const KEEP: u64 = 60_000;

fn key(text: &str) -> Key {
    Key::new("aarhus", "portal", text).unwrap()
}

fn attempt(bits: u128) -> AttemptId {
    RequestId::from_bits(bits).attempt(0)
}

fn print() -> Print {
    Print::new("POST", "/orders", b"blazer")
}

fn outcome() -> Outcome {
    Outcome {
        status: 201,
        kind: "text/plain".into(),
        body: Some(b"ok".to_vec().into()),
    }
}

fn settle(platform: &mut Platform, shard: &mut Shard, now: u64) {
    for _ in 0..8 {
        platform.serve(shard, Fault::None, now);
    }
}

/// Asks and carries the shard on until it has nothing to do.
fn ask(platform: &mut Platform, shard: &mut Shard, text: &str, bits: u128, now: u64) -> Answer {
    shard.ask(key(text), print(), attempt(bits), now);
    settle(platform, shard, now);
    shard.take(attempt(bits)).unwrap()
}

fn give_back(platform: &mut Platform, shard: &mut Shard, text: &str, bits: u128, now: u64) {
    shard.free(key(text), attempt(bits));
    settle(platform, shard, now);
}

// A key that was given back and used again was forgotten with its first use, and its order ran twice.
#[test]
fn a_key_that_was_used_again_is_known_for_as_long_as_its_last_use() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    ask(&mut platform, &mut shard, "k", 1, 0);
    give_back(&mut platform, &mut shard, "k", 1, 0);
    let second = ask(&mut platform, &mut shard, "k", 2, KEEP - 10_000);
    shard.done(key("k"), outcome());

    // The first use expires with this write.
    ask(&mut platform, &mut shard, "other", 3, KEEP + 10_000);
    let third = ask(&mut platform, &mut shard, "k", 4, KEEP + 10_000);

    assert_eq!(second, Answer::Run);
    assert_eq!(third, Answer::Ran(outcome()));
}
