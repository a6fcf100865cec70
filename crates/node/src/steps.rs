//! Operations of callers on steps: submit one, read its results and bodies, end it.

pub mod accept;

use std::sync::Arc;
use std::time::Duration;

use batch::keys;
use batch::record::SpecDecoder;
use bytes::Bytes;
use http::StatusCode;
use kernel::Millis;
use net::Reply;
use net::body;
use plat::PlatError;
use team::Principal;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::hint;
use crate::peer;
use crate::refusal::Refusal;
use crate::result_cache::ResultCache;
use crate::step_head;
use crate::step_head::EndedStep;

/// Longest time that a caller waits for a write, unless its own time limit is shorter.
const WRITE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Pause between attempts of a write.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a write with an unknown outcome is repeated, in milliseconds. A write may take effect seconds
/// after it was sent, and a step that was accepted that way has to be run.
const SETTLE_TIMEOUT: Millis = 20_000;

/// Number of times that an owner is notified of the end of its step; after that it finds out with its own next
/// check.
const MAX_END_NOTICES: usize = 6;

/// Pause between those notices: an instance whose entry has expired or that is busy is reachable again within a
/// second or two.
const END_NOTICE_PAUSE: Duration = Duration::from_millis(300);

/// Longest time that a read waits for a result, in milliseconds.
const MAX_READ_WAIT: Millis = 1_000;

/// Returns the names under which a requested step may be stored, the most likely first. A step accepted without a
/// team, or before there were teams, is accessible to every principal.
fn stored_names(step: &Arc<str>, principal: &Principal) -> Vec<Arc<str>> {
    if !keys::is_valid_name(step) {
        return Vec::new();
    }
    let scoped = principal.team().map(|_| principal.scoped_name(step));
    scoped
        .into_iter()
        .chain(principal.unscoped_name(step))
        .collect()
}

/// Replies with the results of a step from a position on.
pub async fn read_results(
    app: &Arc<App>,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
    principal: &Principal,
) -> Reply {
    for name in stored_names(step, principal) {
        let reply = read_stored(app, &name, from, wait).await;
        if reply.status() != StatusCode::NOT_FOUND {
            return reply;
        }
    }
    Refusal::NotFound.reply()
}

async fn read_stored(app: &Arc<App>, step: &Arc<str>, from: usize, wait: Millis) -> Reply {
    let wait = wait.min(MAX_READ_WAIT);
    if let Some(owned) = app.running_steps.get(step)
        && let Some(page) = owned.page(app, from, wait).await
    {
        return page.reply(app, from);
    }
    match read_remote(app, step, from, wait).await {
        Ok(Some(reply)) => reply,
        Ok(None) => Refusal::NotFound.reply(),
        Err(error) => refuse_unavailable(step, &error),
    }
}

fn refuse_unavailable(step: &str, error: &PlatError) -> Reply {
    let why = error.to_string();
    log::info!(target: "steps", id = step, why = why.as_str(); "state of the step unknown");
    Refusal::NotExecuted.reply()
}

/// Reads the results of a step that another instance runs: from that instance, which costs no platform call and has
/// the newest results, or from the platform.
async fn read_remote(
    app: &Arc<App>,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
) -> Result<Option<Reply>, PlatError> {
    let hint = hint::find_owner(app, step).await;
    if let Some(owner) = &hint {
        if let Some(page) = peer::fetch_page(app, owner, step, from, wait).await {
            return Ok(Some(page));
        }
        hint::remove(app, step);
    }
    let Some(cache) = find_cache(app, step).await? else {
        return Ok(None);
    };
    // The head at the platform may name an owner that no hint named.
    let owner = hint::get(app, step).filter(|owner| hint.as_ref() != Some(owner));
    if let Some(owner) = owner
        && let Some(page) = peer::fetch_page(app, &owner, step, from, wait).await
    {
        return Ok(Some(page));
    }
    let page = cache.page(app, from, wait).await?;
    Ok(Some(page.reply(app, from)))
}

async fn find_cache(app: &App, step: &Arc<str>) -> Result<Option<Arc<ResultCache>>, PlatError> {
    if let Some(cache) = app.result_caches.get(step) {
        return Ok(Some(cache));
    }
    let Some(item) = app.plat.get(&keys::head(step)).await? else {
        return Ok(None);
    };
    let head = step_head::decode_head(&item)?;
    hint::record(app, step.clone(), head.owner.instance.clone());
    let cache = app.result_caches.with_shard(step, |map| {
        let new = || Arc::new(ResultCache::new(step.clone(), &head));
        map.entry(step.clone()).or_insert_with(new).clone()
    });
    Ok(Some(cache))
}

/// Replies with the body of a sample's request.
pub async fn read_body(
    app: &Arc<App>,
    step: &Arc<str>,
    sample: &Arc<str>,
    principal: &Principal,
) -> Reply {
    for name in stored_names(step, principal) {
        let reply = read_stored_body(app, &name, sample).await;
        if reply.status() != StatusCode::NOT_FOUND {
            return reply;
        }
    }
    Refusal::NotFound.reply()
}

async fn read_stored_body(app: &Arc<App>, step: &Arc<str>, sample: &Arc<str>) -> Reply {
    let result = match app.running_steps.get(step) {
        Some(owned) => Ok(owned.sample_body(sample)),
        None => read_remote_body(app, step, sample).await,
    };
    match result {
        Ok(Some(bytes)) => net::body::reply(StatusCode::OK, "application/octet-stream", bytes),
        Ok(None) => Refusal::NotFound.reply(),
        Err(error) => refuse_unavailable(step, &error),
    }
}

/// Reads the body of a sample of a step that another instance runs.
async fn read_remote_body(
    app: &App,
    step: &Arc<str>,
    sample: &Arc<str>,
) -> Result<Option<Bytes>, PlatError> {
    if let Some(owner) = hint::find_owner(app, step).await
        && let Some(body) = peer::fetch_body(app, &owner, step, sample).await
    {
        return Ok(body.map(Bytes::from));
    }
    read_platform_body(app, step, sample).await
}

/// Reads a step's samples part by part until the requested one is found.
async fn read_platform_body(
    app: &App,
    step: &str,
    sample: &str,
) -> Result<Option<Bytes>, PlatError> {
    let prefix = keys::spec_prefix(step);
    let mut parts = SpecDecoder::default();
    let mut after = None;
    loop {
        let page = app.plat.page(&prefix, after).await?;
        for item in &page.items {
            let samples = parts.add(&item.value).map_err(|_| PlatError::Garbled)?;
            if let Some(found) = samples
                .into_iter()
                .find(|candidate| &*candidate.id == sample)
            {
                return Ok(Some(found.body));
            }
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.more || after.is_none() {
            return Ok(None);
        }
    }
}

/// Ends a step.
pub async fn end_step(app: &Arc<App>, step: &Arc<str>, principal: &Principal) -> Reply {
    for name in stored_names(step, principal) {
        let reply = end_stored(app, &name).await;
        if reply.status() != StatusCode::NOT_FOUND {
            return reply;
        }
    }
    Refusal::NotFound.reply()
}

async fn end_stored(app: &Arc<App>, step: &Arc<str>) -> Reply {
    let known = app.running_steps.get(step).is_some() || app.result_caches.get(step).is_some();
    if !known && hint::find_owner(app, step).await.is_none() {
        match app.plat.get(&keys::head(step)).await {
            Ok(Some(_)) => (),
            Ok(None) => return Refusal::NotFound.reply(),
            Err(error) => return refuse_unavailable(step, &error),
        }
    }
    // Continues when the caller disconnects: it has asked for the end, so it needs nothing more of the step.
    let ending = tokio::spawn(end_until_settled(app.clone(), step.clone()));
    match timeout(WRITE_TIMEOUT, ending).await {
        Ok(Ok(EndOutcome::Ended)) => body::reply(StatusCode::OK, "application/json", "{}"),
        Ok(Ok(EndOutcome::Missing)) => Refusal::NotFound.reply(),
        Ok(Ok(EndOutcome::Unclear) | Err(_)) | Err(_) => Refusal::TimedOut.reply(),
    }
}

/// The outcome of ending a step.
enum EndOutcome {
    /// It has ended.
    Ended,
    /// There is no such step.
    Missing,
    /// The platform did not confirm it in time.
    Unclear,
}

/// Ends a step, retrying until the outcome is known or time runs out, and notifies its owner, which would otherwise
/// find out with its next check.
async fn end_until_settled(app: Arc<App>, step: Arc<str>) -> EndOutcome {
    let started = app.clock.now();
    loop {
        match step_head::end(&app, &step).await {
            Ok(Some(ended)) => {
                log::info!(target: "steps", id = &*step, instance = &*ended.owner.instance, revision = ended.rev,
                    took_ms = app.clock.now() - started; "step ended");
                tokio::spawn(notify_owner(app, step, ended));
                return EndOutcome::Ended;
            }
            Ok(None) => return EndOutcome::Missing,
            Err(error) => {
                let why = error.to_string();
                log::info!(target: "steps", id = &*step, why = why.as_str(); "step not ended yet, retrying");
            }
        }
        if app.clock.now() > started + SETTLE_TIMEOUT {
            log::warn!(target: "steps", id = &*step, took_ms = app.clock.now() - started; "ending the step failed");
            return EndOutcome::Unclear;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn notify_owner(app: Arc<App>, step: Arc<str>, ended: EndedStep) {
    if ended.owner == app.me {
        record_end(&app, &step, ended.rev);
        return;
    }
    for _ in 0..MAX_END_NOTICES {
        if peer::notify_ended(&app, &ended.owner.instance, &step, ended.rev).await {
            return;
        }
        sleep(END_NOTICE_PAUSE).await;
    }
    log::info!(target: "steps", id = &*step, instance = &*ended.owner.instance; "owner not notified of the end");
}

/// Records that a step has ended whose head had this revision.
pub(crate) fn record_end(app: &App, step: &Arc<str>, rev: i64) {
    if let Some(owned) = app.running_steps.get(step) {
        owned.mark_ended(app, rev, "told");
    }
}
