//! Tests of the journal's shards.

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

// Symptom: a key stays in doubt at one instance though another has given it back.
// Sequence: one instance writes the intent, a second reads it, the first proves that nothing ran.
// Cause: the second answers from what it read before.
#[test]
fn a_key_that_another_instance_gave_back_can_be_used() {
    let mut platform = Platform::default();
    let (mut first, mut second) = (Shard::new(KEEP), Shard::new(KEEP));
    let run = ask(&mut platform, &mut first, "k", 1, 0);
    let before = ask(&mut platform, &mut second, "k", 2, 0);

    first.release(key("k"), attempt(1));
    settle(&mut platform, &mut first, 0);
    let after = ask(&mut platform, &mut second, "k", 3, 0);

    assert_eq!((run, before), (Decision::Run, Decision::Unknown));
    assert_eq!(after, Decision::Run);
}

#[test]
fn the_same_key_gets_the_recorded_answer() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));

    let first = ask(&mut platform, &mut shard, "k", 1, 0);
    let second = ask(&mut platform, &mut shard, "k", 2, 0);
    shard.record_outcome(key("k"), outcome());
    let third = ask(&mut platform, &mut shard, "k", 3, 0);

    assert_eq!(first, Decision::Run);
    assert_eq!(second, Decision::Unknown);
    assert_eq!(third, Decision::Ran(outcome()));
}

#[test]
fn a_key_used_for_another_request_is_a_mismatch() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    ask(&mut platform, &mut shard, "k", 1, 0);

    shard.claim(
        key("k"),
        Fingerprint::new("POST", "/orders", b"cap"),
        attempt(2),
        0,
    );

    assert_eq!(shard.take_decision(attempt(2)), Some(Decision::Mismatch));
}

// Symptom: an order runs on two instances.
// Sequence: the balancer gives the same key to two instances at once; both read the shard before
// either writes.
// Cause: a check and a write that are not one step at the platform.
#[test]
fn one_of_two_instances_wins() {
    let mut platform = Platform::default();
    let (mut one, mut two) = (Shard::new(KEEP), Shard::new(KEEP));
    one.claim(key("k"), print(), attempt(1), 0);
    two.claim(key("k"), print(), attempt(2), 0);
    platform.serve(&mut one, Fault::None, 0);
    platform.serve(&mut two, Fault::None, 0);

    settle(&mut platform, &mut one, 0);
    settle(&mut platform, &mut two, 0);

    assert_eq!(one.take_decision(attempt(1)), Some(Decision::Run));
    assert_eq!(two.take_decision(attempt(2)), Some(Decision::Unknown));
}

// Symptom: an order runs though its caller was told "not run", or is refused for ever.
// Sequence: the write of the intent takes effect, or does not, or does so later; its answer never
// comes.
// Cause: taking a lost answer for a failure, or for a success.
#[parameterized(
    never = { Fault::LostBefore },
    took_effect = { Fault::LostAfter },
    later = { Fault::Delayed },
)]
fn a_lost_answer_is_read_back(fault: Fault) {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    shard.claim(key("k"), print(), attempt(1), 0);
    platform.serve(&mut shard, Fault::None, 0);

    platform.serve(&mut shard, fault, 0);
    let early = shard.take_decision(attempt(1));
    settle(&mut platform, &mut shard, 0);
    platform.land();

    assert_eq!(early, None);
    assert_eq!(shard.take_decision(attempt(1)), Some(Decision::Run));
    let intents = platform.segments.iter().flat_map(|s| &s.records).count();
    assert_eq!(intents, 1);
}

// Symptom: a paused instance resumes and runs an order that another has run since.
// Sequence: instance one reads the shard and pauses; two runs the key; one goes on and writes.
// Cause: ownership decided by a lease that the paused owner still believes in.
#[test]
fn a_paused_writer_is_fenced() {
    let mut platform = Platform::default();
    let (mut one, mut two) = (Shard::new(KEEP), Shard::new(KEEP));
    one.claim(key("k"), print(), attempt(1), 0);
    platform.serve(&mut one, Fault::None, 0);

    let second = ask(&mut platform, &mut two, "k", 2, 0);
    settle(&mut platform, &mut one, 0);

    assert_eq!(second, Decision::Run);
    assert_eq!(one.take_decision(attempt(1)), Some(Decision::Unknown));
}

// Symptom: a caller is told "not run" and the order runs all the same.
// Sequence: the platform does not answer until the deadline; the attempt gives up; the write lands.
// Cause: an intent that outlives the attempt which made it.
#[parameterized(
    never = { Fault::LostBefore },
    took_effect = { Fault::LostAfter },
    later = { Fault::Delayed },
)]
fn an_attempt_that_gave_up_frees_the_key(fault: Fault) {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    shard.claim(key("k"), print(), attempt(1), 0);
    platform.serve(&mut shard, Fault::None, 0);
    platform.serve(&mut shard, fault, 0);

    shard.abandon(key("k"), attempt(1));
    platform.land();
    settle(&mut platform, &mut shard, 0);
    let again = ask(&mut platform, &mut shard, "k", 2, 0);

    assert_eq!(shard.take_decision(attempt(1)), None);
    assert_eq!(again, Decision::Run);
}

// Symptom: an order runs twice.
// Sequence: an instance asks through a peer; the peer writes the intent and its answer is lost;
// the instance reads the intent itself and runs the order; the peer notices that the connection
// is gone and gives the right back.
// Cause: a right given back by somebody who cannot know that it was not used.
#[test]
fn a_peer_does_not_give_back_what_it_asked_for_another() {
    let mut platform = Platform::default();
    let (mut peer, mut own) = (Shard::new(KEEP), Shard::new(KEEP));
    peer.claim(key("k"), print(), attempt(1), 0);
    settle(&mut platform, &mut peer, 0);
    let mine = ask(&mut platform, &mut own, "k", 1, 0);

    peer.stop_waiting(attempt(1));
    settle(&mut platform, &mut peer, 0);
    let other = ask(&mut platform, &mut peer, "k", 2, 0);

    assert_eq!(mine, Decision::Run);
    assert_eq!(other, Decision::Unknown);
}

// Symptom: an order that provably did not run is called in doubt when it is sent again at once.
// Sequence: an attempt gives its right back; the same key comes before that is written.
// Cause: answering from what is written while a change of it is on its way.
#[test]
fn a_key_that_is_being_given_back_is_waited_for() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    ask(&mut platform, &mut shard, "k", 1, 0);
    shard.release(key("k"), attempt(1));

    shard.claim(key("k"), print(), attempt(2), 0);
    let early = shard.take_decision(attempt(2));
    settle(&mut platform, &mut shard, 0);

    assert_eq!(early, None);
    assert_eq!(shard.take_decision(attempt(2)), Some(Decision::Run));
}

// Symptom: the journal grows without end, or forgets a key that is still in use.
// Sequence: keys are used over a long time.
// Cause: no horizon, or one that goes by the order of writing alone.
#[test]
fn keys_are_kept_for_the_horizon_and_dropped_after_it() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    ask(&mut platform, &mut shard, "old", 1, 0);
    ask(&mut platform, &mut shard, "mid", 2, KEEP / 2);

    ask(&mut platform, &mut shard, "new", 3, KEEP + 1);
    let mid = ask(&mut platform, &mut shard, "mid", 4, KEEP + 1);

    assert_eq!(mid, Decision::Unknown);
    assert_eq!(platform.segments.len(), 2);
    assert_eq!(shard.len(), 2);
}

#[test]
fn a_segment_reads_as_it_was_written() {
    let (mut platform, mut shard) = (Platform::default(), Shard::new(KEEP));
    ask(&mut platform, &mut shard, "k", 1, 0);

    let segment = &platform.segments[0];

    let bytes = segment.encode().unwrap();
    assert_eq!(&once::Segment::decode(&bytes).unwrap(), segment);
    assert!(once::Segment::decode(b"\xc1").is_err());
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::LostAfter),
        1 => Just(Fault::Delayed),
    ]
}

/// One step of a run over three instances and three keys.
#[derive(Clone, Debug)]
enum Step {
    /// An attempt of instance `on` asks, through peer `by` if that is another.
    Ask { on: usize, by: usize, key: usize },
    /// An instance carries out what its shard wants next.
    Serve { on: usize, fault: Fault },
    /// An attempt through a peer gets no answer and asks at its own instance.
    Return { on: usize },
    /// An attempt gives up.
    GiveUp { on: usize },
    /// A delayed write takes effect.
    Land,
    /// An instance forgets all; its attempts die with it.
    Restart { on: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let on = 0usize..3;
    prop_oneof![
        3 => (on.clone(), on.clone(), on.clone())
            .prop_map(|(on, by, key)| Step::Ask { on, by, key }),
        8 => (on.clone(), fault()).prop_map(|(on, fault)| Step::Serve { on, fault }),
        1 => on.clone().prop_map(|on| Step::Return { on }),
        1 => on.clone().prop_map(|on| Step::GiveUp { on }),
        1 => Just(Step::Land),
        1 => on.prop_map(|on| Step::Restart { on }),
    ]
}

/// An attempt that waits: whose it is, whom it has asked, and for which key.
#[derive(Clone, Copy, Debug)]
struct Open {
    attempt: AttemptId,
    on: usize,
    by: usize,
    key: usize,
}

const KEYS: [&str; 3] = ["a", "b", "c"];

proptest! {
    // The model of the promise: whatever is lost, late, doubled, relayed or restarted, each key
    // runs at most once; an attempt that gave up never runs.
    #[test]
    fn a_key_runs_at_most_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut platform = Platform::default();
        let mut shards: Vec<_> = (0..3).map(|_| Shard::new(KEEP)).collect();
        let mut open: Vec<Open> = Vec::new();
        let mut runs = [0; 3];
        let mut bits = 0;
        for step in steps {
            match step {
                Step::Ask { on, by, key: which } => {
                    bits += 1;
                    let attempt = attempt(bits);
                    shards[by].claim(key(KEYS[which]), print(), attempt, 0);
                    open.push(Open { attempt, on, by, key: which });
                }
                Step::Serve { on, fault } => {
                    platform.serve(&mut shards[on], fault, 0);
                }
                Step::Return { on } => {
                    let away = open.iter_mut().find(|o| o.on == on && o.by != on);
                    if let Some(away) = away {
                        shards[away.by].stop_waiting(away.attempt);
                        away.by = on;
                        shards[on].claim(key(KEYS[away.key]), print(), away.attempt, 0);
                    }
                }
                Step::GiveUp { on } => {
                    if let Some(at) = open.iter().position(|o| o.on == on) {
                        let gone = open.remove(at);
                        if gone.by != on {
                            shards[gone.by].stop_waiting(gone.attempt);
                        }
                        shards[on].abandon(key(KEYS[gone.key]), gone.attempt);
                    }
                }
                Step::Land => platform.land(),
                Step::Restart { on } => {
                    shards[on] = Shard::new(KEEP);
                    open.retain(|o| o.on != on);
                }
            }
            open.retain(|o| match shards[o.by].take_decision(o.attempt) {
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
