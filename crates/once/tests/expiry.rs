//! Tests of the expiry of keys that were released and claimed again.

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

/// Time for which a shard keeps a key.
const RETENTION_MS: u64 = 60_000;

fn key(text: &str) -> Key {
    Key::new("aarhus", "portal", text).unwrap()
}

fn attempt(bits: u128) -> AttemptId {
    RequestId::from_bits(bits).attempt(0)
}

fn fingerprint() -> Fingerprint {
    Fingerprint::new("POST", "/orders", b"blazer")
}

fn outcome() -> Outcome {
    Outcome {
        status: 201,
        content_type: "text/plain".into(),
        body: Some(b"ok".to_vec().into()),
    }
}

fn run_until_idle(platform: &mut Platform, shard: &mut Shard, now: u64) {
    for _ in 0..8 {
        platform.run_action(shard, Fault::None, now);
    }
}

/// Claims a key, runs the shard until it is idle and returns the decision.
fn claim(platform: &mut Platform, shard: &mut Shard, text: &str, bits: u128, now: u64) -> Decision {
    shard.claim(key(text), fingerprint(), attempt(bits), now);
    run_until_idle(platform, shard, now);
    shard.take_decision(attempt(bits)).unwrap()
}

fn release(platform: &mut Platform, shard: &mut Shard, text: &str, bits: u128, now: u64) {
    shard.release(key(text), attempt(bits));
    run_until_idle(platform, shard, now);
}

// Guards against a request that runs twice because its key, released and claimed again, expired with the first claim.
#[test]
fn a_key_that_was_claimed_again_is_kept_from_its_last_claim() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    claim(&mut platform, &mut shard, "k", 1, 0);
    release(&mut platform, &mut shard, "k", 1, 0);
    let second = claim(&mut platform, &mut shard, "k", 2, RETENTION_MS - 10_000);
    shard.record_outcome(key("k"), outcome());

    // The first claim expires with this write.
    claim(&mut platform, &mut shard, "other", 3, RETENTION_MS + 10_000);
    let third = claim(&mut platform, &mut shard, "k", 4, RETENTION_MS + 10_000);

    assert_eq!(second, Decision::Run);
    assert_eq!(third, Decision::Ran(outcome()));
}

// Guards against a request that runs twice: an instance with an outdated shard ignored a second claim because it
// still held the expired first one, then dropped the key.
#[test]
fn an_instance_with_an_outdated_shard_learns_of_the_last_claim() {
    let mut platform = Platform::default();
    let (mut first, mut second) = (Shard::new(RETENTION_MS), Shard::new(RETENTION_MS));
    claim(&mut platform, &mut first, "k", 1, 0);
    let early = claim(&mut platform, &mut second, "k", 2, 0);
    release(&mut platform, &mut first, "k", 1, 0);
    let again = claim(&mut platform, &mut first, "k", 3, RETENTION_MS - 10_000);

    // This write deletes the segments of the first claim and its release.
    claim(&mut platform, &mut first, "other", 4, RETENTION_MS + 10_000);
    let late = claim(&mut platform, &mut second, "k", 5, RETENTION_MS + 10_000);

    assert_eq!((early, again), (Decision::Unknown, Decision::Run));
    assert_eq!(late, Decision::Unknown);
}

/// A claim by one of two instances after a pause.
#[derive(Clone, Copy, Debug)]
struct TimedClaim {
    instance: usize,
    key: usize,
    pause: u64,
    /// Whether the key is released at once because the request did not run.
    releases: bool,
}

fn timed_claim() -> impl Strategy<Value = TimedClaim> {
    (0..2_usize, 0..3_usize, 0..RETENTION_MS, any::<bool>()).prop_map(
        |(instance, key, pause, releases)| TimedClaim {
            instance,
            key,
            pause,
            releases,
        },
    )
}

proptest! {
    // Guards against a key that runs twice within its retention time.
    #[test]
    fn no_key_runs_twice_within_its_retention_time(
        claims in proptest::collection::vec(timed_claim(), 1..40),
    ) {
        let mut platform = Platform::default();
        let mut shards = [Shard::new(RETENTION_MS), Shard::new(RETENTION_MS)];
        let mut ran: Map<usize, u64> = Map::default();
        let mut now = 0;

        for (index, timed) in claims.iter().enumerate() {
            now += timed.pause;
            let (shard, name) = (&mut shards[timed.instance], ["a", "b", "c"][timed.key]);
            let bits = index as u128 + 1;
            if claim(&mut platform, shard, name, bits, now) != Decision::Run {
                continue;
            }

            let before = ran.get(&timed.key);
            prop_assert!(before.is_none_or(|before| before + RETENTION_MS < now), "{before:?} {now}");
            match timed.releases {
                true => release(&mut platform, shard, name, bits, now),
                false => drop(ran.insert(timed.key, now)),
            }
        }
    }
}
