//! Load reports of engines, asked for now and then.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use route::Kind;
use route::Sign;
use route::Spec;
use wire::engine::LOAD;
use wire::engine::Load;

use crate::App;
use crate::desk::Desk;
use crate::history::Story;
use wire::caller::Note;

/// Time that a report may take.
const LIMIT: Duration = Duration::from_millis(800);

/// Asks the engines of this failure domain for their load until the instance ends.
pub async fn run(app: Arc<App>) {
    loop {
        for desk in app.desks.values().filter(|desk| desk.kind == Kind::Engine) {
            let specs: Vec<Spec> = desk.all(|all| all.iter().map(|u| u.spec.clone()).collect());
            for spec in specs {
                let (app, desk) = (app.clone(), desk.clone());
                tokio::spawn(async move { ask(&app, &desk, &spec).await });
            }
        }
        let pause = app.settings.weights.poll as f64 * (0.9 + 0.2 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

async fn ask(app: &App, desk: &Arc<Desk>, spec: &Spec) {
    let uri = net::client::uri(spec.addr, LOAD);
    let answer: Result<Load, _> = app.http.json(Method::GET, &uri, &(), LIMIT).await;
    let Ok(load) = answer else {
        // Its requests will show whether it is dead; a lost report alone says little.
        return;
    };
    let single = load.stated.single();
    let before = desk.all(|all| {
        let found = all.iter().find(|u| u.spec.name == spec.name);
        found.map(|u| (u.version, u.health.is_quarantined()))
    });
    let now = app.clock.now();
    desk.update(&spec.name, |upstream| {
        upstream.report(load.running, now);
        upstream.version = single.or(upstream.version);
        upstream.health.leave(Sign::Said, load.leaving);
        // An engine in the middle of a failed swap may use either version for the next token.
        upstream.health.quarantine(single.is_none());
    });
    if let Some((version, quarantined)) = before {
        tell(app, spec, version, single, quarantined);
    }
}

/// Notes what changed, for `explain`.
fn tell(app: &App, spec: &Spec, before: Option<u64>, now: Option<u64>, quarantined: bool) {
    let what = match (before, now) {
        (Some(before), Some(now)) if before == now && quarantined => "out of quarantine".into(),
        (before, Some(now)) if before != Some(now) => format!("states version {now}"),
        (_, None) if !quarantined => "quarantined: it states no single version".into(),
        _ => return,
    };
    app.history.keep(Story {
        about: spec.name.to_string(),
        instance: app.settings.me.name.clone(),
        customer: None,
        notes: vec![Note {
            at: app.clock.wall(),
            what: what.into(),
        }],
    });
}
