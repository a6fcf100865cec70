//! Tests of journal shards under lost replies, concurrent writers and restarts.

mod common;

use common::Fault;
use common::Platform;
use kernel::AttemptId;
use kernel::RequestId;
use once::Decision;
use once::Fingerprint;
use once::Key;
use once::Outcome;
use once::Shard;
use proptest::prelude::*;
use yare::parameterized;

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

// Guards against a released key that stays in doubt at another instance: the second instance read the intent,
// the first released the key, and the second decided from its outdated state.
#[test]
fn a_key_that_another_instance_released_can_be_claimed() {
    let mut platform = Platform::default();
    let (mut first, mut second) = (Shard::new(RETENTION_MS), Shard::new(RETENTION_MS));
    let run = claim(&mut platform, &mut first, "k", 1, 0);
    let before = claim(&mut platform, &mut second, "k", 2, 0);

    first.release(key("k"), attempt(1));
    run_until_idle(&mut platform, &mut first, 0);
    let after = claim(&mut platform, &mut second, "k", 3, 0);

    assert_eq!((run, before), (Decision::Run, Decision::Unknown));
    assert_eq!(after, Decision::Run);
}

#[test]
fn a_repeated_key_gets_the_recorded_response() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));

    let first = claim(&mut platform, &mut shard, "k", 1, 0);
    let second = claim(&mut platform, &mut shard, "k", 2, 0);
    shard.record_outcome(key("k"), outcome());
    let third = claim(&mut platform, &mut shard, "k", 3, 0);

    assert_eq!(first, Decision::Run);
    assert_eq!(second, Decision::Unknown);
    assert_eq!(third, Decision::Ran(outcome()));
}

#[test]
fn a_key_used_for_another_request_is_a_mismatch() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    claim(&mut platform, &mut shard, "k", 1, 0);

    shard.claim(
        key("k"),
        Fingerprint::new("POST", "/orders", b"cap"),
        attempt(2),
        0,
    );

    assert_eq!(shard.take_decision(attempt(2)), Some(Decision::Mismatch));
}

// Guards against a request that runs on two instances: both get the same key at once and read the shard before
// either writes. Check and write must be one transaction at the platform.
#[test]
fn one_of_two_concurrent_claims_wins() {
    let mut platform = Platform::default();
    let (mut first, mut second) = (Shard::new(RETENTION_MS), Shard::new(RETENTION_MS));
    first.claim(key("k"), fingerprint(), attempt(1), 0);
    second.claim(key("k"), fingerprint(), attempt(2), 0);
    platform.run_action(&mut first, Fault::None, 0);
    platform.run_action(&mut second, Fault::None, 0);

    run_until_idle(&mut platform, &mut first, 0);
    run_until_idle(&mut platform, &mut second, 0);

    assert_eq!(first.take_decision(attempt(1)), Some(Decision::Run));
    assert_eq!(second.take_decision(attempt(2)), Some(Decision::Unknown));
}

// Guards against a request that runs though its caller got the reply "not run", or that is refused forever: the reply
// to the write of the intent is lost and counts as a failure or as a success. The write may have taken effect, may
// take effect later, or never.
#[parameterized(
    never = { Fault::RequestLost },
    took_effect = { Fault::ReplyLost },
    later = { Fault::Delayed },
)]
fn a_write_whose_reply_was_lost_is_read_back(fault: Fault) {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    shard.claim(key("k"), fingerprint(), attempt(1), 0);
    platform.run_action(&mut shard, Fault::None, 0);

    platform.run_action(&mut shard, fault, 0);
    let early = shard.take_decision(attempt(1));
    run_until_idle(&mut platform, &mut shard, 0);
    platform.apply_delayed();

    assert_eq!(early, None);
    assert_eq!(shard.take_decision(attempt(1)), Some(Decision::Run));
    let intents = platform.segments.iter().flat_map(|s| &s.records).count();
    assert_eq!(intents, 1);
}

// Guards against a paused instance that resumes and runs a request that another has run meanwhile, as it would if a
// lease that has expired during the pause decided ownership.
#[test]
fn a_paused_writer_is_fenced() {
    let mut platform = Platform::default();
    let (mut paused, mut other) = (Shard::new(RETENTION_MS), Shard::new(RETENTION_MS));
    paused.claim(key("k"), fingerprint(), attempt(1), 0);
    platform.run_action(&mut paused, Fault::None, 0);

    let second = claim(&mut platform, &mut other, "k", 2, 0);
    run_until_idle(&mut platform, &mut paused, 0);

    assert_eq!(second, Decision::Run);
    assert_eq!(paused.take_decision(attempt(1)), Some(Decision::Unknown));
}

// Guards against an intent that outlives its attempt: the platform does not reply before the deadline, the caller
// gets the reply "not run", and the write takes effect afterwards.
#[parameterized(
    never = { Fault::RequestLost },
    took_effect = { Fault::ReplyLost },
    later = { Fault::Delayed },
)]
fn an_abandoned_attempt_releases_the_key(fault: Fault) {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    shard.claim(key("k"), fingerprint(), attempt(1), 0);
    platform.run_action(&mut shard, Fault::None, 0);
    platform.run_action(&mut shard, fault, 0);

    shard.abandon(key("k"), attempt(1));
    platform.apply_delayed();
    run_until_idle(&mut platform, &mut shard, 0);
    let again = claim(&mut platform, &mut shard, "k", 2, 0);

    assert_eq!(shard.take_decision(attempt(1)), None);
    assert_eq!(again, Decision::Run);
}

// Guards against a request that runs twice: a peer writes the intent for an instance and its reply is lost, the
// instance reads the intent itself and runs the request, and the peer releases the key when the connection closes.
// Only the attempt's own instance knows whether the request ran.
#[test]
fn a_peer_does_not_release_a_key_that_it_claimed_for_another_instance() {
    let mut platform = Platform::default();
    let (mut peer, mut own) = (Shard::new(RETENTION_MS), Shard::new(RETENTION_MS));
    peer.claim(key("k"), fingerprint(), attempt(1), 0);
    run_until_idle(&mut platform, &mut peer, 0);
    let mine = claim(&mut platform, &mut own, "k", 1, 0);

    peer.stop_waiting(attempt(1));
    run_until_idle(&mut platform, &mut peer, 0);
    let other = claim(&mut platform, &mut peer, "k", 2, 0);

    assert_eq!(mine, Decision::Run);
    assert_eq!(other, Decision::Unknown);
}

// Guards against a request that provably did not run but is reported as in doubt when it is sent again before the
// release of its key is written.
#[test]
fn a_claim_waits_for_a_pending_release() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    claim(&mut platform, &mut shard, "k", 1, 0);
    shard.release(key("k"), attempt(1));

    shard.claim(key("k"), fingerprint(), attempt(2), 0);
    let early = shard.take_decision(attempt(2));
    run_until_idle(&mut platform, &mut shard, 0);

    assert_eq!(early, None);
    assert_eq!(shard.take_decision(attempt(2)), Some(Decision::Run));
}

// Guards against a journal that grows without bound for lack of expiry, or that drops keys still in use because
// expiry follows only the order of writes.
#[test]
fn keys_are_kept_for_the_retention_time_and_dropped_after_it() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    claim(&mut platform, &mut shard, "old", 1, 0);
    claim(&mut platform, &mut shard, "mid", 2, RETENTION_MS / 2);

    claim(&mut platform, &mut shard, "new", 3, RETENTION_MS + 1);
    let mid = claim(&mut platform, &mut shard, "mid", 4, RETENTION_MS + 1);

    assert_eq!(mid, Decision::Unknown);
    assert_eq!(platform.segments.len(), 2);
    assert_eq!(shard.len(), 2);
}

#[test]
fn a_segment_decodes_to_what_was_encoded() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(RETENTION_MS));
    claim(&mut platform, &mut shard, "k", 1, 0);

    let segment = &platform.segments[0];

    let bytes = segment.encode().unwrap();
    assert_eq!(&once::Segment::decode(&bytes).unwrap(), segment);
    assert!(once::Segment::decode(b"\xc1").is_err());
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::RequestLost),
        1 => Just(Fault::ReplyLost),
        1 => Just(Fault::Delayed),
    ]
}

/// One event in a run over three instances and three keys.
#[derive(Clone, Debug)]
enum Event {
    /// An attempt of instance `owner` claims a key, through a peer if `writer` is another instance.
    Claim {
        owner: usize,
        writer: usize,
        key: usize,
    },
    /// An instance carries out its shard's next action.
    RunAction { instance: usize, fault: Fault },
    /// An attempt that claimed through a peer gets no reply and claims at its own instance.
    ClaimLocally { owner: usize },
    /// An attempt is abandoned.
    Abandon { owner: usize },
    /// A delayed write takes effect.
    ApplyDelayed,
    /// An instance loses its state and its attempts.
    Restart { instance: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let index = 0usize..3;
    prop_oneof![
        3 => (index.clone(), index.clone(), index.clone())
            .prop_map(|(owner, writer, key)| Event::Claim { owner, writer, key }),
        8 => (index.clone(), fault()).prop_map(|(instance, fault)| Event::RunAction { instance, fault }),
        1 => index.clone().prop_map(|owner| Event::ClaimLocally { owner }),
        1 => index.clone().prop_map(|owner| Event::Abandon { owner }),
        1 => Just(Event::ApplyDelayed),
        1 => index.prop_map(|instance| Event::Restart { instance }),
    ]
}

/// An undecided attempt: the instance that owns it, the one that writes its claim, and its key.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    attempt: AttemptId,
    owner: usize,
    writer: usize,
    key: usize,
}

const KEYS: [&str; 3] = ["a", "b", "c"];

proptest! {
    // Guards against a key that runs twice, or an abandoned attempt that runs, whichever messages
    // are lost, late, repeated or relayed and whichever instances restart.
    #[test]
    fn a_key_runs_at_most_once(events in prop::collection::vec(event(), 1..200)) {
        let mut platform = Platform::default();
        let mut shards: Vec<_> = (0..3).map(|_| Shard::new(RETENTION_MS)).collect();
        let mut open: Vec<OpenAttempt> = Vec::new();
        let mut runs = [0; 3];
        let mut bits = 0;
        for event in events {
            match event {
                Event::Claim { owner, writer, key: index } => {
                    bits += 1;
                    let attempt = attempt(bits);
                    shards[writer].claim(key(KEYS[index]), fingerprint(), attempt, 0);
                    open.push(OpenAttempt { attempt, owner, writer, key: index });
                }
                Event::RunAction { instance, fault } => {
                    platform.run_action(&mut shards[instance], fault, 0);
                }
                Event::ClaimLocally { owner } => {
                    let remote = open.iter_mut().find(|o| o.owner == owner && o.writer != owner);
                    if let Some(remote) = remote {
                        shards[remote.writer].stop_waiting(remote.attempt);
                        remote.writer = owner;
                        shards[owner].claim(key(KEYS[remote.key]), fingerprint(), remote.attempt, 0);
                    }
                }
                Event::Abandon { owner } => {
                    if let Some(index) = open.iter().position(|o| o.owner == owner) {
                        let abandoned = open.remove(index);
                        if abandoned.writer != owner {
                            shards[abandoned.writer].stop_waiting(abandoned.attempt);
                        }
                        shards[owner].abandon(key(KEYS[abandoned.key]), abandoned.attempt);
                    }
                }
                Event::ApplyDelayed => platform.apply_delayed(),
                Event::Restart { instance } => {
                    shards[instance] = Shard::new(RETENTION_MS);
                    open.retain(|o| o.owner != instance);
                }
            }
            open.retain(|o| match shards[o.writer].take_decision(o.attempt) {
                Some(answer) => {
                    runs[o.key] += u32::from(answer == Decision::Run);
                    false
                }
                None => true,
            });
            prop_assert!(runs.iter().all(|count| *count <= 1), "{runs:?}");
        }
    }
}
