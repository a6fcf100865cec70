//! Tests of what a shard knows of a key after the first thing that it knew of it has expired.

mod common;

use common::Fault;
use common::Platform;
use kernel::AttemptId;
use kernel::Map;
use kernel::RequestId;
use once::Decision;
use once::Fingerprint;
use once::Key;
use once::Outcome;
use once::Shard;
use proptest::prelude::*;

/// Time for which a key is known, in milliseconds.
const KEEP: u64 = 60_000;

fn key(text: &str) -> Key {
    Key::new("aarhus", "portal", text).unwrap()
}

fn attempt(bits: u128) -> AttemptId {
    RequestId::from_bits(bits).attempt(0)
}

fn print() -> Fingerprint {
    Fingerprint::new("POST", "/orders", b"blazer")
}

fn outcome() -> Outcome {
    Outcome {
        status: 201,
        content_type: "text/plain".into(),
        body: Some(b"ok".to_vec().into()),
    }
}

fn settle(platform: &mut Platform, shard: &mut Shard, now: u64) {
    for _ in 0..8 {
        platform.serve(shard, Fault::None, now);
    }
}

/// Asks and carries the shard on until it has nothing to do.
fn ask(platform: &mut Platform, shard: &mut Shard, text: &str, bits: u128, now: u64) -> Decision {
    shard.claim(key(text), print(), attempt(bits), now);
    settle(platform, shard, now);
    shard.take_decision(attempt(bits)).unwrap()
}

fn give_back(platform: &mut Platform, shard: &mut Shard, text: &str, bits: u128, now: u64) {
    shard.release(key(text), attempt(bits));
    settle(platform, shard, now);
}

// A key that was given back and used again was forgotten with its first use, and its order ran twice.
#[test]
fn a_key_that_was_used_again_is_known_for_as_long_as_its_last_use() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    ask(&mut platform, &mut shard, "k", 1, 0);
    give_back(&mut platform, &mut shard, "k", 1, 0);
    let second = ask(&mut platform, &mut shard, "k", 2, KEEP - 10_000);
    shard.record_outcome(key("k"), outcome());

    // The first use expires with this write.
    ask(&mut platform, &mut shard, "other", 3, KEEP + 10_000);
    let third = ask(&mut platform, &mut shard, "k", 4, KEEP + 10_000);

    assert_eq!(second, Decision::Run);
    assert_eq!(third, Decision::Ran(outcome()));
}

// An instance that had not read for long held an expired use against the one after it, forgot both, and ran the
// order again.
#[test]
fn an_instance_that_has_not_read_for_long_learns_of_the_last_use() {
    let mut platform = Platform::default();
    let (mut first, mut second) = (Shard::new(KEEP), Shard::new(KEEP));
    ask(&mut platform, &mut first, "k", 1, 0);
    let early = ask(&mut platform, &mut second, "k", 2, 0);
    give_back(&mut platform, &mut first, "k", 1, 0);
    let again = ask(&mut platform, &mut first, "k", 3, KEEP - 10_000);

    // The platform drops the first use, and that it was given back, with this write.
    ask(&mut platform, &mut first, "other", 4, KEEP + 10_000);
    let late = ask(&mut platform, &mut second, "k", 5, KEEP + 10_000);

    assert_eq!((early, again), (Decision::Unknown, Decision::Run));
    assert_eq!(late, Decision::Unknown);
}

/// Something that one of two instances does after a while.
#[derive(Clone, Copy, Debug)]
struct Act {
    instance: usize,
    key: usize,
    pause: u64,
    /// Whether it proves at once that its request did not run.
    gives_back: bool,
}

fn act() -> impl Strategy<Value = Act> {
    (0..2_usize, 0..3_usize, 0..KEEP, any::<bool>()).prop_map(
        |(instance, key, pause, gives_back)| Act {
            instance,
            key,
            pause,
            gives_back,
        },
    )
}

proptest! {
    // A key ran twice within the time for which it is known.
    #[test]
    fn no_key_runs_twice_within_the_time_for_which_it_is_known(
        acts in proptest::collection::vec(act(), 1..40),
    ) {
        let mut platform = Platform::default();
        let mut shards = [Shard::new(KEEP), Shard::new(KEEP)];
        let mut ran: Map<usize, u64> = Map::default();
        let mut now = 0;

        for (at, act) in acts.iter().enumerate() {
            now += act.pause;
            let (shard, name) = (&mut shards[act.instance], ["a", "b", "c"][act.key]);
            let bits = at as u128 + 1;
            if ask(&mut platform, shard, name, bits, now) != Decision::Run {
                continue;
            }

            let before = ran.get(&act.key);
            prop_assert!(before.is_none_or(|before| before + KEEP < now), "{before:?} {now}");
            match act.gives_back {
                true => give_back(&mut platform, shard, name, bits, now),
                false => drop(ran.insert(act.key, now)),
            }
        }
    }
}
