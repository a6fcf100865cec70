//! Choice of engines, moves, and the order of samples, under the loads that they answer.

use std::collections::BinaryHeap;
use std::sync::Arc;

use place::EngineMemory;
use place::EngineTracker;
use place::Load;
use place::PendingSample;
use place::PlacementRequest;
use place::PlacementRound;
use place::order_samples;
use table::Incarnation;
use table::Upstream;
use table::UpstreamList;
use yare::parameterized;

fn engine(id: &str, slots: u32, version: u64) -> Upstream {
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
        slots,
        leaving: false,
        spot: false,
        weights: vec![("m".into(), version)],
    }
}

fn roster(engines: Vec<Upstream>) -> UpstreamList {
    let mut roster = UpstreamList::default();
    roster.update(engines, 0);
    roster
}

fn want() -> PlacementRequest<'static> {
    PlacementRequest {
        service: "fit",
        model: Some("m"),
        min_version: 1,
        queue_limit: 0,
        domain: "nord",
        cached_on: None,
        avoid: &[],
        tokens: 0,
        memory: EngineMemory::default(),
    }
}

fn id(name: &str) -> Arc<str> {
    name.into()
}

fn chosen(
    fleet: &EngineTracker,
    roster: &UpstreamList,
    want: &PlacementRequest<'_>,
    now: u64,
) -> Option<String> {
    fleet
        .choose(roster, want, now)
        .map(|one| one.id.to_string())
}

// Symptom: samples wait inside an engine while another one has a free slot.
// Sequence: more samples come at once than there are slots.
// Cause: what waits inside an engine cannot be placed elsewhere.
#[test]
fn a_full_engine_gets_nothing_more() {
    let roster = roster(vec![engine("a", 2, 1), engine("b", 1, 1)]);
    let mut fleet = EngineTracker::default();
    let mut placed = Vec::new();

    while let Some(one) = fleet.choose(&roster, &want(), 0) {
        fleet.run_started(&one.id, 0);
        placed.push(one.id.to_string());
    }

    placed.sort();
    assert_eq!(placed, ["a", "a", "b"]);
}

#[test]
fn what_others_run_there_counts_for_a_moment() {
    let roster = roster(vec![engine("a", 2, 1)]);
    let mut fleet = EngineTracker::default();
    let load = Load {
        running: 2,
        waiting: 0,
    };

    fleet.load_reported(&id("a"), load, 0);

    assert_eq!(chosen(&fleet, &roster, &want(), 100), None);
    assert_eq!(
        chosen(&fleet, &roster, &want(), 1_000).as_deref(),
        Some("a")
    );
}

#[parameterized(
    old_weights = { PlacementRequest { min_version: 3, ..want() }, None },
    new_enough = { PlacementRequest { min_version: 2, ..want() }, Some("new") },
    other_service = { PlacementRequest { service: "other", ..want() }, None },
    other_model = { PlacementRequest { model: Some("x"), ..want() }, None },
    kin = { PlacementRequest { cached_on: Some("old"), ..want() }, Some("old") },
)]
fn an_engine_has_to_fit(want: PlacementRequest<'_>, expected: Option<&str>) {
    let roster = roster(vec![engine("new", 2, 2), engine("old", 2, 1)]);

    let chosen = chosen(&EngineTracker::default(), &roster, &want, 0);

    assert_eq!(chosen.as_deref(), expected);
}

// Symptom: samples wait for weights that an engine has had for two seconds.
// Sequence: the engine states its new version; the list of upstreams still has the old one.
// Cause: the list lags; what an engine states itself counts at once.
#[test]
fn what_an_engine_states_counts_before_the_list() {
    let roster = roster(vec![engine("a", 2, 1)]);
    let mut fleet = EngineTracker::default();

    fleet.version_seen(&id("a"), &id("m"), 2);

    let want = PlacementRequest {
        min_version: 2,
        ..want()
    };
    assert_eq!(chosen(&fleet, &roster, &want, 0).as_deref(), Some("a"));
}

#[test]
fn an_engine_that_failed_rests_longer_each_time() {
    let roster = roster(vec![engine("a", 2, 1)]);
    let mut fleet = EngineTracker::default();

    fleet.engine_failed(&id("a"), 0);
    let first = chosen(&fleet, &roster, &want(), 300);
    fleet.engine_failed(&id("a"), 300);
    let second = chosen(&fleet, &roster, &want(), 600);

    assert!(first.is_some());
    assert!(second.is_none());
}

// Symptom: a step waits for samples on engines that have turned slow.
// Sequence: a third of the engines become four times slower while samples run there.
// Cause: a run moves as soon as another engine with room makes it whole sooner.
#[test]
fn a_slow_third_does_not_hold_a_step_up() {
    let roster = roster(vec![
        engine("a", 4, 1),
        engine("b", 4, 1),
        engine("c", 4, 1),
    ]);
    let mut fleet = EngineTracker::default();
    for _ in 0..30 {
        fleet.event_received(&id("a"), 40.0);
        fleet.event_received(&id("b"), 40.0);
        fleet.event_received(&id("c"), 160.0);
    }

    let long = fleet.choose_better(&roster, &want(), "c", 50, 0);
    let short = fleet.choose_better(&roster, &want(), "c", 1, 0);
    let fine = fleet.choose_better(&roster, &want(), "a", 50, 0);

    assert!(long.is_some_and(|one| &*one.id != "c"));
    assert!(short.is_none());
    assert!(fine.is_none());
}

// Symptom: 57 samples of a step wait for four seconds before three sound engines with free places.
// Sequence: the connections of an instance are reset, and 24 runs at three engines break at once.
// Cause: each run that breaks doubled the time for which its engine gets nothing; those that break
// together tell of one failure.
#[test]
fn runs_that_break_together_are_one_failure() {
    let roster = roster(vec![
        engine("a", 16, 1),
        engine("b", 16, 1),
        engine("c", 16, 1),
    ]);
    let mut fleet = EngineTracker::default();
    for name in ["a", "b", "c"] {
        for broken in 0..8 {
            fleet.engine_failed(&id(name), 1_000 + broken);
        }
    }

    let placed = (1_000..6_000).find(|now| chosen(&fleet, &roster, &want(), *now).is_some());

    // 4,000 ms before.
    assert_eq!(placed, Some(1_250));
}

// Symptom: samples that were to begin at once begin seconds late, while engines of a domain that is cut
// off look free.
// Sequence: engines go dark with a step's samples waiting; each run there ends after half a second
// without an answer.
// Cause: all free places of an engine that had failed were filled again after its rest. One run shows
// whether it answers.
#[test]
fn an_engine_that_failed_gets_one_run_until_it_answers() {
    let roster = roster(vec![engine("a", 16, 1)]);
    let mut fleet = EngineTracker::default();
    fleet.engine_failed(&id("a"), 0);

    let trial = fleet.choose(&roster, &want(), 300);
    fleet.run_started(&id("a"), 0);
    let second = fleet.choose(&roster, &want(), 310);
    fleet.event_received(&id("a"), 40.0);
    let after = fleet.choose(&roster, &want(), 400);

    assert!(trial.is_some());
    assert!(second.is_none());
    assert!(after.is_some());
}

fn job(index: u32, group: u32, expected: u32) -> PendingSample {
    PendingSample {
        index,
        group: format!("g{group}").into(),
        expected_tokens: expected,
        carried_over: false,
    }
}

/// When the last of the jobs ends, begun in this order on so many places.
fn makespan(jobs: &[PendingSample], places: usize) -> u32 {
    let mut free: BinaryHeap<_> = (0..places).map(|_| std::cmp::Reverse(0)).collect();
    let mut last = 0;
    for job in jobs {
        let std::cmp::Reverse(at) = free.pop().unwrap();
        let end = at + job.expected_tokens;
        last = last.max(end);
        free.push(std::cmp::Reverse(end));
    }
    last
}

// Symptom: a step ends late though there was room.
// Sequence: a burst of samples, a tenth of them five times as long, on a quarter as many places.
// Cause: a long sample that begins last ends last.
#[test]
fn a_burst_ends_sooner_with_the_longest_first() {
    let jobs: Vec<_> = (0..96)
        .map(|at| job(at, at / 4, if at % 11 == 10 { 125 } else { 25 }))
        .collect();

    let before = makespan(&jobs, 24);
    let after = makespan(&order_samples(jobs, 24), 24);

    assert!(after * 10 <= before * 9, "{after} of {before}");
}

#[test]
fn what_the_trainer_does_not_wait_for_begins_last() {
    let jobs = vec![job(0, 0, 10), job(1, 1, 90), job(2, 2, 20)];

    let order: Vec<_> = order_samples(jobs, 2).iter().map(|job| job.index).collect();

    assert_eq!(order, [2, 0, 1]);
}

#[test]
fn a_left_over_group_is_never_put_last() {
    let mut jobs = vec![job(0, 0, 10), job(1, 1, 90), job(2, 2, 20)];
    jobs[1].carried_over = true;

    let order: Vec<_> = order_samples(jobs, 2).iter().map(|job| job.index).collect();

    assert_eq!(order[0], 1);
}

// Symptom: runs move to another engine for the sake of their last few events.
// Sequence: senders expect 2,000 tokens; an engine sends a hundred of them in one event.
// Cause: taking tokens for events.
#[test]
fn a_run_that_is_nearly_whole_does_not_move() {
    let roster = roster(vec![engine("slow", 8, 1), engine("fast", 8, 1)]);
    let mut fleet = EngineTracker::default();
    for _ in 0..30 {
        fleet.event_received(&id("slow"), 100.0);
        fleet.event_received(&id("fast"), 50.0);
    }
    fleet.sample_finished(1_000, 10);
    let better = |done| {
        let left = fleet.remaining_events(2_000, done);
        fleet
            .choose_better(&roster, &want(), "slow", left, 0)
            .is_some()
    };

    assert!(better(2));
    assert!(!better(18));
}

/// EngineMemory of an engine that holds three of the longest samples but not four.
const MEMORY: EngineMemory = EngineMemory {
    capacity_tokens: 32_000,
    event_tokens: 100,
};

fn growing(taken: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        tokens: taken,
        memory: MEMORY,
        ..want()
    }
}

// Symptom: samples stand still in the midst of their text, the longest of a step most of all.
// Sequence: a burst begins with the longest samples, and all go to the fastest engine; they grow
//   until its memory holds few of them.
// Cause: counting slots alone. An engine whose memory runs out puts its newest run back.
#[test]
fn runs_leave_an_engine_before_its_memory_runs_out() {
    let roster = roster(vec![engine("fast", 8, 1), engine("slow", 8, 1)]);
    let mut fleet = EngineTracker::default();
    fleet.event_received(&id("fast"), 50.0);
    fleet.event_received(&id("slow"), 60.0);
    let mut on = Vec::new();
    for _ in 0..5 {
        let one = fleet.choose(&roster, &growing(300), 0).unwrap();
        fleet.run_started(&one.id, 300);
        on.push(one.id.clone());
    }
    assert!(on.iter().filter(|one| &***one == "fast").count() > 3);
    let mut most = 0;

    for event in 1..=90 {
        let taken = 300 + event * 100;
        for one in &mut on {
            fleet.run_grew(one, 100);
            let better = fleet.choose_better(&roster, &growing(taken), one, 10, 0);
            if let Some(better) = better.filter(|_| event % 4 == 0) {
                fleet.run_ended(one, taken);
                fleet.run_started(&better.id, taken);
                *one = better.id.clone();
            }
        }
        let there = |name: &str| on.iter().filter(|one| &***one == name).count() as u64;
        most = most.max(taken * there("fast").max(there("slow")));
    }

    assert!(most <= u64::from(MEMORY.capacity_tokens), "{most}");
}

#[test]
fn an_engine_whose_memory_is_full_gets_nothing_more() {
    let roster = roster(vec![engine("a", 8, 1)]);
    let mut fleet = EngineTracker::default();
    fleet.run_started(&id("a"), 300);
    let before = fleet.choose(&roster, &growing(300), 0).is_some();

    fleet.run_grew(&id("a"), 28_000);

    assert!(before);
    assert!(fleet.choose(&roster, &growing(300), 0).is_none());
}

/// A fleet of engines with places, paces and versions that differ.
fn mixed(engines: &[(u32, u32, u8, u64)]) -> (UpstreamList, EngineTracker) {
    let name = |at: usize| format!("e{at:02}");
    let all = engines.iter().enumerate();
    let listed = all.map(|(at, (slots, ..))| Upstream {
        domain: ["nord", "syd"][at % 2].into(),
        ..engine(&name(at), *slots, 1)
    });
    let roster = roster(listed.collect());
    let mut fleet = EngineTracker::default();
    for (at, (_, mine, pace, version)) in engines.iter().enumerate() {
        let id = id(&name(at));
        (0..*mine).for_each(|_| fleet.run_started(&id, 50));
        if *pace > 0 {
            fleet.event_received(&id, f64::from(*pace));
        }
        fleet.version_seen(&id, &"m".into(), *version);
    }
    (roster, fleet)
}

proptest::proptest! {
    // Thousands of samples that begin together weighed all engines anew each; what is weighed once must give
    // the same engines.
    #[test]
    fn a_round_chooses_as_single_choices_do(
        engines in proptest::collection::vec((0..5_u32, 0..4_u32, 0..60_u8, 0..3_u64), 1..24),
        samples in proptest::collection::vec((0..24_usize, 0..24_usize, 0..300_u64, 0..2_u8), 1..60),
        holds in 0..600_u32,
    ) {
        let (roster, mut one) = mixed(&engines);
        let (_, mut other) = mixed(&engines);
        let memory = EngineMemory { capacity_tokens: holds, event_tokens: 1 };
        let mut round = None;
        for (avoid, kin, taken, has_kin) in samples {
            let avoid = [id(&format!("e{avoid:02}"))];
            let kin = format!("e{kin:02}");
            let want = PlacementRequest {
                avoid: &avoid,
                cached_on: (has_kin > 0).then_some(&*kin),
                tokens: taken,
                memory,
                ..want()
            };
            let single = one.choose(&roster, &want, 0);
            let round = round.get_or_insert_with(|| PlacementRound::new(&other, &roster, &want, 0));
            let together = round.choose(&other, &roster, &want, 0);
            proptest::prop_assert_eq!(
                single.as_ref().map(|one| &one.id),
                together.as_ref().map(|one| &one.id)
            );
            if let Some(engine) = single {
                one.run_started(&engine.id, taken);
                other.run_started(&engine.id, taken);
            }
        }
    }
}
