//! Reports the requests of teams, window by window.
//!
//! If the answer to a report is lost, the next leader sends the report again. If it collected other counts for that
//! window, the platform would have two different reports of it. Each report is therefore stored by a compare-and-swap
//! first, and sent only when that write is known to have been applied.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::Millis;
use kernel::Set;
use net::SendError;
use plat::PlatError;
use tokio::time::sleep;
use usage::Ledger;
use usage::NextAction;
use usage::Report;
use usage::WindowCounts;
use usage::Windows;

use super::leadership::Leadership;
use super::versioned;
use super::versioned::Versioned;
use crate::App;
use crate::dependency::DependencyStatus;
use crate::dialect::UsageReport;
use crate::dialect::UsageReportOutcome;
use crate::member;
use crate::peer;
use crate::settings::UsageReports;
use crate::telemetry;
use spread::Member;

/// The key of the stored reports.
const USAGE_KEY: &str = "snipeway/usage";

/// Pause between two attempts, and between two queries of instances that have not closed a window.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time limit for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Time after the end of a window from which instances that have not closed it are queried directly, in milliseconds:
/// their keeper may have been restarted and have lost their counts.
const DIRECT_QUERY_DELAY: Millis = 900;

/// Fraction of the time limit of a report for which it waits for instances that do not answer.
const WAIT_FRACTION: f64 = 0.6;

/// Time for which reports must have failed before the other instances are asked whether they reach the address, in
/// milliseconds.
const UNREACHED_DELAY: Millis = 2_000;

/// Reason for which the leader cannot report and should resign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unable {
    /// Another instance reaches the address that receives reports, and this one does not.
    Unreached,
}

/// The leader's reports.
pub(super) struct UsageReporter<'a> {
    app: &'a Arc<App>,
    leadership: &'a Leadership,
    settings: UsageReports,
    windows: Windows,
    /// The stored reports, unless they have to be read again.
    ledger: Option<Versioned<Ledger>>,
    /// The last window whose report was accepted or refused under this leader.
    last_settled: u64,
    /// Since when reports have failed.
    failing_since: Option<Millis>,
    status: DependencyStatus,
}

impl<'a> UsageReporter<'a> {
    /// Creates the reporter of a new leader; [`None`] if no address for reports is configured.
    pub(super) fn new(app: &'a Arc<App>, leadership: &'a Leadership) -> Option<Self> {
        let settings = app.settings.usage_reports?;
        Some(Self {
            app,
            leadership,
            settings,
            windows: Windows::new(settings.window),
            ledger: None,
            last_settled: 0,
            failing_since: None,
            status: DependencyStatus::new("address of reports"),
        })
    }

    /// Reports window after window, until another instance should do so.
    pub(super) async fn run(mut self) -> Unable {
        loop {
            let pause = match self.report_due().await {
                Ok(pause) => pause,
                Err(error) => {
                    self.ledger = None;
                    let error = error.to_string();
                    log::debug!(target: "accounts", error = error.as_str(); "could not read or write the stored reports");
                    RETRY_PAUSE
                }
            };
            if self.is_unable().await {
                return Unable::Unreached;
            }
            sleep(pause).await;
        }
    }

    /// Performs the next step of reporting; returns the pause before the one after it.
    async fn report_due(&mut self) -> Result<Duration, PlatError> {
        let now = self.app.clock.steady();
        if !self.has_teams() || !self.leadership.may_order(self.app.clock.now()) {
            return Ok(RETRY_PAUSE);
        }
        let (mut ledger, rev) = match self.ledger.take() {
            Some(ledger) => ledger,
            None => self.open_ledger(now).await?,
        };
        // All stored reports are sent before a new one is stored.
        let settled = self.send_stored(&ledger).await;
        if !settled {
            self.ledger = Some((ledger, rev));
            return Ok(RETRY_PAUSE);
        }
        let window = match ledger.next_action(self.windows, now) {
            NextAction::Wait(wait) => {
                self.ledger = Some((ledger, rev));
                return Ok(Duration::from_millis(wait).min(RETRY_PAUSE));
            }
            NextAction::Collect(window) => window,
        };
        let Some(report) = self.collect(&ledger, window, now).await else {
            self.ledger = Some((ledger, rev));
            return Ok(RETRY_PAUSE);
        };
        let requests: u64 = report.counts.iter().map(|(_, count)| count).sum();
        log::info!(target: "accounts", window, teams = report.counts.len(), requests,
            age_ms = now.saturating_sub(self.windows.end(window)); "window collected");
        ledger.record(report);
        let rev = versioned::write(self.app, USAGE_KEY, &ledger, rev).await?;
        self.ledger = Some((ledger, rev));
        Ok(Duration::ZERO)
    }

    /// Reads the stored reports. The first leader stores with which window the reports start: otherwise, the next
    /// leader would start with its own first window and omit those before it.
    async fn open_ledger(&self, now: Millis) -> Result<Versioned<Ledger>, PlatError> {
        if let Some(ledger) = versioned::read(self.app, USAGE_KEY).await? {
            return Ok(ledger);
        }
        let ledger = Ledger::starting_at(self.first_window(now).await);
        let rev = versioned::write(self.app, USAGE_KEY, &ledger, 0).await?;
        Ok((ledger, rev))
    }

    fn has_teams(&self) -> bool {
        let config = self.app.config.load();
        config.as_ref().is_some_and(|config| config.teams.is_some())
    }

    /// The first window in which any instance has counted a request: entry instances may serve requests before there
    /// is a leader.
    async fn first_window(&self, now: Millis) -> u64 {
        let newest = self.windows.containing(now);
        let earlier = Ledger::reportable_before(newest);
        let members = self.refresh_members().await;
        let queries = members
            .iter()
            .map(|member| self.oldest_window(member, earlier.clone()));
        let answers = join_all(queries).await;
        let own = earlier.clone().find(|window| {
            let counts = crate::request_counts::window_counts(self.app, *window);
            counts.iter().any(|source| !source.counts.is_empty())
        });
        answers
            .into_iter()
            .flatten()
            .chain(own)
            .fold(newest, u64::min)
    }

    /// The oldest window in which an instance knows of a counted request, or in which it still processes one itself. An
    /// instance that does not answer is not queried for further windows, so that it does not delay the others.
    async fn oldest_window(&self, member: &Member, windows: Range<u64>) -> Option<u64> {
        let start = (member.owner.instance.clone(), member.owner.start);
        for window in windows {
            let counts = peer::fetch_window_counts(self.app, member.addr, window).await?;
            let in_progress = |source: &WindowCounts| source.source == start && !source.closed;
            if counts
                .iter()
                .any(|source| !source.counts.is_empty() || in_progress(source))
            {
                return Some(window);
            }
        }
        None
    }

    /// Reads the list of members, since the known one may be seconds old: an entry instance that has just started may
    /// have sent its counts to a control instance that has just started as well. Returns recent former members, too.
    async fn refresh_members(&self) -> Vec<Member> {
        if let Ok(members) = member::list_members(self.app).await {
            self.app.set_members(members);
        }
        self.app.recent_members()
    }

    /// Collects the counts of a window from all instances that may have some; [`None`] while more are expected.
    async fn collect(&self, ledger: &Ledger, window: u64, now: Millis) -> Option<Report> {
        let members = self.refresh_members().await;
        let current = self.app.members.lock().clone();
        let live = current.iter().filter(|member| member.is_reader);
        let live: Set<_> = live
            .map(|member| (member.owner.instance.clone(), member.owner.start))
            .collect();
        let keepers = members.iter().filter(|member| !member.is_reader);
        let queries =
            keepers.map(|keeper| peer::fetch_window_counts(self.app, keeper.addr, window));
        let answers = join_all(queries).await;
        let mut counts: Vec<WindowCounts> = answers.into_iter().flatten().flatten().collect();
        counts.extend(crate::request_counts::window_counts(self.app, window));
        let age = now.saturating_sub(self.windows.end(window));
        if age >= DIRECT_QUERY_DELAY {
            let known = members.iter().filter(|member| member.is_reader);
            let known = known.map(|member| (member.owner.instance.clone(), member.owner.start));
            let missing = Ledger::missing_sources(&counts, &known.collect());
            let unreported = members.iter().filter(|member| {
                missing
                    .iter()
                    .any(|(name, _)| *name == member.owner.instance)
            });
            let queries =
                unreported.map(|member| peer::fetch_window_counts(self.app, member.addr, window));
            counts.extend(join_all(queries).await.into_iter().flatten().flatten());
        }
        let late = age as f64 >= self.settings.deadline as f64 * WAIT_FRACTION;
        ledger.aggregate(window, counts, &live, age, late)
    }

    /// Sends the stored reports that were not yet settled under this leader; returns whether all are settled now.
    async fn send_stored(&mut self, ledger: &Ledger) -> bool {
        for report in ledger.reports() {
            if report.window <= self.last_settled {
                continue;
            }
            match self.send(report).await {
                Some(UsageReportOutcome::Accepted | UsageReportOutcome::Refused) => {
                    self.last_settled = report.window
                }
                Some(UsageReportOutcome::Busy | UsageReportOutcome::Fenced) | None => return false,
            }
        }
        true
    }

    async fn send(&mut self, report: &Report) -> Option<UsageReportOutcome> {
        let now = self.app.clock.now();
        let condition = self.leadership.order_condition(self.app)?;
        let usage_report = UsageReport {
            addr: self.settings.address,
            report,
            holder: &self.app.me.instance,
            fencing_token: self.leadership.fencing_token(),
        };
        let request = match self.app.dialect.usage_report_request(&usage_report) {
            Ok(request) => request,
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "accounts", window = report.window, error = error.as_str(); "could not build the report");
                return Some(UsageReportOutcome::Refused);
            }
        };
        let answer = self
            .app
            .http
            .fetch_if(request, REPORT_TIMEOUT, MAX_ANSWER_BYTES, condition)
            .await;
        let result = match &answer {
            Ok(answer) => {
                self.failing_since = None;
                self.status.mark_restored();
                Some(self.app.dialect.usage_report_outcome(answer.status()))
            }
            Err(SendError::Forbidden) => {
                log::warn!(target: "accounts", window = report.window, fence = usage_report.fencing_token;
                    "window not reported: the leadership may have ended");
                return None;
            }
            Err(_) => {
                self.failing_since.get_or_insert(now);
                self.status.mark_lost(&PlatError::Unreachable);
                None
            }
        };
        let outcome = match result {
            Some(UsageReportOutcome::Accepted) => "taken",
            Some(UsageReportOutcome::Busy) => "busy",
            Some(UsageReportOutcome::Fenced) => "fenced",
            Some(UsageReportOutcome::Refused) => "refused",
            None => "unanswered",
        };
        metrics::counter!(telemetry::USAGE_REPORTS, "result" => outcome).increment(1);
        let end = self.windows.end(report.window);
        log::info!(target: "accounts", window = report.window, fence = usage_report.fencing_token, outcome,
            age_ms = self.app.clock.steady().saturating_sub(end); "window reported");
        result
    }

    /// Returns whether another instance that may become the leader reaches the address and this one does not.
    async fn is_unable(&self) -> bool {
        let Some(since) = self.failing_since else {
            return false;
        };
        if self.app.clock.now() < since + UNREACHED_DELAY
            || crate::request_counts::can_reach_report_address(self.app).await
        {
            return false;
        }
        let members = self.app.members.lock().clone();
        let others = members
            .iter()
            .filter(|member| !member.is_reader && member.owner.instance != self.app.me.instance);
        let queries = others.map(|member| peer::reaches_report_address(self.app, member.addr));
        join_all(queries).await.contains(&true)
    }
}
