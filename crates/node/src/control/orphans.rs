//! Steps whose owner is gone, records that are not needed any more, and instances that are to be
//! emptied.

use std::sync::Arc;
use std::time::Duration;

use batch::DraftDelta;
use batch::Entry;
use batch::Head;
use batch::Owner;
use batch::Spec;
use batch::keys;
use batch::record;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use plat::Delete;
use plat::Item;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use tokio::time::sleep;

use super::targets::Targets;
use crate::App;
use crate::claim;
use crate::claim::Ownership;
use crate::claim::TakeOverOutcome;
use crate::member;
use crate::owner;
use crate::owner::SavedProgress;
use crate::peer;

/// Time between two looks. Stale reads do: taking over is decided by a write under a condition.
const LOOK: Duration = Duration::from_millis(500);

/// Time for which an owner's entry has to be missing before its step is taken over: an instance
/// whose entry lapsed while the platform was away enters again within this time.
const MISSING: Millis = 900;

/// Pauses before the looks of a restarted instance at the steps that it owned: a stale read shows a step that
/// was accepted in the second before the end a little later.
const RECLAIM: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(700),
    Duration::from_millis(1_500),
];

/// Time after which a step's records are removed, beyond the time for which they can be read: the
/// clocks of instances differ by seconds.
const SPARE: Millis = 30_000;

/// Keys that one write removes: platforms take 32 entries.
const TOGETHER: usize = 30;

/// Looks after steps for as long as this instance leads.
pub async fn run(app: Arc<App>, targets: Targets) {
    let mut looks = Looks::default();
    loop {
        sleep(LOOK).await;
        if let Err(error) = looks.turn(&app, &targets).await {
            let error = error.to_string();
            log::debug!(target: "control", error = error.as_str(); "no look at steps");
            // What was missing before an outage says nothing after it.
            looks.missing.clear();
        }
    }
}

/// A step's head as the platform has it.
struct Found<'a> {
    step: Arc<str>,
    head: Head,
    item: &'a Item,
}

#[derive(Default)]
struct Looks {
    /// Steps that were seen before.
    known: Set<Arc<str>>,
    /// Steps whose owner's entry is missing, and since when.
    missing: Map<Arc<str>, Millis>,
    /// Steps that need nobody any more.
    settled: Set<Arc<str>>,
    /// Instances that were said to be empty.
    emptied: Set<String>,
}

impl Looks {
    async fn turn(&mut self, app: &Arc<App>, targets: &Targets) -> Result<(), PlatError> {
        let heads = app.plat.list_stale(keys::HEADS_PREFIX).await?;
        if !heads.items.is_empty() {
            let entries = app.plat.list_stale(member::INSTANCES).await?;
            let live: Set<_> = entries
                .items
                .iter()
                .filter_map(|item| member::read(&item.value))
                .map(|member| (member.owner.instance, member.owner.start))
                .collect();
            let heads = self.decode(&heads.items);
            self.learn(&heads, targets);
            for found in heads {
                self.look(app, found, &live).await?;
            }
        }
        self.empty(app).await
    }

    fn decode<'a>(&self, items: &'a [Item]) -> Vec<Found<'a>> {
        let mut found = Vec::with_capacity(items.len());
        for item in items {
            let Some(step) = keys::step_of_head(&item.key) else {
                continue;
            };
            match record::decode(&item.value) {
                Ok(head) => found.push(Found {
                    step: step.into(),
                    head,
                    item,
                }),
                Err(error) => {
                    let error = error.to_string();
                    log::error!(target: "control", id = step, error = error.as_str();
                        "head not understood");
                }
            }
        }
        found
    }

    /// Learns from steps that were not seen before how old their weights may be.
    fn learn(&mut self, heads: &[Found<'_>], targets: &Targets) {
        self.known
            .retain(|step| heads.iter().any(|found| found.step == *step));
        let mut new: Vec<_> = heads
            .iter()
            .filter(|found| self.known.insert(found.step.clone()))
            .collect();
        new.sort_by_key(|found| found.head.opened);
        for found in new {
            targets.opened(&found.head);
        }
    }

    async fn look(
        &mut self,
        app: &Arc<App>,
        found: Found<'_>,
        live: &Set<(Arc<str>, u64)>,
    ) -> Result<(), PlatError> {
        let Found { step, head, item } = found;
        let age = app.clock.wall().saturating_sub(head.opened);
        if age > app.settings.keep + SPARE {
            return sweep(app, &step, item).await;
        }
        let now = app.clock.now();
        let owner = (head.owner.instance.clone(), head.owner.start);
        let mine = head.owner == app.me && app.works.get(&step).is_some();
        if self.settled.contains(&step) || live.contains(&owner) || mine {
            self.missing.remove(&step);
            return Ok(());
        }
        let since = *self.missing.entry(step.clone()).or_insert(now);
        if now < since + MISSING {
            return Ok(());
        }
        if head.ended.is_some() {
            self.settled.insert(step);
            return Ok(());
        }
        self.missing.remove(&step);
        // It has to be known whether the write took effect, also when this instance leads no more.
        let (app, item) = (app.clone(), item.clone());
        tokio::spawn(async move {
            if let Err(error) = take_over(&app, &step, &item, head).await {
                let error = error.to_string();
                log::warn!(target: "control", id = &*step, error = error.as_str(); "step not taken over");
            }
        });
        Ok(())
    }

    /// Says of each instance that is to be emptied that it is: nothing that lasts is kept outside
    /// the platform's store.
    async fn empty(&mut self, app: &App) -> Result<(), PlatError> {
        let prefix = app.dialect.places().empty;
        for item in app.plat.list_stale(prefix).await?.items {
            let Some(name) = item.key.strip_prefix(prefix) else {
                continue;
            };
            if self.emptied.contains(name) {
                continue;
            }
            let (key, value) = app.dialect.emptied(name);
            let txn = Txn {
                puts: vec![Put::new(key, value)],
                ..Txn::default()
            };
            app.plat.txn(&txn).await?;
            log::info!(target: "control", instance = name; "instance is empty");
            self.emptied.insert(name.to_owned());
        }
        Ok(())
    }
}

/// Takes up the steps that this instance owned before it was restarted, without waiting for
/// anybody to notice: after a loss of power of all instances nobody else would for seconds.
///
/// Stale reads do, a few of them: a step that none of them shows yet is taken over by the leader.
pub async fn reclaim(app: Arc<App>) {
    let mut settled = Set::default();
    for pause in RECLAIM {
        sleep(pause).await;
        while let Err(error) = try_reclaim(&app, &mut settled).await {
            let error = error.to_string();
            log::warn!(target: "control", error = error.as_str(); "steps not reclaimed");
            sleep(LOOK).await;
        }
    }
}

async fn try_reclaim(app: &Arc<App>, settled: &mut Set<Arc<str>>) -> Result<(), PlatError> {
    for item in app.plat.list_stale(keys::HEADS_PREFIX).await?.items {
        let Some(step) = keys::step_of_head(&item.key).map(Arc::<str>::from) else {
            continue;
        };
        let Ok(head) = record::decode::<Head>(&item.value) else {
            // Whoever looks after all steps reports it.
            continue;
        };
        let earlier = head.owner.instance == app.me.instance && head.owner.start != app.me.start;
        if !earlier || settled.contains(&step) {
            continue;
        }
        let age = app.clock.wall().saturating_sub(head.opened);
        if head.ended.is_none() && age <= app.settings.keep {
            member::shorten(app).await?;
            take_over(app, &step, &item, head).await?;
        }
        settled.insert(step);
    }
    Ok(())
}

/// Takes a step over whose owner is gone, and goes on with it, unless that is under way here already.
///
/// # Errors
///
/// Returns [`PlatError`] when nothing was written.
pub(crate) async fn take_over(
    app: &Arc<App>,
    step: &Arc<str>,
    item: &Item,
    head: Head,
) -> Result<(), PlatError> {
    // Whoever asks meanwhile need not wait for it.
    let Some(taking) = Taking::begin(app, step) else {
        return Ok(());
    };
    let from = head.owner.clone();
    let open = match claim::take_over(app, step, item, &head).await? {
        TakeOverOutcome::Open(open) => open,
        TakeOverOutcome::Ended => {
            // The version before has written the end where nobody looks any more.
            claim::end(app, step).await?;
            return Ok(());
        }
        TakeOverOutcome::Rejected => {
            log::info!(target: "control", id = &**step, instance = &*from.instance, revision = item.rev;
                "step not taken over");
            return Ok(());
        }
    };
    log::info!(target: "control", id = &**step, owner = &*from.instance, revision = open.rev(); "step taken over");
    metrics::counter!(crate::meter::STEPS, "outcome" => "taken over").increment(1);
    let head = Head {
        owner: app.me.clone(),
        ..head
    };
    tokio::spawn(tell_former(app.clone(), step.clone(), from, item.rev));
    // From here on the step is left to nobody else while this instance lives.
    tokio::spawn(go_on(taking, step.clone(), head, open));
    Ok(())
}

/// Tells the former owner of a step that was taken over. One that lives and reaches neither the platform nor others would
/// go on with it, also after its end, of which its new owner alone is told.
async fn tell_former(app: Arc<App>, step: Arc<str>, former: Owner, rev: i64) {
    if former.instance != app.me.instance && !peer::taken(&app, &former.instance, &step, rev).await
    {
        log::info!(target: "control", id = &*step, instance = &*former.instance; "former owner not told");
    }
}

/// A step that is being taken over here, until this is dropped.
struct Taking {
    app: Arc<App>,
    step: Arc<str>,
}

impl Taking {
    fn begin(app: &Arc<App>, step: &Arc<str>) -> Option<Self> {
        let (app, step) = (app.clone(), step.clone());
        app.taking.lock().insert(step.clone()).then_some(())?;
        Some(Self { app, step })
    }
}

impl Drop for Taking {
    fn drop(&mut self) {
        self.app.taking.lock().remove(&self.step);
    }
}

/// Goes on with a step that was taken over, once its records could be read.
async fn go_on(taking: Taking, step: Arc<str>, head: Head, open: Ownership) {
    let app = taking.app.clone();
    while app.clock.wall() < head.opened + app.settings.keep {
        match load(&app, &step, &head).await {
            Ok((spec, left)) => {
                log::info!(target: "control", id = &*step, segments = left.segments.len(),
                    pieces = left.deltas.len(); "records read");
                owner::resume(&app, &step, head, spec, open, left);
                return;
            }
            Err(error) => {
                let why = error.to_string();
                log::warn!(target: "control", id = &*step, why = why.as_str(); "records not read");
                if matches!(error, PlatError::Garbled) {
                    return;
                }
            }
        }
        sleep(LOOK).await;
    }
}

/// Reads what the owner before has left. It can list nothing more, so what is read is all there is.
async fn load(app: &App, step: &str, head: &Head) -> Result<(Spec, SavedProgress), PlatError> {
    let parts = app.plat.list(&keys::spec_prefix(step)).await?;
    let spec = Spec::decode_parts(parts.items.iter().map(|item| &*item.value), head.total);
    let spec = spec.map_err(|_| PlatError::Garbled)?;
    let listed = app.plat.list(&keys::segments_prefix(step)).await?;
    let segments: Result<Vec<Vec<Entry>>, _> = listed
        .items
        .iter()
        .map(|item| record::decode(&item.value))
        .collect();
    let segments = segments.map_err(|_| PlatError::Garbled)?;
    let (pieces, seq) = kept(app, step).await?;
    let left = SavedProgress {
        segments,
        deltas: pieces,
        next_seq: seq,
    };
    Ok((spec, left))
}

/// What the owner before has kept of samples that are not whole, in the order in which they gained it, and
/// a number for the next segment.
async fn kept(app: &App, step: &str) -> Result<(Vec<DraftDelta>, u32), PlatError> {
    let kept = app.plat.list(&keys::drafts_prefix(step)).await?;
    let mut all = Vec::new();
    let mut seq = 0;
    for item in &kept.items {
        let pieces: Vec<DraftDelta> =
            record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
        all.extend(pieces);
        seq = keys::draft_seq(step, &item.key).map_or(seq, |last| last + 1);
    }
    Ok((all, seq))
}

/// Removes the records of a step that nobody may read any more; the head goes last, so that an
/// interrupted removal goes on later, and says until then that the step has ended.
async fn sweep(app: &App, step: &str, head: &Item) -> Result<(), PlatError> {
    let mut gone = Vec::new();
    for prefix in [
        keys::spec_prefix(step),
        keys::segments_prefix(step),
        keys::drafts_prefix(step),
    ] {
        let range = app.plat.list(&prefix).await?;
        gone.extend(range.items.into_iter().map(|item| item.key));
    }
    let last = [keys::end(step), head.key.clone()];
    for part in gone.chunks(TOGETHER).chain([&last[..]]) {
        let txn = Txn {
            deletes: part.iter().cloned().map(Delete::Key).collect(),
            ..Txn::default()
        };
        app.plat.txn(&txn).await?;
    }
    log::info!(target: "control", id = step, keys = gone.len() + last.len(); "step removed");
    Ok(())
}
