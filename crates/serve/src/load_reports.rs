//! Polling of the engines' load reports.
//!
//! Two instances of an engine's failure domain poll it, regardless of the number of instances. They gossip
//! changes of its weight version and of its leaving state. Its load is not gossiped: the other instances read it
//! from its responses.

use std::sync::Arc;
use std::time::Duration;

use fleet::Rumour;
use http::Method;
use route::LeavingSource;
use route::UpstreamKind;
use route::UpstreamSpec;
use wire::engine::LOAD;
use wire::engine::LoadReport;

use crate::App;
use crate::dispatcher::Dispatcher;
use crate::history::SubjectHistory;
use kernel::rendezvous_rank;
use wire::caller::HistoryEntry;

/// Timeout of a request for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Polls the engines that this instance is responsible for, until the task is aborted.
pub async fn run(app: Arc<App>) {
    loop {
        for dispatcher in app
            .dispatchers
            .values()
            .filter(|dispatcher| dispatcher.kind == UpstreamKind::Engine)
        {
            let specs: Vec<UpstreamSpec> =
                dispatcher.with_upstreams(|all| all.iter().map(|u| u.spec.clone()).collect());
            for spec in specs {
                if !is_poller(&app, &spec) {
                    continue;
                }
                let (app, dispatcher) = (app.clone(), dispatcher.clone());
                tokio::spawn(async move { poll_engine(&app, &dispatcher, &spec).await });
            }
        }
        let pause = app.settings.weights.poll_interval as f64 * (0.9 + 0.2 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

/// Number of instances that poll each engine. A single one could lose its connection to the engine while its
/// peers still consider it alive.
const POLLERS_PER_ENGINE: usize = 2;

/// Returns whether this instance polls the engine. The instances with the highest rendezvous rank do, among the
/// live ones of the engine's failure domain, or among all live ones if it has none.
fn is_poller(app: &App, spec: &UpstreamSpec) -> bool {
    let view = app.view.lock();
    let mut live: Vec<_> = view
        .live()
        .filter(|member| member.domain == spec.domain)
        .map(|member| member.name.clone())
        .collect();
    if live.is_empty() {
        live = view.live().map(|member| member.name.clone()).collect();
    }
    live.sort_by_key(|name| std::cmp::Reverse(rendezvous_rank(name, &*spec.name)));
    live.iter()
        .take(POLLERS_PER_ENGINE)
        .any(|name| *name == view.me().name)
}

/// Applies an engine's reported state to the upstream `name`; `version` is [`None`] if the engine reports no single
/// version.
pub fn apply_state(dispatcher: &Arc<Dispatcher>, name: &str, version: Option<u64>, leaving: bool) {
    dispatcher.update_upstream(name, |upstream| {
        upstream.version = version.or(upstream.version);
        upstream
            .health
            .set_leaving(LeavingSource::Upstream, leaving);
        // An engine whose swap failed partway may use either version for the next token.
        upstream.health.set_quarantined(version.is_none());
    });
}

/// Requests an engine's load report, applies it, and gossips it if the version or the leaving state changed.
async fn poll_engine(app: &Arc<App>, dispatcher: &Arc<Dispatcher>, spec: &UpstreamSpec) {
    let uri = spec.uri(LOAD);
    let response: Result<LoadReport, _> =
        app.http.json(Method::GET, &uri, &(), REPORT_TIMEOUT).await;
    let Ok(load) = response else {
        // Failed requests show whether the engine is down; a single lost report does not.
        return;
    };
    let reported = load.stated.single_version();
    let before = dispatcher.with_upstreams(|all| {
        let engine = all.iter().find(|u| u.spec.name == spec.name);
        engine.map(|u| {
            (
                u.version,
                u.health.is_quarantined(),
                u.health.reports_leaving(),
            )
        })
    });
    dispatcher.record_report(&spec.name, load.running);
    apply_state(dispatcher, &spec.name, reported, load.leaving);
    let Some((version, quarantined, leaving)) = before else {
        return;
    };
    let is_unchanged = version == reported.or(version) && quarantined == reported.is_none();
    if !is_unchanged || leaving != load.leaving {
        let rumour = Rumour::Engine {
            name: spec.name.clone(),
            version: reported,
            leaving: load.leaving,
            at: app.clock.wall(),
        };
        app.view.lock().receive(rumour, app.clock.now());
    }
    record_change(app, spec, version, reported, quarantined);
}

/// Records a change of an engine's version or quarantine in the history.
fn record_change(
    app: &App,
    spec: &UpstreamSpec,
    before: Option<u64>,
    now: Option<u64>,
    quarantined: bool,
) {
    let change = match (before, now) {
        (Some(before), Some(now)) if before == now && quarantined => "out of quarantine".into(),
        (before, Some(now)) if before != Some(now) => format!("states version {now}"),
        (_, None) if !quarantined => "quarantined: it states no single version".into(),
        _ => return,
    };
    app.history.record(SubjectHistory {
        about: spec.name.to_string(),
        instance: app.settings.me.name.clone(),
        customer: None,
        notes: vec![HistoryEntry {
            at: app.clock.wall(),
            what: change.into(),
        }],
    });
}
