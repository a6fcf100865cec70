//! Shares the slots of engines among the owners of steps.
//!
//! Load pattern: several trainers submit a step at the same moment, and each step has another owner. Load reports come
//! only with engines' answers, so each owner would fill every engine up to its slots, and runs beyond the slots get no
//! answer in time.
//!
//! Owners report to each other how many samples wait and which runs they have. An engine that several of them could
//! use has a home owner, chosen by weighted rendezvous hashing over those that have waiting samples. It may fill the
//! engine; the others leave it alone unless the home owner waits for nothing or leaves slots free for longer than it
//! takes to fill them.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use table::Upstream;

use crate::ModelDemand;
use crate::ReportOutcome;
use crate::SlotReport;
use crate::home_owner::home_owner;
use crate::slot_report::DueReport;
use crate::slot_report::engine_key;

/// Minimum time between two periodic reports of an owner, in milliseconds.
pub const REPORT_INTERVAL: Millis = 100;

/// Time after which a report expires, in milliseconds.
const REPORT_TTL: Millis = 1_000;

/// Time after which an unchanged report is repeated if no samples wait, in milliseconds: two reports may get lost
/// before one expires. An owner with waiting samples reports each [`REPORT_INTERVAL`], as others wait for a report
/// that shows whether it leaves slots free.
const REPEAT_INTERVAL: Millis = 300;

/// Time for which an owner that begins or returns starts no runs before others have replied, in milliseconds. Within a
/// region replies take a few milliseconds; a run takes seconds.
pub const HOLD_TIME: Millis = 40;

/// Time for which a slot has to be seen free before a report of its home owner shows that others may use it, in
/// milliseconds: by then the home owner has seen the slot as well and filled it if it can. Together with
/// [`REFILL_TIME`] and two reports, a free slot is used within 300 ms.
const SPARE_DELAY: Millis = 50;

/// Time for which a slot that a run has left is reported as used while samples wait, in milliseconds: an owner fills
/// it within 8 ms of processor time. A trial without it, in which a slot was used once it had been seen free for
/// 140 ms, had up to two runs beyond the slots in 1 of 40 replays on a busy machine.
const REFILL_TIME: Millis = 40;

/// Time between two checks of a spare slot after which it may have been used in between, in milliseconds: twice the
/// interval at which a step with waiting samples looks for free slots.
const MAX_CHECK_GAP: Millis = 100;

/// Time for which the sequence number of a silent owner is kept, in milliseconds, longer than any report is underway.
const SEQUENCE_TTL: Millis = 60_000;

/// Time for which reports are sent to an owner that has sent one, in milliseconds: trainers submit a step every few
/// seconds.
const SENDER_TTL: Millis = 10_000;

/// A report and when it was received or made.
#[derive(Clone, Debug)]
struct Known {
    report: SlotReport,
    at: Millis,
    expired: bool,
}

/// Slots that the home owner of an engine leaves free.
#[derive(Clone, Copy, Debug)]
struct Spare {
    /// The smallest number of runs that this instance could have had at any check since `since`.
    room: u32,
    since: Millis,
    checked_at: Millis,
}

/// The reports of owners, and what follows from them for this instance's runs.
///
/// # Examples
///
/// ```
/// use place::{ModelDemand, ReportOutcome, SlotShares};
///
/// let demand = ModelDemand {
///     service: "fit".into(), model: "m".into(), min_version: 1, waiting: 5, running: 0,
/// };
/// let mut a = SlotShares::new("a".into(), 1);
/// let mut b = SlotShares::new("b".into(), 1);
/// let report = a.report(vec![demand], 0);
///
/// assert_eq!(b.record(report.clone(), 0), ReportOutcome::AppliedFirst);
/// assert_eq!(b.record(report, 10), ReportOutcome::Outdated);
/// assert_eq!(b.active_owners().count(), 1);
/// ```
#[derive(Debug)]
pub struct SlotShares {
    me: Arc<str>,
    start: u64,
    seq: u64,
    own_runs: Map<u32, u32>,
    /// The last report of this instance to all others. Decisions use it as others do, so that all choose the same home
    /// owners.
    own: Option<Known>,
    /// The engines that own runs have left lately, each with the time at which this was noticed.
    left: Vec<(u32, Option<Millis>)>,
    others: Map<Arc<str>, Known>,
    /// Runs of the other owners on each engine.
    others_runs: Map<u32, u32>,
    /// The owners that have waiting samples, as last reported.
    contenders: Vec<SlotReport>,
    hold_until: Millis,
    /// The sequence number of this instance's report that was found to be expired, and when.
    stale: Cell<Option<(u64, Millis)>>,
    spares: RefCell<Map<u32, Spare>>,
}

impl SlotShares {
    /// Creates the state of an instance that knows of no other owner.
    pub fn new(me: Arc<str>, start: u64) -> Self {
        Self {
            me,
            start,
            seq: 0,
            own_runs: Map::default(),
            own: None,
            left: Vec::new(),
            others: Map::default(),
            others_runs: Map::default(),
            contenders: Vec::new(),
            hold_until: 0,
            stale: Cell::default(),
            spares: RefCell::default(),
        }
    }

    pub(crate) fn run_started(&mut self, engine: &str) {
        let key = engine_key(engine);
        *self.own_runs.entry(key).or_default() += 1;
        if let Some(refilled) = self.left.iter().position(|(left, _)| *left == key) {
            self.left.swap_remove(refilled);
        }
    }

    pub(crate) fn run_ended(&mut self, engine: &str) {
        let key = engine_key(engine);
        match self.own_runs.get_mut(&key) {
            Some(runs) if *runs > 1 => *runs -= 1,
            _ => drop(self.own_runs.remove(&key)),
        }
        self.left.push((key, None));
    }

    /// Makes a report for one other owner that has asked for it. It has the current runs, and the demands of the last
    /// report to all others if there is one: the asking owner has to choose the same home owners as this instance.
    pub fn reply(&mut self, demands: Vec<ModelDemand>) -> SlotReport {
        let last = self.own.as_ref().filter(|own| own.report.has_waiting());
        let demands = last.map_or(demands, |own| own.report.demands.clone());
        let runs = self.reported_runs(&demands);
        self.make_report(demands, runs)
    }

    fn make_report(&mut self, demands: Vec<ModelDemand>, runs: Vec<(u32, u32)>) -> SlotReport {
        self.seq += 1;
        SlotReport {
            owner: self.me.clone(),
            start: self.start,
            seq: self.seq,
            demands,
            runs,
        }
    }

    /// Makes a report to be sent to all other owners at once.
    pub fn report(&mut self, demands: Vec<ModelDemand>, now: Millis) -> SlotReport {
        let runs = self.reported_runs(&demands);
        let report = self.make_report(demands, runs);
        self.own = Some(Known {
            report: report.clone(),
            at: now,
            expired: false,
        });
        self.update_contenders();
        report
    }

    /// Returns the periodic report if one is due. It is to be called several times within [`REPORT_INTERVAL`].
    pub fn next_report(&mut self, demands: Vec<ModelDemand>, now: Millis) -> Option<DueReport> {
        self.expire(now);
        self.left.retain_mut(|(_, noticed_at)| {
            let noticed_at = *noticed_at.get_or_insert(now);
            now < noticed_at + REFILL_TIME
        });
        let runs = self.reported_runs(&demands);
        let is_idle = runs.is_empty() && demands.iter().all(|demand| demand.waiting == 0);
        let own = self.own.as_ref();
        if own.is_none_or(|own| own.report.is_idle()) && is_idle {
            return None;
        }
        let elapsed = own.map_or(REPORT_TTL, |own| now.saturating_sub(own.at));
        let unchanged =
            own.is_some_and(|own| own.report.demands == demands && own.report.runs == runs);
        let interval = match unchanged && !own.is_some_and(|own| own.report.has_waiting()) {
            true => REPEAT_INTERVAL,
            false => REPORT_INTERVAL,
        };
        if elapsed < interval {
            return None;
        }
        let wants_replies = elapsed >= REPORT_TTL;
        if wants_replies {
            self.hold_until = now + HOLD_TIME;
        }
        Some(DueReport {
            report: self.report(demands, now),
            wants_replies,
        })
    }

    /// Returns the time until a changed report may be sent.
    pub fn time_to_report(&self, now: Millis) -> Millis {
        let due = self.own.as_ref().map_or(0, |own| own.at + REPORT_INTERVAL);
        due.saturating_sub(now)
    }

    /// Ends the wait for replies to a report that wanted them.
    pub fn release(&mut self) {
        self.hold_until = 0;
    }

    /// Records the report of another owner.
    pub fn record(&mut self, report: SlotReport, now: Millis) -> ReportOutcome {
        if report.owner == self.me || !report.is_valid() {
            return ReportOutcome::Invalid;
        }
        let previous = self.others.get(&report.owner);
        let sequence = (report.start, report.seq);
        if previous.is_some_and(|known| sequence <= (known.report.start, known.report.seq)) {
            return ReportOutcome::Outdated;
        }
        let is_first = previous.is_none_or(|known| known.expired);
        let known = Known {
            report,
            at: now,
            expired: false,
        };
        self.others.insert(known.report.owner.clone(), known);
        self.update_runs();
        self.update_contenders();
        match is_first {
            true => ReportOutcome::AppliedFirst,
            false => ReportOutcome::Applied,
        }
    }

    /// Returns the other owners that have runs or waiting samples.
    pub fn active_owners(&self) -> impl Iterator<Item = &Arc<str>> {
        let others = self.others.iter();
        let active = others.filter(|(_, known)| !known.expired && !known.report.is_idle());
        active.map(|(owner, _)| owner)
    }

    /// Returns the owners that have sent a report recently.
    pub fn recent_senders(&self, now: Millis) -> impl Iterator<Item = &Arc<str>> {
        let recent = self.others.iter();
        let recent = recent.filter(move |(_, known)| now < known.at + SENDER_TTL);
        recent.map(|(owner, _)| owner)
    }

    /// Returns how many runs this instance may have on an engine that has `slots` slots; `own_runs` is the number that
    /// it has, and `version` returns the version of a model's weights on the engine.
    pub fn max_runs(
        &self,
        engine: &Upstream,
        slots: u32,
        own_runs: u32,
        version: impl Fn(&str) -> Option<u64>,
        now: Millis,
    ) -> u32 {
        if self.is_held(now) {
            return 0;
        }
        if self.others_runs.is_empty() && self.contenders.is_empty() {
            return slots;
        }
        let key = engine_key(&engine.id);
        let others_runs = self.others_runs.get(&key).copied().unwrap_or(0);
        let room = slots.saturating_sub(others_runs);
        if room <= own_runs {
            self.spares.borrow_mut().remove(&key);
            return room;
        }
        match home_owner(&self.contenders, engine, key, version) {
            Some(home) if home != &*self.me => self.spare_runs(home, key, own_runs, room, now),
            _ => room,
        }
    }

    /// Returns how many runs this instance may have on an engine of which another owner is the home owner.
    fn spare_runs(&self, home: &str, key: u32, own_runs: u32, room: u32, now: Millis) -> u32 {
        let reported_at = self.others.get(home).map_or(0, |known| known.at);
        // The home owner doesn't know yet of runs that have ended since the last report.
        let own = self.own.as_ref();
        let reported = own.map_or(0, |own| own.report.runs_on(key));
        let room = room.saturating_sub(reported.saturating_sub(own_runs));
        let mut spares = self.spares.borrow_mut();
        let new = Spare {
            room,
            since: now,
            checked_at: now,
        };
        let spare = spares.entry(key).or_insert(new);
        let is_used_up = own_runs >= spare.room;
        if now > spare.checked_at + MAX_CHECK_GAP || is_used_up {
            *spare = new;
        }
        spare.checked_at = now;
        spare.room = spare.room.min(room);
        match reported_at >= spare.since + SPARE_DELAY {
            true => spare.room,
            false => 0,
        }
    }

    /// Returns whether this instance, after a pause, has to learn of others before it starts runs: its own report has
    /// expired, and so have those of others. It waits at most [`HOLD_TIME`] for its next report, and as long for replies.
    fn is_held(&self, now: Millis) -> bool {
        if now < self.hold_until {
            return true;
        }
        let Some(own) = &self.own else { return false };
        if own.report.is_idle() || now < own.at + REPORT_TTL {
            return false;
        }
        let stale = self.stale.get().filter(|(seq, _)| *seq == own.report.seq);
        let (_, since) = stale.unwrap_or((own.report.seq, now));
        self.stale.set(Some((own.report.seq, since)));
        now < since + HOLD_TIME
    }

    /// Forgets what reports that have expired say, and spare slots that are no longer checked.
    fn expire(&mut self, now: Millis) {
        let mut changed = false;
        // After a long pause, reports are dropped that were not seen to expire.
        self.others.retain(|_, known| {
            let is_kept = now < known.at + SEQUENCE_TTL;
            changed |= !is_kept && !known.expired;
            is_kept
        });
        for known in self.others.values_mut() {
            if !known.expired && now >= known.at + REPORT_TTL {
                known.expired = true;
                changed = true;
            }
        }
        if changed {
            self.update_runs();
            self.update_contenders();
        }
        self.spares
            .get_mut()
            .retain(|_, spare| now <= spare.checked_at + MAX_CHECK_GAP);
    }

    fn update_runs(&mut self) {
        self.others_runs.clear();
        let others = self.others.values().filter(|known| !known.expired);
        for (engine, count) in others.flat_map(|known| &known.report.runs) {
            let runs = self.others_runs.entry(*engine).or_default();
            *runs = runs.saturating_add(*count);
        }
    }

    /// Updates the owners that have waiting samples; there are none if no other owner has any.
    fn update_contenders(&mut self) {
        let others = self.others.values().filter(|known| !known.expired);
        let others = others.filter(|known| known.report.has_waiting());
        self.contenders = others.map(|known| known.report.without_runs()).collect();
        let own = self.own.as_ref().filter(|own| own.report.has_waiting());
        if !self.contenders.is_empty() {
            self.contenders
                .extend(own.map(|own| own.report.without_runs()));
        }
    }

    /// Returns the runs on each engine, sorted by engine. If samples wait, they include the runs that have just ended.
    fn reported_runs(&self, demands: &[ModelDemand]) -> Vec<(u32, u32)> {
        let mut runs = self.own_runs.clone();
        if demands.iter().any(|demand| demand.waiting > 0) {
            for (engine, _) in &self.left {
                *runs.entry(*engine).or_default() += 1;
            }
        }
        let mut runs: Vec<_> = runs.into_iter().collect();
        runs.sort_unstable();
        runs
    }
}
