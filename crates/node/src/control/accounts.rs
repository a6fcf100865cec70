//! Reporting the requests of teams, window by window.
//!
//! What can go wrong: a report whose answer was lost is sent again by a successor that has collected other
//! figures, and the platform has two for one window. Each report is therefore written down under the revision
//! of the one before, and sent only when that write is known to hold.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::Millis;
use kernel::Set;
use plat::PlatError;
use tokio::time::sleep;
use usage::Ledger;
use usage::NextAction;
use usage::Report;
use usage::WindowCounts;
use usage::Windows;

use super::kept;
use super::kept::Kept;
use super::office::Office;
use crate::App;
use crate::dialect::Account;
use crate::dialect::Accounted;
use crate::member;
use crate::meter;
use crate::peer;
use crate::reach::Reach;
use crate::settings::Accounts;
use spread::Member;

/// The key of what was reported.
const KEY: &str = "snipeway/usage";

/// Pause between two tries, and between two looks at instances that have not closed a window.
const AGAIN: Duration = Duration::from_millis(300);

/// Time that a report has to be answered.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Most bytes of an answer.
const MOST: usize = 64 << 10;

/// Time after the end of a window from which instances that have not closed it are asked themselves, in
/// milliseconds: their keeper may have been restarted and know nothing.
const DIRECT: Millis = 900;

/// Part of the time that a report may take for which it waits for instances that are silent.
const PATIENCE: f64 = 0.6;

/// Time for which reports fail before it is asked whether another instance reaches the address, in milliseconds.
const UNREACHED: Millis = 2_000;

/// Why the holder of the duty gives it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unable {
    /// Another instance reaches the address that takes reports, and this one does not.
    Unreached,
}

/// The holder's reports.
pub(super) struct Reports<'a> {
    app: &'a Arc<App>,
    office: &'a Office,
    to: Accounts,
    windows: Windows,
    ledger: Option<Kept<Ledger>>,
    /// The last window that the platform has taken from this holder.
    taken: u64,
    /// Since when reports have failed.
    failing: Option<Millis>,
    reach: Reach,
}

impl<'a> Reports<'a> {
    /// Makes a holder that has reported nothing yet; [`None`] where nothing is reported.
    pub(super) fn new(app: &'a Arc<App>, office: &'a Office) -> Option<Self> {
        let to = app.settings.accounts?;
        Some(Self {
            app,
            office,
            to,
            windows: Windows::new(to.window),
            ledger: None,
            taken: 0,
            failing: None,
            reach: Reach::new("address of reports"),
        })
    }

    /// Reports window after window, until another instance had better do it.
    pub(super) async fn run(mut self) -> Unable {
        loop {
            let pause = match self.turn().await {
                Ok(pause) => pause,
                Err(error) => {
                    self.ledger = None;
                    let error = error.to_string();
                    log::debug!(target: "accounts", error = error.as_str(); "record of reports not reached");
                    AGAIN
                }
            };
            if self.is_unable().await {
                return Unable::Unreached;
            }
            sleep(pause).await;
        }
    }

    async fn turn(&mut self) -> Result<Duration, PlatError> {
        let now = self.app.clock.steady();
        if !self.has_teams() || !self.office.may_order(self.app.clock.now()) {
            return Ok(AGAIN);
        }
        let (mut ledger, rev) = match self.ledger.take() {
            Some(held) => held,
            None => self.open(now).await?,
        };
        // Everything that is written down is sent before anything new is.
        let sent = self.send(&ledger).await;
        if !sent {
            self.ledger = Some((ledger, rev));
            return Ok(AGAIN);
        }
        let window = match ledger.next_action(self.windows, now) {
            NextAction::Wait(wait) => {
                self.ledger = Some((ledger, rev));
                return Ok(Duration::from_millis(wait).min(AGAIN));
            }
            NextAction::Collect(window) => window,
        };
        let Some(report) = self.collect(&ledger, window, now).await else {
            self.ledger = Some((ledger, rev));
            return Ok(AGAIN);
        };
        let requests: u64 = report.counts.iter().map(|(_, count)| count).sum();
        log::info!(target: "accounts", window, teams = report.counts.len(), requests,
            age_ms = now.saturating_sub(self.windows.end(window)); "window added up");
        ledger.record(report);
        let rev = kept::write(self.app, KEY, &ledger, rev).await?;
        self.ledger = Some((ledger, rev));
        Ok(Duration::ZERO)
    }

    /// Reads what was reported. The first holder of all writes down with which window it begins: a successor would
    /// else begin with its own, and leave out those before.
    async fn open(&self, now: Millis) -> Result<Kept<Ledger>, PlatError> {
        if let Some(held) = kept::read(self.app, KEY).await? {
            return Ok(held);
        }
        let ledger = Ledger::starting_at(self.first(now).await);
        let rev = kept::write(self.app, KEY, &ledger, 0).await?;
        Ok((ledger, rev))
    }

    fn has_teams(&self) -> bool {
        let plan = self.app.plan.load();
        plan.as_ref().is_some_and(|plan| plan.teams.is_some())
    }

    /// The first window of which anybody has a request: entry instances serve before there is a holder.
    async fn first(&self, now: Millis) -> u64 {
        let newest = self.windows.containing(now);
        let before = Ledger::reportable_before(newest);
        let members = self.meet().await;
        let asks = members.iter().map(|one| self.oldest(one, before.clone()));
        let told = join_all(asks).await;
        let own = before.clone().find(|window| {
            let shares = crate::tally::window_counts(self.app, *window);
            shares.iter().any(|share| !share.counts.is_empty())
        });
        told.into_iter().flatten().chain(own).fold(newest, u64::min)
    }

    /// The oldest window in which an instance knows of a request that was served, or has one under way itself. One
    /// that does not answer is asked no further, so that it holds up nobody.
    async fn oldest(&self, one: &Member, windows: Range<u64>) -> Option<u64> {
        let me = (one.owner.instance.clone(), one.owner.start);
        for window in windows {
            let shares = peer::shares(self.app, one.addr, window).await?;
            let under_way = |share: &WindowCounts| share.source == me && !share.closed;
            if shares
                .iter()
                .any(|share| !share.counts.is_empty() || under_way(share))
            {
                return Some(window);
            }
        }
        None
    }

    /// Reads who has entered: what is known may be seconds old, and an entry that has just started may have told a
    /// control instance that has just started as well. Gives those who were there a while ago, too.
    async fn meet(&self) -> Vec<Member> {
        if let Ok(members) = member::list(self.app).await {
            self.app.met(members);
        }
        self.app.acquainted()
    }

    /// Collects the figures of a window from all who may have some.
    async fn collect(&self, ledger: &Ledger, window: u64, now: Millis) -> Option<Report> {
        let members = self.meet().await;
        let entered = self.app.members.lock().clone();
        let live = entered.iter().filter(|one| one.is_reader);
        let live: Set<_> = live
            .map(|one| (one.owner.instance.clone(), one.owner.start))
            .collect();
        let keepers = members.iter().filter(|one| !one.is_reader);
        let asks = keepers.map(|one| peer::shares(self.app, one.addr, window));
        let told = join_all(asks).await;
        let mut shares: Vec<WindowCounts> = told.into_iter().flatten().flatten().collect();
        shares.extend(crate::tally::window_counts(self.app, window));
        let age = now.saturating_sub(self.windows.end(window));
        if age >= DIRECT {
            let known = members.iter().filter(|one| one.is_reader);
            let known = known.map(|one| (one.owner.instance.clone(), one.owner.start));
            let missing = Ledger::missing_sources(&shares, &known.collect());
            let silent = members
                .iter()
                .filter(|one| missing.iter().any(|(name, _)| *name == one.owner.instance));
            let asks = silent.map(|one| peer::shares(self.app, one.addr, window));
            shares.extend(join_all(asks).await.into_iter().flatten().flatten());
        }
        let late = age as f64 >= self.to.late as f64 * PATIENCE;
        ledger.aggregate(window, shares, &live, age, late)
    }

    /// Sends what is written down and was not taken from this holder; tells whether all of it was.
    async fn send(&mut self, ledger: &Ledger) -> bool {
        for report in ledger.reports() {
            if report.window <= self.taken {
                continue;
            }
            match self.report(report).await {
                Some(Accounted::Taken | Accounted::Refused) => self.taken = report.window,
                Some(Accounted::Busy | Accounted::Fenced) | None => return false,
            }
        }
        true
    }

    async fn report(&mut self, report: &Report) -> Option<Accounted> {
        let now = self.app.clock.now();
        // Asked right before each report: the process may have been paused since the last renewal.
        if !self.office.may_order(now) {
            return None;
        }
        let account = Account {
            addr: self.to.address,
            report,
            holder: &self.app.me.instance,
            fence: self.office.fence(),
        };
        let request = match self.app.dialect.account(&account) {
            Ok(request) => request,
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "accounts", window = report.window, error = error.as_str(); "no report");
                return Some(Accounted::Refused);
            }
        };
        let answer = self.app.http.fetch(request, LIMIT, MOST).await;
        let came = match &answer {
            Ok(answer) => {
                self.failing = None;
                self.reach.back();
                Some(self.app.dialect.accounted(answer.status()))
            }
            Err(_) => {
                self.failing.get_or_insert(now);
                self.reach.lost(&PlatError::Unreachable);
                None
            }
        };
        let outcome = match came {
            Some(Accounted::Taken) => "taken",
            Some(Accounted::Busy) => "busy",
            Some(Accounted::Fenced) => "fenced",
            Some(Accounted::Refused) => "refused",
            None => "unanswered",
        };
        metrics::counter!(meter::ACCOUNTS, "result" => outcome).increment(1);
        let end = self.windows.end(report.window);
        log::info!(target: "accounts", window = report.window, fence = account.fence, outcome,
            age_ms = self.app.clock.steady().saturating_sub(end); "window reported");
        came
    }

    /// Tells whether another instance that may hold the duty reaches the address and this one does not.
    async fn is_unable(&self) -> bool {
        let Some(since) = self.failing else {
            return false;
        };
        if self.app.clock.now() < since + UNREACHED
            || crate::tally::can_reach_accounts(self.app).await
        {
            return false;
        }
        let members = self.app.members.lock().clone();
        let others = members
            .iter()
            .filter(|one| !one.is_reader && one.owner.instance != self.app.me.instance);
        let asks = others.map(|one| peer::reaches(self.app, one.addr));
        join_all(asks).await.contains(&true)
    }
}
