//! What callers ask of steps: submit one, read its results and bodies, end it.

pub mod accept;

use std::sync::Arc;
use std::time::Duration;

use batch::keys;
use batch::record::SpecDecoder;
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
use crate::refuse::Refusal;
use crate::shelf::Shelf;
use crate::step_head;
use crate::step_head::EndedStep;

/// Longest time that a caller waits for a write, unless it says less.
const ACCEPT: Duration = Duration::from_millis(4_000);

/// Pause between two tries of a write.
const PAUSE: Duration = Duration::from_millis(150);

/// Time for which a write with an unclear outcome is repeated. A write may take effect seconds
/// after it was sent, and a step that was accepted so has to be run.
const SETTLE: Millis = 20_000;

/// Times that an owner is told of the end of its step before it is left to its own question.
const TOLD: usize = 6;

/// Pause between two of them: an instance whose entry has lapsed, or that is busy, is back within a second or two.
const TOLD_PAUSE: Duration = Duration::from_millis(300);

/// Longest time that a read waits for a result, in milliseconds.
const LONGEST: Millis = 1_000;

/// The names under which a step may be kept that somebody asks for, the likeliest first. One that was accepted
/// for nobody in particular, or before there were teams, is anybody's.
fn names(step: &Arc<str>, principal: &Principal) -> Vec<Arc<str>> {
    if !keys::is_valid_name(step) {
        return Vec::new();
    }
    match principal {
        Principal::Team(_) => vec![principal.scoped_name(step), step.clone()],
        Principal::NoTeams | Principal::Anonymous => vec![step.clone()],
    }
}

/// Answers with the results of a step from a position on.
pub async fn read(
    app: &Arc<App>,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
    principal: &Principal,
) -> Reply {
    for name in names(step, principal) {
        let reply = read_kept(app, &name, from, wait).await;
        if reply.status() != StatusCode::NOT_FOUND {
            return reply;
        }
    }
    Refusal::Missing.reply()
}

async fn read_kept(app: &Arc<App>, step: &Arc<str>, from: usize, wait: Millis) -> Reply {
    let wait = wait.min(LONGEST);
    if let Some(work) = app.works.get(step)
        && let Some(page) = work.page(app, from, wait).await
    {
        return page.reply(app, from);
    }
    match read_elsewhere(app, step, from, wait).await {
        Ok(Some(reply)) => reply,
        Ok(None) => Refusal::Missing.reply(),
        Err(error) => unsure(step, &error),
    }
}

fn unsure(step: &str, error: &PlatError) -> Reply {
    let why = error.to_string();
    log::info!(target: "steps", id = step, why = why.as_str(); "cannot tell of a step");
    Refusal::Unrun.reply()
}

/// Reads results of a step that another instance runs: from that one, which costs the platform no
/// call and gives the newest ones at once, or from the platform.
async fn read_elsewhere(
    app: &Arc<App>,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
) -> Result<Option<Reply>, PlatError> {
    let hint = hint::owner(app, step).await;
    if let Some(owner) = &hint {
        if let Some(page) = peer::page(app, owner, step, from, wait).await {
            return Ok(Some(page));
        }
        hint::forget(app, step);
    }
    let Some(shelf) = find_shelf(app, step).await? else {
        return Ok(None);
    };
    // The platform knows an owner that nobody hinted at, or another one.
    let owner = hint::known(app, step).filter(|owner| hint.as_ref() != Some(owner));
    if let Some(owner) = owner
        && let Some(page) = peer::page(app, &owner, step, from, wait).await
    {
        return Ok(Some(page));
    }
    let page = shelf.page(app, from, wait).await?;
    Ok(Some(page.reply(app, from)))
}

async fn find_shelf(app: &App, step: &Arc<str>) -> Result<Option<Arc<Shelf>>, PlatError> {
    if let Some(shelf) = app.shelves.get(step) {
        return Ok(Some(shelf));
    }
    let Some(item) = app.plat.get(&keys::head(step)).await? else {
        return Ok(None);
    };
    let head = step_head::decode_head(&item)?;
    hint::note(app, step.clone(), head.owner.instance.clone());
    let shelf = app.shelves.with_shard(step, |map| {
        let new = || Arc::new(Shelf::new(step.clone(), &head));
        map.entry(step.clone()).or_insert_with(new).clone()
    });
    Ok(Some(shelf))
}

/// Answers with the body of a sample's request.
pub async fn body(
    app: &Arc<App>,
    step: &Arc<str>,
    sample: &Arc<str>,
    principal: &Principal,
) -> Reply {
    for name in names(step, principal) {
        let reply = body_kept(app, &name, sample).await;
        if reply.status() != StatusCode::NOT_FOUND {
            return reply;
        }
    }
    Refusal::Missing.reply()
}

async fn body_kept(app: &Arc<App>, step: &Arc<str>, sample: &Arc<str>) -> Reply {
    let found = match app.works.get(step) {
        Some(work) => Ok(work.sample_body(sample)),
        None => find_body(app, step, sample).await,
    };
    match found {
        Ok(Some(bytes)) => net::body::reply(StatusCode::OK, "application/octet-stream", bytes),
        Ok(None) => Refusal::Missing.reply(),
        Err(error) => unsure(step, &error),
    }
}

/// Finds the body of a sample of a step that another instance runs.
async fn find_body(
    app: &App,
    step: &Arc<str>,
    sample: &Arc<str>,
) -> Result<Option<Vec<u8>>, PlatError> {
    if let Some(owner) = hint::owner(app, step).await
        && let Some(body) = peer::body(app, &owner, step, sample).await
    {
        return Ok(body);
    }
    read_body(app, step, sample).await
}

/// Reads a step's samples part by part until the one that is asked for.
async fn read_body(app: &App, step: &str, sample: &str) -> Result<Option<Vec<u8>>, PlatError> {
    let prefix = keys::spec_prefix(step);
    let mut parts = SpecDecoder::default();
    let mut after = None;
    loop {
        let page = app.plat.page(&prefix, after).await?;
        for item in &page.items {
            let samples = parts.add(&item.value).map_err(|_| PlatError::Garbled)?;
            if let Some(found) = samples.into_iter().find(|one| &*one.id == sample) {
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
pub async fn end(app: &Arc<App>, step: &Arc<str>, principal: &Principal) -> Reply {
    for name in names(step, principal) {
        let reply = end_kept(app, &name).await;
        if reply.status() != StatusCode::NOT_FOUND {
            return reply;
        }
    }
    Refusal::Missing.reply()
}

async fn end_kept(app: &Arc<App>, step: &Arc<str>) -> Reply {
    let known = app.works.get(step).is_some() || app.shelves.get(step).is_some();
    if !known && hint::owner(app, step).await.is_none() {
        match app.plat.get(&keys::head(step)).await {
            Ok(Some(_)) => (),
            Ok(None) => return Refusal::Missing.reply(),
            Err(error) => return unsure(step, &error),
        }
    }
    // Goes on when the caller leaves: whoever has asked for the end wants nothing more of the step.
    let ending = tokio::spawn(end_surely(app.clone(), step.clone()));
    match timeout(ACCEPT, ending).await {
        Ok(Ok(Ending::Ended)) => body::reply(StatusCode::OK, "application/json", "{}"),
        Ok(Ok(Ending::Missing)) => Refusal::Missing.reply(),
        Ok(Ok(Ending::Unclear) | Err(_)) | Err(_) => Refusal::Late.reply(),
    }
}

/// What came of ending a step.
enum Ending {
    /// It has ended.
    Ended,
    /// There is no such step.
    Missing,
    /// The platform did not tell.
    Unclear,
}

/// Ends a step and tells its owner, which would hear of it with its next question else.
async fn end_surely(app: Arc<App>, step: Arc<str>) -> Ending {
    let begun = app.clock.now();
    loop {
        match step_head::end(&app, &step).await {
            Ok(Some(ended)) => {
                log::info!(target: "steps", id = &*step, instance = &*ended.owner.instance, revision = ended.rev,
                    took_ms = app.clock.now() - begun; "step ended");
                tokio::spawn(tell_owner(app, step, ended));
                return Ending::Ended;
            }
            Ok(None) => return Ending::Missing,
            Err(error) => {
                let why = error.to_string();
                log::info!(target: "steps", id = &*step, why = why.as_str(); "step not ended yet");
            }
        }
        if app.clock.now() > begun + SETTLE {
            log::warn!(target: "steps", id = &*step, took_ms = app.clock.now() - begun; "end given up");
            return Ending::Unclear;
        }
        sleep(PAUSE).await;
    }
}

async fn tell_owner(app: Arc<App>, step: Arc<str>, ended: EndedStep) {
    if ended.owner == app.me {
        note_end(&app, &step, ended.rev);
        return;
    }
    for _ in 0..TOLD {
        if peer::ended(&app, &ended.owner.instance, &step, ended.rev).await {
            return;
        }
        sleep(TOLD_PAUSE).await;
    }
    log::info!(target: "steps", id = &*step, instance = &*ended.owner.instance; "owner not told of the end");
}

/// Takes in that a step has ended while its head had a revision.
pub(crate) fn note_end(app: &App, step: &Arc<str>, rev: i64) {
    if let Some(work) = app.works.get(step) {
        work.mark_ended(app, rev, "told");
    }
}
