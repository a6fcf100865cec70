//! Tests of engines that load weights while samples are placed.

use std::sync::Arc;

use place::EngineMemory;
use place::EngineTracker;
use place::Load;
use place::LoadNotice;
use place::PlacementRequest;
use place::PlacementRound;
use place::Rejection;
use table::Incarnation;
use table::Upstream;
use table::UpstreamList;
use yare::parameterized;

const FREE: Option<Load> = Some(Load {
    running: 1,
    waiting: 0,
    pace: None,
});

const FULL: Option<Load> = Some(Load {
    running: 8,
    waiting: 0,
    pace: None,
});

/// An engine with 8 slots that has version 1 of the models `m` and `n`.
fn engine(id: &str) -> Upstream {
    Upstream {
        id: id.into(),
        incarnation: Incarnation {
            name: id.into(),
            started_at: None,
            heartbeats: 1,
        },
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "nord".into(),
        slots: 8,
        leaving: false,
        spot: false,
        weights: vec![("m".into(), 1), ("n".into(), 1)],
    }
}

fn notice() -> LoadNotice {
    LoadNotice {
        model: "m".into(),
        version: 2,
        duration: 900,
    }
}

/// An instance that places samples at these engines.
struct Owner {
    list: UpstreamList,
    tracker: EngineTracker,
}

impl Owner {
    fn new(engines: &[&str]) -> Self {
        let mut list = UpstreamList::default();
        list.update(engines.iter().map(|id| engine(id)).collect(), 0);
        Self {
            list,
            tracker: EngineTracker::default(),
        }
    }

    /// Places as many samples as there is room for; returns their engines.
    fn place(&mut self, model: &str, now: u64) -> Vec<Arc<str>> {
        let request = PlacementRequest {
            service: "fit",
            model: Some(model),
            min_version: 1,
            queue_limit: 0,
            domain: "nord",
            cached_on: Some("a"),
            avoid: &[],
            tokens: 0,
            memory: EngineMemory::default(),
        };
        let mut round = PlacementRound::new(&self.tracker, &self.list, &request, now);
        let mut placed = Vec::new();
        while let Some(engine) = round.choose(&self.tracker, &self.list, &request, now) {
            self.tracker.run_started(&engine.id, 0);
            self.tracker.model_run_started(&engine.id, model, now);
            placed.push(engine.id.clone());
        }
        placed
    }

    /// Rejects a run of model `m` that was started at `started`.
    fn reject(&mut self, id: &str, load: Option<Load>, started: u64, now: u64) -> Rejection {
        self.tracker.run_ended(&id.into(), 0);
        self.tracker
            .run_rejected(&engine(id), &"m".into(), load, started, now)
    }

    /// Places samples of model `m`, and ends their runs without an answer; returns their number.
    fn count_placed(&mut self, now: u64) -> usize {
        let placed = self.place("m", now);
        for id in &placed {
            self.tracker.run_ended(id, 0);
        }
        placed.len()
    }
}

// Guards against 8 rejections by each of the engines that load when a step begins: the notices come first.
#[test]
fn no_sample_is_placed_at_an_engine_that_is_known_to_load() {
    let mut owner = Owner::new(&["a", "b", "c"]);

    let is_new = owner.tracker.load_notified(&engine("a"), &notice(), 0);

    assert!(is_new);
    let placed = owner.place("m", 100);
    assert_eq!(placed.len(), 16);
    assert!(placed.iter().all(|id| **id != *"a"));
    assert_eq!(owner.place("m", 899).len(), 0);
    assert_eq!(owner.place("m", 900).len(), 1);
}

// Guards against free slots while samples of other models wait: an engine that loads runs them.
#[test]
fn other_models_are_placed_at_an_engine_that_loads() {
    let mut owner = Owner::new(&["a"]);
    owner.tracker.load_notified(&engine("a"), &notice(), 0);

    assert_eq!(owner.place("m", 100).len(), 0);
    assert_eq!(owner.place("n", 100).len(), 8);
}

// Guards against 8 rejections every 150 ms from each loading engine when the notices were lost. All samples that were
// sent together are rejected together, which counts as one rejection.
#[test]
fn rejections_replace_a_lost_notice() {
    let mut owner = Owner::new(&["a"]);
    let mut sent = owner.place("m", 0);
    assert_eq!(sent.len(), 8);
    assert_eq!(owner.reject("a", FREE, 0, 20), Rejection::Loading(150));
    for _ in 1..8 {
        assert_eq!(owner.reject("a", FREE, 0, 190), Rejection::KnownLoading);
    }

    let mut backoffs = Vec::new();
    let mut now = 170;
    for _ in 0..4 {
        assert_eq!(owner.place("m", now - 1).len(), 0);
        sent = owner.place("m", now);
        assert_eq!(sent.len(), 1);
        assert_eq!(owner.place("m", now + 5).len(), 0);
        let Rejection::Loading(backoff) = owner.reject("a", FREE, now, now + 10) else {
            panic!("the rejection was not counted");
        };
        backoffs.push(backoff);
        now += 10 + backoff;
    }
    assert_eq!(backoffs, [300, 600, 600, 600]);
}

// Guards against slots that stay free after the load: once the engine executes the run that tries it, all others follow.
#[test]
fn an_engine_that_executes_a_run_is_filled() {
    let mut owner = Owner::new(&["a"]);
    owner.place("m", 0);
    for _ in 0..8 {
        owner.reject("a", FREE, 0, 20);
    }
    assert_eq!(owner.place("m", 170).len(), 1);

    // The answer to a run that was sent before the load shows nothing.
    let by_earlier = owner.tracker.model_run_accepted(&"a".into(), "m", 0);
    assert_eq!(owner.place("m", 180).len(), 0);
    let by_trial = owner.tracker.model_run_accepted(&"a".into(), "m", 171);

    assert_eq!((by_earlier, by_trial), (false, true));
    assert_eq!(owner.place("m", 190).len(), 7);
}

// Guards against an engine that is never used again because the run that tried it was never answered.
#[test]
fn an_unanswered_trial_is_followed_by_another() {
    let mut owner = Owner::new(&["a"]);
    owner.tracker.load_notified(&engine("a"), &notice(), 0);
    assert_eq!(owner.count_placed(900), 1);

    assert_eq!(owner.count_placed(1_499), 0);
    assert_eq!(owner.count_placed(1_500), 1);
    owner.tracker.model_run_ended("a", "m", 1_501);
    assert_eq!(owner.count_placed(1_520), 1);
}

// Guards against a backoff from models that a full engine would reject as well, or the other way round.
#[parameterized(
    free = { FREE, Rejection::Loading(150) },
    full = { FULL, Rejection::Full },
    queued = { Some(Load { running: 0, waiting: u32::MAX, pace: None }), Rejection::Full },
    unknown = { None, Rejection::Full },
)]
fn a_rejection_by_a_full_engine_is_no_load(load: Option<Load>, expected: Rejection) {
    let mut owner = Owner::new(&["a"]);

    assert_eq!(owner.reject("a", load, 0, 20), expected);
}

// Guards against a wait for the announced time when the engine has the new weights earlier.
#[test]
fn a_newer_version_ends_the_avoidance() {
    let mut owner = Owner::new(&["a", "b", "c", "d"]);
    owner.tracker.load_notified(&engine("a"), &notice(), 0);
    owner.tracker.load_notified(&engine("b"), &notice(), 0);
    owner.reject("c", FREE, 0, 0);
    owner.reject("d", FREE, 0, 0);
    assert_eq!(owner.place("m", 100).len(), 0);

    owner.tracker.version_seen(&"a".into(), &"m".into(), 2);
    owner.tracker.version_seen(&"d".into(), &"m".into(), 2);
    let listed = |id| Upstream {
        weights: vec![("m".into(), 2)],
        ..engine(id)
    };
    owner
        .list
        .update(vec![engine("a"), listed("b"), listed("c"), engine("d")], 1);

    let placed = owner.place("m", 100);
    let count = |id: &str| placed.iter().filter(|placed| ***placed == *id).count();
    // Without a notice, the list may name the version of an earlier load.
    assert_eq!(["a", "b", "c", "d"].map(count), [8, 8, 1, 8]);
}

// Guards against 900 ms without a run on an engine that has loaded already when the notice arrives.
#[test]
fn a_late_notice_is_dropped() {
    let mut owner = Owner::new(&["a"]);
    owner.tracker.version_seen(&"a".into(), &"m".into(), 2);

    let is_new = owner.tracker.load_notified(&engine("a"), &notice(), 0);

    assert!(!is_new);
    assert_eq!(owner.place("m", 0).len(), 8);
}

// Guards against knowledge about an engine that is applied to its next start, which has another ID.
#[test]
fn a_restarted_engine_is_not_avoided() {
    let mut owner = Owner::new(&["a@1"]);
    owner.tracker.load_notified(&engine("a@1"), &notice(), 0);

    owner.list.update(vec![engine("a@2")], 1);
    owner.tracker.prune(&owner.list);

    assert_eq!(owner.place("m", 100).len(), 8);
    assert!(!owner.tracker.is_loading(&engine("a@1"), "m", 100));
}

// Guards against loads of long ago that hold back an owner which was paused.
#[test]
fn a_paused_owner_has_forgotten_loads() {
    let mut owner = Owner::new(&["a", "b"]);
    owner.tracker.load_notified(&engine("a"), &notice(), 0);
    owner.reject("b", FREE, 0, 0);

    assert_eq!(owner.place("m", 3_000).len(), 16);
    assert_eq!(
        owner.reject("b", FREE, 3_000, 3_020),
        Rejection::Loading(150)
    );
}

// Guards against an engine that is left alone for minutes because of one wrong message.
#[parameterized(
    none = { 0, false },
    ordinary = { 900, true },
    longest = { 10_000, true },
    too_long = { 10_001, false },
    overflowing = { u64::MAX, false },
)]
fn durations_out_of_range_are_invalid(duration: u64, expected: bool) {
    let notice = LoadNotice {
        duration,
        ..notice()
    };

    assert_eq!(notice.is_valid(), expected);
}

// Guards against a wait for the announced time although the engine says that it executes no order any more.
#[parameterized(
    idle_before_the_notice = { &[(false, 0)], 0 },
    idle_at_first = { &[(false, 100)], 0 },
    idle_for_longer = { &[(false, 350)], 1 },
    idle_after_busy = { &[(true, 20), (false, 200)], 1 },
    still_busy = { &[(false, 20), (true, 350)], 0 },
)]
fn an_idle_engine_is_tried(reports: &[(bool, u64)], expected: usize) {
    let mut owner = Owner::new(&["a"]);
    owner.tracker.load_notified(&engine("a"), &notice(), 10);

    for (is_busy, sent) in reports {
        owner.tracker.order_state_reported("a", *is_busy, *sent);
    }

    assert_eq!(owner.place("m", 400).len(), expected);
}
