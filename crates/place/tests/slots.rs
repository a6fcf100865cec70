//! Tests of how owners share the slots of engines.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use place::EngineMemory;
use place::EngineTracker;
use place::ModelDemand;
use place::PlacementRequest;
use place::PlacementRound;
use place::ReportOutcome;
use place::SlotReport;
use place::SlotShares;
use place::slots::HOLD_TIME;
use place::slots::REPORT_INTERVAL;
use table::Incarnation;
use table::Upstream;
use table::UpstreamList;
use yare::parameterized;

const SLOTS: u32 = 8;

/// Time for which a run lasts, in milliseconds.
const RUN_TIME: Millis = 700;

/// Interval between two searches for free slots while samples wait, in milliseconds.
const PASS: Millis = 10;

/// An owner with samples of one model.
struct Owner {
    tracker: EngineTracker,
    model: Arc<str>,
    waiting: u32,
    /// Engine and start of each run.
    runs: Vec<(Arc<str>, Millis)>,
    served: u32,
}

impl Owner {
    fn new(name: &str, start: u64, model: &str, waiting: u32) -> Self {
        let mut tracker = EngineTracker::default();
        tracker.share_slots(SlotShares::new(name.into(), start));
        Self {
            tracker,
            model: model.into(),
            waiting,
            runs: Vec::new(),
            served: 0,
        }
    }

    fn shares(&mut self) -> &mut SlotShares {
        self.tracker.slot_shares().unwrap()
    }

    fn demands(&self) -> Vec<ModelDemand> {
        vec![ModelDemand {
            service: "fit".into(),
            model: self.model.clone(),
            min_version: 1,
            waiting: self.waiting,
            running: self.runs.len() as u32,
        }]
    }

    fn report(&mut self, now: Millis) -> SlotReport {
        let demands = self.demands();
        self.shares().report(demands, now)
    }

    fn next_report(&mut self, now: Millis) -> Option<SlotReport> {
        let demands = self.demands();
        let due = self.shares().next_report(demands, now);
        due.map(|due| due.report)
    }

    fn place(&mut self, list: &UpstreamList, now: Millis) {
        let model = self.model.clone();
        let request = PlacementRequest {
            service: "fit",
            model: Some(&model),
            min_version: 1,
            queue_limit: 0,
            domain: "nord",
            cached_on: None,
            avoid: &[],
            tokens: 0,
            memory: EngineMemory::default(),
        };
        let mut round = PlacementRound::new(&self.tracker, list, &request, now);
        while self.waiting > 0
            && let Some(engine) = round.choose(&self.tracker, list, &request, now)
        {
            self.tracker.run_started(&engine.id, 0);
            self.runs.push((engine.id.clone(), now));
            self.waiting -= 1;
            self.served += 1;
        }
    }

    fn end_runs(&mut self, now: Millis) {
        let is_over = |run: &mut (Arc<str>, Millis)| now >= run.1 + RUN_TIME;
        for (engine, _) in self.runs.extract_if(.., is_over) {
            self.tracker.run_ended(&engine, 0);
        }
    }
}

/// Engines that serve all the models.
fn engines(count: usize, models: &[&str]) -> UpstreamList {
    let engine = |index: usize| Upstream {
        id: format!("f{index}").into(),
        incarnation: Incarnation {
            name: format!("f{index}").into(),
            started_at: None,
            heartbeats: 1,
        },
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "nord".into(),
        slots: SLOTS,
        leaving: false,
        spot: false,
        weights: models.iter().map(|model| ((*model).into(), 1)).collect(),
    };
    let mut list = UpstreamList::default();
    list.update((0..count).map(engine).collect(), 0);
    list
}

/// Owners `o0`, `o1` and so on of one model, with these numbers of waiting samples.
fn owners(waiting: &[u32]) -> Vec<Owner> {
    let owner =
        |(index, waiting): (usize, &u32)| Owner::new(&format!("o{index}"), 1, "m", *waiting);
    waiting.iter().enumerate().map(owner).collect()
}

/// Delivers reports to all owners but their senders.
fn deliver(owners: &mut [Owner], reports: &[(usize, SlotReport)], now: Millis) {
    for (index, owner) in owners.iter_mut().enumerate() {
        for (_, report) in reports.iter().filter(|(sender, _)| *sender != index) {
            owner.shares().record(report.clone(), now);
        }
    }
}

/// All owners report to each other.
fn exchange(owners: &mut [Owner], now: Millis) {
    let reports: Vec<_> = owners
        .iter_mut()
        .map(|owner| owner.report(now))
        .enumerate()
        .collect();
    deliver(owners, &reports, now);
}

/// The largest number of runs of all owners on one engine.
fn max_runs(owners: &[Owner]) -> u32 {
    let mut counts: Map<&str, u32> = Map::default();
    for (engine, _) in owners.iter().flat_map(|owner| &owner.runs) {
        *counts.entry(engine).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

fn used_slots(owners: &[Owner]) -> usize {
    owners.iter().map(|owner| owner.runs.len()).sum()
}

// Guards against runs without an answer because several owners that began at the same moment filled the same slots.
#[parameterized(
    two = { &[200, 200] },
    four = { &[200, 200, 200, 200] },
    unequal = { &[300, 30, 5, 200] },
)]
fn owners_that_begin_together_never_exceed_the_slots(waiting: &[u32]) {
    let list = engines(12, &["m"]);
    let mut owners = owners(waiting);
    exchange(&mut owners, 0);

    for owner in &mut owners {
        owner.place(&list, 0);
    }

    assert!(max_runs(&owners) <= SLOTS);
    assert!(used_slots(&owners) > 0);
}

// Guards against an owner with little work that gets as many engines as one with much.
#[test]
fn slots_are_shared_in_proportion_to_the_work() {
    let list = engines(200, &["m"]);
    let mut owners = owners(&[6_000, 2_000]);
    exchange(&mut owners, 0);

    for owner in &mut owners {
        owner.place(&list, 0);
    }

    let share = owners[0].runs.len() as f64 / used_slots(&owners) as f64;
    assert_eq!(used_slots(&owners), 200 * SLOTS as usize);
    assert!((0.65..0.85).contains(&share), "{share}");
}

// Guards against more runs on an engine than it has slots, and against slots that are free for longer than 300 ms while
// samples wait: owners begin one after another, report at different times and see each other's reports late.
#[test]
fn slots_are_neither_exceeded_nor_left_free() {
    let list = engines(6, &["m"]);
    let mut owners = owners(&[0, 0, 0]);
    let begins = [(1, 300), (1, 90), (450, 200)];
    let mut underway: Vec<(Millis, usize, SlotReport)> = Vec::new();
    let mut free_since = None;

    for now in (0..4_000).step_by(PASS as usize) {
        let arrived: Vec<_> = underway.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, sender, report) in arrived {
            deliver(&mut owners, &[(sender, report)], now);
        }
        for (index, (at, samples)) in begins.into_iter().enumerate() {
            if (now..now + PASS).contains(&at) {
                owners[index].waiting = samples;
                // Others have replied before it places samples.
                exchange(&mut owners, now);
            }
        }
        for (index, owner) in owners.iter_mut().enumerate() {
            owner.end_runs(now);
            owner.place(&list, now);
            // Each owner checks every 30 ms whether a report is due.
            if (now + 10 * index as Millis).is_multiple_of(30)
                && let Some(report) = owner.next_report(now)
            {
                underway.push((now + 20, index, report));
            }
        }

        assert!(max_runs(&owners) <= SLOTS, "at {now} ms");
        let has_waiting = owners.iter().any(|owner| owner.waiting > 0);
        match has_waiting && used_slots(&owners) < 6 * SLOTS as usize {
            true => free_since = free_since.or(Some(now)),
            false => free_since = None,
        }
        let free_for = now - free_since.unwrap_or(now);
        assert!(free_for <= 300, "at {now} ms: {free_for} ms");
    }
    let served: u32 = owners.iter().map(|owner| owner.served).sum();
    // Six engines run 48 samples at a time, each for 700 ms.
    assert!(served >= 220, "{served}");
}

// Guards against engines that stay empty since their home owner waits but cannot use them.
#[test]
fn slots_that_the_home_owner_leaves_free_are_used() {
    let list = engines(8, &["m"]);
    let mut owners = owners(&[500, 500]);
    exchange(&mut owners, 0);

    let mut first_full = None;
    for now in (0..300).step_by(PASS as usize) {
        if let Some(report) = owners[0].next_report(now) {
            deliver(&mut owners, &[(0, report)], now);
        }
        owners[1].place(&list, now);
        if first_full.is_none() && used_slots(&owners) == 8 * SLOTS as usize {
            first_full = Some(now);
        }
    }

    // The home owner's next report is due after that time, and shows its runs if it has filled the slots.
    assert!(first_full.is_some_and(|at| at >= REPORT_INTERVAL));
}

// Guards against runs beyond the slots of an engine that its home owner fills all the time: a report that is made
// between the end of a run and the start of the next one must not show a free slot.
#[test]
fn a_slot_that_is_about_to_be_filled_is_not_reported_as_free() {
    let list = engines(1, &["m"]);
    let mut owner = Owner::new("a", 1, "m", 500);
    owner.report(0);
    owner.place(&list, 0);
    owner.end_runs(RUN_TIME);
    let ended = owner.next_report(RUN_TIME).unwrap();
    owner.place(&list, RUN_TIME);
    let refilled = owner.next_report(RUN_TIME + REPORT_INTERVAL).unwrap();
    owner.waiting = 0;
    owner.end_runs(2 * RUN_TIME);
    let last = owner.next_report(2 * RUN_TIME).unwrap();

    let runs = |report: &SlotReport| report.runs.iter().map(|(_, count)| *count).sum::<u32>();
    assert_eq!([&ended, &refilled, &last].map(runs), [SLOTS, SLOTS, 0]);
}

// Guards against slots that stay free because their home owner has nothing to run.
#[test]
fn an_idle_home_owner_lends_its_slots() {
    let list = engines(8, &["m"]);
    let mut owners = owners(&[500, 0, 0]);
    exchange(&mut owners, 0);

    owners[0].place(&list, 0);

    assert_eq!(used_slots(&owners), 8 * SLOTS as usize);
}

// Guards against a home owner that fills slots which others have borrowed.
#[test]
fn a_home_owner_counts_the_runs_of_others() {
    let list = engines(8, &["m"]);
    let mut owners = owners(&[500, 0]);
    exchange(&mut owners, 0);
    owners[0].place(&list, 0);
    owners[1].waiting = 500;
    exchange(&mut owners, 10);

    owners[1].place(&list, 10);

    assert_eq!(max_runs(&owners), SLOTS);
}

// Guards against a difference from an instance that shares nothing, while no other owner is known or can use the
// engines.
#[parameterized(
    alone = { "m", None },
    other_model = { "m", Some("x") },
)]
fn an_engine_of_one_owner_has_no_limit_but_its_slots(model: &str, other: Option<&str>) {
    let list = engines(4, &["m"]);
    let mut owners = vec![Owner::new("a", 1, model, 500)];
    owners.extend(other.map(|model| Owner::new("b", 1, model, 500)));
    exchange(&mut owners, 0);

    owners[0].place(&list, 0);

    assert_eq!(owners[0].runs.len(), 4 * SLOTS as usize);
}

// Guards against engines that are kept free for an owner that was killed or cut off.
#[test]
fn a_silent_owner_expires() {
    let list = engines(4, &["m"]);
    let mut owners = owners(&[500, 500]);
    exchange(&mut owners, 0);
    owners[0].place(&list, 0);
    let before = owners[0].runs.len();

    for now in (0..=1_000).step_by(REPORT_INTERVAL as usize) {
        owners[0].next_report(now);
    }
    owners[0].place(&list, 1_000);

    assert!(before < 4 * SLOTS as usize);
    assert_eq!(owners[0].runs.len(), 4 * SLOTS as usize);
}

// Guards against an owner that was paused and fills engines which others have taken meanwhile, since their reports
// have expired here.
#[test]
fn a_paused_owner_waits_for_replies() {
    let list = engines(4, &["m"]);
    let mut owners = owners(&[500, 500]);
    exchange(&mut owners, 0);

    owners[0].place(&list, 5_000);
    let held = owners[0].runs.len();
    let demands = owners[0].demands();
    let due = owners[0].shares().next_report(demands, 5_010).unwrap();
    owners[0].place(&list, 5_020);
    let held_for_replies = owners[0].runs.len();
    owners[0].shares().release();
    owners[0].place(&list, 5_020);

    assert!(due.wants_replies);
    assert_eq!((held, held_for_replies), (0, 0));
    assert_eq!(owners[0].runs.len(), 4 * SLOTS as usize);
}

// Guards against slots that stay reserved for an owner that is gone: its report was dropped after a pause of more than
// a minute without being seen to expire, so the room that its runs took was never given back.
#[test]
fn runs_of_an_owner_that_vanished_during_a_long_pause_do_not_count() {
    let list = engines(1, &["m"]);
    let mut owners = owners(&[0, 8]);
    owners[1].place(&list, 0);
    let report = owners[1].report(0);
    owners[0].shares().record(report, 0);
    let now = 120_000;

    owners[0].next_report(now);
    owners[0].waiting = 8;
    owners[0].place(&list, now);

    assert_eq!(owners[0].served, 8);
}

// Guards against samples that wait for good because this instance's own reports have ceased.
#[test]
fn an_owner_without_reports_of_its_own_goes_on() {
    let list = engines(4, &["m"]);
    let mut owners = owners(&[500]);
    exchange(&mut owners, 0);

    owners[0].place(&list, 5_000);
    owners[0].place(&list, 5_000 + HOLD_TIME);

    assert_eq!(owners[0].runs.len(), 4 * SLOTS as usize);
}

// Guards against reports that are overtaken by newer ones, and against a restarted owner that is taken for outdated.
#[test]
fn only_newer_reports_are_applied() {
    let mut receiver = SlotShares::new("a".into(), 1);
    let mut sender = Owner::new("b", 7, "m", 5);
    let first = sender.report(0);
    let second = sender.report(0);
    let mut restarted = Owner::new("b", 8, "m", 5);

    assert_eq!(receiver.record(second, 0), ReportOutcome::AppliedFirst);
    assert_eq!(receiver.record(first, 0), ReportOutcome::Outdated);
    let third = restarted.report(0);
    assert_eq!(receiver.record(third, 0), ReportOutcome::Applied);
    let late = sender.report(0);
    assert_eq!(receiver.record(late, 2_000), ReportOutcome::Outdated);
}

#[test]
fn invalid_reports_are_ignored() {
    let mut receiver = SlotShares::new("a".into(), 1);
    let own = SlotShares::new("a".into(), 2).report(Vec::new(), 0);
    let huge = Owner::new("b", 1, "m", u32::MAX).report(0);

    assert_eq!(receiver.record(own, 0), ReportOutcome::Invalid);
    assert_eq!(receiver.record(huge, 0), ReportOutcome::Invalid);
    assert_eq!(receiver.active_owners().count(), 0);
}

// Guards against messages without end: an owner that has run everything sends one last report.
#[test]
fn an_idle_owner_sends_one_last_report() {
    let mut owner = Owner::new("a", 1, "m", 5);
    let mut sent = Vec::new();

    for now in (0..2_000).step_by(REPORT_INTERVAL as usize) {
        if now == 1_000 {
            owner.waiting = 0;
        }
        sent.extend(owner.next_report(now).map(|report| (now, report.is_idle())));
    }

    let last = sent.pop();
    assert_eq!(last, Some((1_000, true)));
    assert_eq!(sent.len(), 10);
    assert!(sent.iter().all(|(_, is_idle)| !is_idle));
}

// Guards against many runs beyond the slots while owners' views differ: only the engines whose home owner differs
// between the views are affected.
#[test]
fn views_that_differ_exceed_few_slots() {
    let list = engines(100, &["m"]);
    let mut owners = owners(&[1_000, 1_000]);
    exchange(&mut owners, 0);
    // Owner 0 has sent another report, which owner 1 has not received.
    owners[0].waiting = 900;
    owners[0].report(10);

    for owner in &mut owners {
        owner.place(&list, 10);
    }

    let beyond = used_slots(&owners).saturating_sub(100 * SLOTS as usize);
    assert!(beyond <= 10 * SLOTS as usize, "{beyond}");
}
