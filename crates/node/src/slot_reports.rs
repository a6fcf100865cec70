//! Reports of this instance's samples and runs to the other owners of steps.
//!
//! Load pattern: see [`place::slots`], which decides what follows from the reports. The messages are bounded by the
//! number of failure domains and of routes whose steps use the same engines, not by the number of instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use place::ModelDemand;
use place::ReportOutcome;
use place::SlotReport;
use place::SlotShares;
use place::slots::HOLD_TIME;
use place::slots::REPORT_INTERVAL;
use spread::Member;
use table::Route;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::handover::preferred_owners;
use crate::peer;
use crate::telemetry;

/// Interval between two checks whether a report is due while steps run.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between two checks whether steps run.
const IDLE_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL);

/// Interval between two reports to instances that own no open step, in milliseconds. Such an instance asks for reports
/// when it begins a step; if it misses the replies, it still has a report that has not expired.
const STANDBY_INTERVAL: Millis = 500;

/// Time for which the list of receivers is used, in milliseconds. Making it visits all members.
const RECEIVERS_TTL: Millis = 1_000;

/// Minimum interval between two log lines about the number of other owners, in milliseconds.
const LOG_INTERVAL: Millis = 1_000;

/// Time for which a receiver that did not reply gets no reports, in milliseconds: short enough that the next one
/// arrives before the previous one expires.
const SILENCE_TIME: Millis = 500;

/// Number of preferred owners in each failure domain that may run the steps of a route that has open steps here.
const OWNERS_PER_ROUTE: usize = 3;

/// Maximum number of receivers, whatever the number of routes: at most ten messages a second go to each.
const MAX_RECEIVERS: usize = 32;

/// An instance that gets reports.
#[derive(Clone, Debug)]
struct Receiver {
    instance: Arc<str>,
    addr: SocketAddr,
}

/// The instances to which reports are sent, and what is known about them.
#[derive(Debug, Default)]
pub struct Receivers {
    all: Arc<[Receiver]>,
    /// The names of the routes with open steps for which the receivers were found.
    routes: Vec<Arc<str>>,
    found_at: Option<Millis>,
    /// When a report was last sent to all.
    all_reported_at: Option<Millis>,
    /// Receivers that did not reply, each with the time until which they get no reports.
    silent: Map<SocketAddr, Millis>,
}

/// Sends reports while steps run, until the instance ends.
pub(crate) async fn send_reports(app: Arc<App>) {
    if !app.settings.placement.share_slots {
        return;
    }
    let (mut owners, mut logged_at) = (0, 0);
    loop {
        let now = app.clock.now();
        let active = with_shares(&app, |shares, _| shares.active_owners().count()).unwrap_or(0);
        if active != owners && now >= logged_at + LOG_INTERVAL {
            (owners, logged_at) = (active, now);
            metrics::gauge!(telemetry::SLOT_OWNERS).set(owners as f64);
            log::info!(target: "slots", owners; "number of other owners changed");
        }
        let demands = demands(&app);
        let due = with_shares(&app, |shares, now| shares.next_report(demands, now));
        if let Some(due) = due.flatten() {
            let wants_replies = due.wants_replies;
            let sent = send(&app, &due.report, wants_replies);
            if wants_replies {
                // The reports of others have expired as well; no run starts before they have replied.
                wait_for_replies(sent).await;
                with_shares(&app, |shares, _| shares.release());
                app.capacity_changed.notify_waiters();
            }
        }
        sleep(check_pause(&app)).await;
    }
}

/// Time until the next check whether a report is due.
fn check_pause(app: &App) -> Duration {
    if app.running_steps.is_empty() {
        return IDLE_INTERVAL;
    }
    let due = with_shares(app, |shares, now| shares.time_to_report(now));
    match due {
        Some(due) if due > 0 => CHECK_INTERVAL.min(Duration::from_millis(due)),
        _ => CHECK_INTERVAL,
    }
}

/// Reports a step that begins, and waits a moment for the reports of others.
pub(crate) async fn announce(app: &Arc<App>) {
    if !app.settings.placement.share_slots {
        return;
    }
    let demands = demands(app);
    let Some(report) = with_shares(app, |shares, now| shares.report(demands, now)) else {
        return;
    };
    if !report.is_idle() {
        wait_for_replies(send(app, &report, true)).await;
    }
}

/// Records the report of another owner; returns this instance's if the sender wants it and there is something to
/// report.
pub(crate) fn receive(app: &App, report: SlotReport, wants_reply: bool) -> Option<SlotReport> {
    let owner = report.owner.clone();
    let outcome = with_shares(app, |shares, now| shares.record(report, now))?;
    let result = match outcome {
        ReportOutcome::AppliedFirst => {
            // The sender may not be among the receivers yet.
            app.slot_receivers.lock().found_at = None;
            "received"
        }
        ReportOutcome::Applied => "received",
        ReportOutcome::Outdated => "outdated",
        ReportOutcome::Invalid => {
            log::warn!(target: "slots", owner = &*owner; "invalid slot report ignored");
            "invalid"
        }
    };
    metrics::counter!(telemetry::SLOT_REPORTS, "result" => result).increment(1);
    app.capacity_changed.notify_waiters();
    if !wants_reply {
        return None;
    }
    let demands = demands(app);
    let reply = with_shares(app, |shares, _| shares.reply(demands));
    reply.filter(|report| !report.is_idle())
}

/// Calls `f` with the shares and the time if slots are shared. `f` must take no other lock.
fn with_shares<R>(app: &App, f: impl FnOnce(&mut SlotShares, Millis) -> R) -> Option<R> {
    let mut tracker = app.engine_tracker.lock();
    let now = app.clock.now();
    tracker.slot_shares().map(|shares| f(shares, now))
}

/// The demand of all open steps of this instance.
fn demands(app: &App) -> Vec<ModelDemand> {
    let mut demands: Vec<ModelDemand> = Vec::new();
    app.running_steps.for_each_shard(|steps| {
        for new in steps.values().flat_map(|step| step.demands(app)) {
            let same = demands
                .iter_mut()
                .find(|known| known.service == new.service && known.model == new.model);
            match same {
                Some(known) => {
                    known.min_version = known.min_version.min(new.min_version);
                    known.waiting += new.waiting;
                    known.running += new.running;
                }
                None => demands.push(new),
            }
        }
    });
    demands.sort_by(|a, b| (&a.service, &a.model).cmp(&(&b.service, &b.model)));
    demands
}

/// Sends a report to the receivers that need it now; a reply is recorded when it arrives. The returned tasks end with
/// the replies.
fn send(app: &Arc<App>, report: &SlotReport, wants_reply: bool) -> Vec<JoinHandle<()>> {
    let now = app.clock.now();
    let addresses = due_receivers(app, now, wants_reply || report.is_idle());
    let addresses = addresses.into_iter();
    let tasks = addresses.map(|address| {
        let (app, report) = (app.clone(), report.clone());
        tokio::spawn(async move {
            let reply = peer::send_slot_report(&app, address, report, wants_reply).await;
            let result = match &reply {
                Some(_) => "sent",
                None => "unanswered",
            };
            metrics::counter!(telemetry::SLOT_REPORTS, "result" => result).increment(1);
            match reply {
                Some(Some(report)) => drop(receive(&app, report, false)),
                Some(None) => (),
                None => {
                    let until = app.clock.now() + SILENCE_TIME;
                    app.slot_receivers.lock().silent.insert(address, until);
                }
            }
        })
    });
    tasks.collect()
}

/// Waits for replies, at most [`HOLD_TIME`].
async fn wait_for_replies(tasks: Vec<JoinHandle<()>>) {
    // Replies that come later are recorded as well; the tasks go on.
    let _ = timeout(Duration::from_millis(HOLD_TIME), join_all(tasks)).await;
}

/// Returns the addresses to which a report is sent: those of owners with open steps, and from time to time all others.
fn due_receivers(app: &App, now: Millis, to_all: bool) -> Vec<SocketAddr> {
    let all = find_receivers(app, now);
    let active = with_shares(app, |shares, _| {
        shares.active_owners().cloned().collect::<Set<_>>()
    });
    let active = active.unwrap_or_default();
    let mut receivers = app.slot_receivers.lock();
    let reported_at = receivers.all_reported_at;
    let to_all =
        to_all || reported_at.is_none_or(|reported_at| now >= reported_at + STANDBY_INTERVAL);
    if to_all {
        receivers.all_reported_at = Some(now);
    }
    let due = all.iter().filter(|receiver| {
        let silent_until = receivers.silent.get(&receiver.addr);
        (to_all || active.contains(&receiver.instance))
            && silent_until.is_none_or(|until| now >= *until)
    });
    due.map(|receiver| receiver.addr).collect()
}

/// Returns all instances that get reports.
fn find_receivers(app: &App, now: Millis) -> Arc<[Receiver]> {
    let open_routes = open_routes(app);
    let mut cached = app.slot_receivers.lock();
    // Runs of steps that have ended are still reported to the same receivers.
    let routes = match open_routes.is_empty() {
        true => cached.routes.clone(),
        false => open_routes,
    };
    let is_current = cached
        .found_at
        .is_some_and(|found_at| now < found_at + RECEIVERS_TTL);
    if is_current && routes == cached.routes {
        return cached.all.clone();
    }
    let senders = with_shares(app, |shares, now| {
        shares.recent_senders(now).cloned().collect::<Set<_>>()
    });
    let senders = senders.unwrap_or_default();
    let counts = routes_sharing_engines(app, &routes);
    let counts: Vec<_> = counts.iter().map(|(name, n)| (&**name, *n)).collect();
    let mut members = app.recent_members();
    let listed = app.members.lock().clone();
    // An entry that has expired is of use only for an owner that has sent a report.
    members.retain(|member| senders.contains(&member.owner.instance));
    let preferred = possible_owners(&listed, &app.me.instance, &counts);
    let mut seen = Set::default();
    let all = members.iter().chain(preferred);
    let distinct = all.filter(|member| seen.insert(member.addr));
    let receivers = distinct.map(|member| Receiver {
        instance: member.owner.instance.clone(),
        addr: member.addr,
    });
    let all: Arc<[_]> = receivers.take(MAX_RECEIVERS).collect();
    cached.silent.retain(|_, until| now < *until);
    cached.found_at = Some(now);
    cached.all = all.clone();
    cached.routes = routes;
    all
}

/// The names of the routes of the open steps of this instance.
fn open_routes(app: &App) -> Vec<Arc<str>> {
    let mut routes = Vec::new();
    app.running_steps.for_each_shard(|steps| {
        let open = steps.values().filter_map(|step| step.open_route(app));
        routes.extend(open.map(|route| route.name.clone()));
    });
    routes.sort_unstable();
    routes.dedup();
    routes
}

/// The routes of steps that may use the same engines as the open ones, each with the number of instances in a failure
/// domain that may run its steps: steps of other routes run at their first preferred owner, unless that declines.
fn routes_sharing_engines(app: &App, open: &[Arc<str>]) -> Vec<(Arc<str>, usize)> {
    let config = app.config.load();
    let Some(config) = &*config else {
        return Vec::new();
    };
    let is_open = |route: &Arc<Route>| open.contains(&route.name);
    let open_routes = config.step_routes().filter(|route| is_open(route));
    let services = open_routes.flat_map(|route| &route.services);
    let services: Set<_> = services.map(|share| &share.service).collect();
    let shares_engines = |route: &&Arc<Route>| {
        let mut shares = route.services.iter();
        shares.any(|share| services.contains(&share.service))
    };
    let routes = config.step_routes().filter(shares_engines);
    let mut routes: Vec<_> = routes
        .map(|route| match is_open(route) {
            true => (route.name.clone(), OWNERS_PER_ROUTE),
            false => (route.name.clone(), 1),
        })
        .collect();
    // If there are more than `MAX_RECEIVERS`, those of routes without open steps here are left out first.
    routes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    routes
}

/// Returns the instances other than `me` that may run steps of the routes, each given with its number of preferred
/// owners in a failure domain.
///
/// # Examples
///
/// ```
/// use node::slot_reports::possible_owners;
/// use spread::Member;
///
/// let member = |name: &str, domain: &str| Member {
///     owner: batch::Owner { instance: name.into(), start: 1 },
///     domain: domain.into(),
///     addr: ([127, 0, 0, 1], 7720).into(),
///     is_reader: true,
///     centicores: 50,
/// };
/// let members = [member("a", "nord"), member("b", "nord"), member("c", "syd"), member("d", "syd")];
/// assert_eq!(possible_owners(&members, "a", &[("steps", 3)]).len(), 3);
/// assert_eq!(possible_owners(&members, "x", &[("steps", 1)]).len(), 2);
/// ```
pub fn possible_owners<'a>(
    members: &'a [Member],
    me: &str,
    routes: &[(&str, usize)],
) -> Vec<&'a Member> {
    let mut domains: Vec<_> = members.iter().map(|member| &member.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let preferred = routes.iter().flat_map(|(route, count)| {
        let owners = domains.iter().flat_map(move |domain| {
            let owners = preferred_owners(members, domain, route);
            owners.into_iter().take(*count)
        });
        owners.filter(|member| *member.owner.instance != *me)
    });
    let mut owners: Vec<&Member> = Vec::new();
    for member in preferred {
        if !owners.iter().any(|known| std::ptr::eq(*known, member)) {
            owners.push(member);
        }
    }
    owners
}
