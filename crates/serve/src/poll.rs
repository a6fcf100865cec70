//! Load reports of engines, asked for now and then.
//!
//! Each engine is asked by two instances of its failure domain, whatever the number of instances;
//! when what it states changes they pass that on as news. Load itself comes with answers.

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

/// Time that a report may take.
const LIMIT: Duration = Duration::from_millis(800);

/// Asks the engines of this failure domain for their load until the instance ends.
pub async fn run(app: Arc<App>) {
    loop {
        for dispatcher in app
            .dispatchers
            .values()
            .filter(|dispatcher| dispatcher.kind == UpstreamKind::Engine)
        {
            let specs: Vec<UpstreamSpec> =
                dispatcher.all(|all| all.iter().map(|u| u.spec.clone()).collect());
            for spec in specs {
                if !is_mine(&app, &spec) {
                    continue;
                }
                let (app, dispatcher) = (app.clone(), dispatcher.clone());
                tokio::spawn(async move { ask(&app, &dispatcher, &spec).await });
            }
        }
        let pause = app.settings.weights.poll as f64 * (0.9 + 0.2 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

/// Instances that ask an engine: one could be cut off from it without being silent to its peers.
const ASKERS: usize = 2;

/// Tells whether this instance asks the engine: those with the highest rank do, among the live
/// ones of the engine's failure domain, or of all when none there is live.
fn is_mine(app: &App, spec: &UpstreamSpec) -> bool {
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
    live.iter().take(ASKERS).any(|name| *name == view.me().name)
}

/// Takes over what an engine states.
pub fn believe(dispatcher: &Arc<Dispatcher>, name: &str, version: Option<u64>, leaving: bool) {
    dispatcher.update(name, |upstream| {
        upstream.version = version.or(upstream.version);
        upstream
            .health
            .set_leaving(LeavingSource::Upstream, leaving);
        // An engine in the middle of a failed swap may use either version for the next token.
        upstream.health.set_quarantined(version.is_none());
    });
}

async fn ask(app: &Arc<App>, dispatcher: &Arc<Dispatcher>, spec: &UpstreamSpec) {
    let uri = net::client::uri(spec.addr, LOAD);
    let answer: Result<LoadReport, _> = app.http.json(Method::GET, &uri, &(), LIMIT).await;
    let Ok(load) = answer else {
        // Its requests will show whether it is dead; a lost report alone says little.
        return;
    };
    let single = load.stated.single_version();
    let before = dispatcher.all(|all| {
        let found = all.iter().find(|u| u.spec.name == spec.name);
        found.map(|u| {
            (
                u.version,
                u.health.is_quarantined(),
                u.health.reports_leaving(),
            )
        })
    });
    dispatcher.heard(&spec.name, load.running);
    believe(dispatcher, &spec.name, single, load.leaving);
    let Some((version, quarantined, leaving)) = before else {
        return;
    };
    let same = version == single.or(version) && quarantined == single.is_none();
    if !same || leaving != load.leaving {
        let rumour = Rumour::Engine {
            name: spec.name.clone(),
            version: single,
            leaving: load.leaving,
            at: app.clock.wall(),
        };
        app.view.lock().receive(rumour, app.clock.now());
    }
    tell(app, spec, version, single, quarantined);
}

/// Notes what changed, for `explain`.
fn tell(app: &App, spec: &UpstreamSpec, before: Option<u64>, now: Option<u64>, quarantined: bool) {
    let what = match (before, now) {
        (Some(before), Some(now)) if before == now && quarantined => "out of quarantine".into(),
        (before, Some(now)) if before != Some(now) => format!("states version {now}"),
        (_, None) if !quarantined => "quarantined: it states no single version".into(),
        _ => return,
    };
    app.history.keep(SubjectHistory {
        about: spec.name.to_string(),
        instance: app.settings.me.name.clone(),
        customer: None,
        notes: vec![HistoryEntry {
            at: app.clock.wall(),
            what: what.into(),
        }],
    });
}
