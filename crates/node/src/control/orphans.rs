//! Takes over steps whose owner is gone, removes records that are no longer needed, and reports drained instances.

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
use crate::member;
use crate::owner;
use crate::owner::SavedProgress;
use crate::peer;
use crate::step_head;
use crate::step_head::Ownership;
use crate::step_head::TakeOverOutcome;

/// Interval between two passes over the steps. Stale reads suffice, since a conditional write decides a takeover.
const PASS_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an owner's membership entry must be missing before its step is taken over: an instance whose entry
/// expired during an outage of the platform writes it again within this time.
const OWNER_MISSING_DELAY: Millis = 900;

/// Pauses of a restarted instance before each of its reads of the steps that it owned. The first stale read may not yet
/// show a step that was accepted in the last second before the restart.
const RECLAIM_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(700),
    Duration::from_millis(1_500),
];

/// Additional time for which the records of a step are kept after they can no longer be read, in milliseconds: the
/// clocks of instances may differ by seconds.
const REMOVAL_DELAY: Millis = 30_000;

/// Time after its submission for which the owner of an ended step counts as an owner, in milliseconds: it probably
/// runs the next step of the model, of which the leader learns up to half a second late.
const RECENT_STEP: Millis = 10_000;

/// Maximum number of keys in one delete: platforms accept 32 operations in a transaction.
const MAX_DELETED_KEYS: usize = 30;

/// Monitors all steps for as long as this instance is the leader.
pub async fn run(app: Arc<App>, targets: Targets) {
    let mut monitor = StepMonitor::default();
    loop {
        sleep(PASS_INTERVAL).await;
        if let Err(error) = monitor.pass(&app, &targets).await {
            let error = error.to_string();
            log::debug!(target: "control", error = error.as_str(); "could not check steps");
            // An owner that was missing before an outage of the platform may be back after it.
            monitor.owner_missing_since.clear();
        }
    }
}

/// The head of a step, and its item at the platform.
struct StepHead<'a> {
    step: Arc<str>,
    head: Head,
    item: &'a Item,
}

#[derive(Default)]
struct StepMonitor {
    /// Steps that were seen in an earlier pass.
    known: Set<Arc<str>>,
    /// Steps whose owner's membership entry is missing, and since when.
    owner_missing_since: Map<Arc<str>, Millis>,
    /// Ended steps whose owner is gone; they need no new one.
    settled: Set<Arc<str>>,
    /// Instances that were reported as drained.
    drained: Set<String>,
}

impl StepMonitor {
    async fn pass(&mut self, app: &Arc<App>, targets: &Targets) -> Result<(), PlatError> {
        let heads = app.plat.list_stale(keys::HEADS_PREFIX).await?;
        if heads.items.is_empty() {
            targets.replace_owners(std::iter::empty());
        } else {
            let entries = app.plat.list_stale(member::KEY_PREFIX).await?;
            let live: Set<_> = entries
                .items
                .iter()
                .filter_map(|item| member::decode(&item.value))
                .map(|member| (member.owner.instance, member.owner.start))
                .collect();
            let heads = self.decode(&heads.items);
            self.record_new(&heads, targets);
            record_owners(app, &heads, targets);
            for head in heads {
                self.check(app, head, &live).await?;
            }
        }
        self.report_drained(app).await
    }

    fn decode<'a>(&self, items: &'a [Item]) -> Vec<StepHead<'a>> {
        let mut heads = Vec::with_capacity(items.len());
        for item in items {
            let Some(step) = keys::step_of_head(&item.key) else {
                continue;
            };
            match record::decode(&item.value) {
                Ok(head) => heads.push(StepHead {
                    step: step.into(),
                    head,
                    item,
                }),
                Err(error) => {
                    let error = error.to_string();
                    log::error!(target: "control", id = step, error = error.as_str();
                        "could not decode the head of a step");
                }
            }
        }
        heads
    }

    /// Records the steps that were not seen before, so that the versions that they require are known.
    fn record_new(&mut self, heads: &[StepHead<'_>], targets: &Targets) {
        self.known
            .retain(|step| heads.iter().any(|head| head.step == *step));
        let mut new: Vec<_> = heads
            .iter()
            .filter(|head| self.known.insert(head.step.clone()))
            .collect();
        new.sort_by_key(|new| new.head.opened);
        for new in new {
            targets.record_step(&new.head);
        }
    }

    /// Removes the records of an expired step, and takes over a step whose owner is gone.
    async fn check(
        &mut self,
        app: &Arc<App>,
        step_head: StepHead<'_>,
        live: &Set<(Arc<str>, u64)>,
    ) -> Result<(), PlatError> {
        let StepHead { step, head, item } = step_head;
        let age = app.clock.wall().saturating_sub(head.opened);
        if age > app.settings.result_retention + REMOVAL_DELAY {
            return remove_records(app, &step, item).await;
        }
        let now = app.clock.now();
        let owner = (head.owner.instance.clone(), head.owner.start);
        let runs_here = head.owner == app.me && app.running_steps.get(&step).is_some();
        if self.settled.contains(&step) || live.contains(&owner) || runs_here {
            self.owner_missing_since.remove(&step);
            return Ok(());
        }
        let since = *self.owner_missing_since.entry(step.clone()).or_insert(now);
        if now < since + OWNER_MISSING_DELAY {
            return Ok(());
        }
        if head.ended.is_some() {
            self.settled.insert(step);
            return Ok(());
        }
        self.owner_missing_since.remove(&step);
        // The takeover runs in a task of its own, since its outcome must be awaited even if the leadership ends.
        let (app, item) = (app.clone(), item.clone());
        tokio::spawn(async move {
            if let Err(error) = take_over(&app, &step, &item, head).await {
                let error = error.to_string();
                log::warn!(target: "control", id = &*step, error = error.as_str(); "step not taken over");
            }
        });
        Ok(())
    }

    /// Reports each instance that has to be drained as drained at once: all durable state is at the platform.
    async fn report_drained(&mut self, app: &App) -> Result<(), PlatError> {
        let prefix = app.dialect.store_keys().drain_requests;
        for item in app.plat.list_stale(prefix).await?.items {
            let Some(name) = item.key.strip_prefix(prefix) else {
                continue;
            };
            if self.drained.contains(name) {
                continue;
            }
            let (key, value) = app.dialect.drained_record(name);
            let txn = Txn {
                puts: vec![Put::new(key, value)],
                ..Txn::default()
            };
            app.plat.txn(&txn).await?;
            log::info!(target: "control", instance = name; "instance is drained");
            self.drained.insert(name.to_owned());
        }
        Ok(())
    }
}

/// Records which instances run steps of which models.
fn record_owners(app: &App, heads: &[StepHead<'_>], targets: &Targets) {
    let now = app.clock.wall();
    let heads = heads.iter().map(|step_head| &step_head.head);
    let current = heads.filter(|head| {
        let age = now.saturating_sub(head.opened);
        age <= RECENT_STEP || head.ended.is_none() && age <= app.settings.result_retention
    });
    targets.replace_owners(current.map(|head| (&head.model, &head.owner.instance)));
}

/// Continues the steps that this instance owned before it was restarted, without waiting for the leader: after a power
/// loss of all instances, it would take seconds until there is one that takes them over.
///
/// A few stale reads suffice: the leader takes over a step that none of them shows.
pub async fn reclaim(app: Arc<App>) {
    let mut settled = Set::default();
    for pause in RECLAIM_PAUSES {
        sleep(pause).await;
        while let Err(error) = try_reclaim(&app, &mut settled).await {
            let error = error.to_string();
            log::warn!(target: "control", error = error.as_str(); "could not reclaim steps");
            sleep(PASS_INTERVAL).await;
        }
    }
}

async fn try_reclaim(app: &Arc<App>, settled: &mut Set<Arc<str>>) -> Result<(), PlatError> {
    for item in app.plat.list_stale(keys::HEADS_PREFIX).await?.items {
        let Some(step) = keys::step_of_head(&item.key).map(Arc::<str>::from) else {
            continue;
        };
        let Ok(head) = record::decode::<Head>(&item.value) else {
            // The leader, which checks all steps, logs the error.
            continue;
        };
        let previous_start =
            head.owner.instance == app.me.instance && head.owner.start != app.me.start;
        if !previous_start || settled.contains(&step) {
            continue;
        }
        let age = app.clock.wall().saturating_sub(head.opened);
        if head.ended.is_none() && age <= app.settings.result_retention {
            member::shorten_ttl(app).await?;
            take_over(app, &step, &item, head).await?;
        }
        settled.insert(step);
    }
    Ok(())
}

/// Takes over a step whose owner is gone and continues it, unless this instance is already doing so.
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
    // If a takeover is in progress, the caller need not wait for it.
    let Some(guard) = TakeoverGuard::begin(app, step) else {
        return Ok(());
    };
    let former = head.owner.clone();
    let ownership = match step_head::take_over(app, step, item, &head).await? {
        TakeOverOutcome::Open(ownership) => ownership,
        TakeOverOutcome::Ended => {
            // The previous release has written the end under a key that is only checked here, so it is written to the
            // head as well.
            step_head::end(app, step).await?;
            return Ok(());
        }
        TakeOverOutcome::Rejected => {
            log::info!(target: "control", id = &**step, instance = &*former.instance, revision = item.rev;
                "step not taken over");
            return Ok(());
        }
    };
    log::info!(target: "control", id = &**step, owner = &*former.instance, revision = ownership.rev(); "step taken over");
    metrics::counter!(crate::telemetry::STEPS, "outcome" => "taken over").increment(1);
    let head = Head {
        owner: app.me.clone(),
        ..head
    };
    tokio::spawn(notify_former_owner(
        app.clone(),
        step.clone(),
        former,
        item.rev,
    ));
    // The task must not be canceled: other instances leave the step to this one for as long as it is live.
    tokio::spawn(resume(guard, step.clone(), head, ownership));
    Ok(())
}

/// Notifies the former owner of a step that was taken over. If it is still live but reaches neither the platform nor
/// other instances, it would continue the step even after its end, of which only the new owner is notified.
async fn notify_former_owner(app: Arc<App>, step: Arc<str>, former: Owner, rev: i64) {
    if former.instance != app.me.instance
        && !peer::notify_taken_over(&app, &former.instance, &step, rev).await
    {
        log::info!(target: "control", id = &*step, instance = &*former.instance; "could not notify the former owner");
    }
}

/// Marks a step as being taken over by this instance until it is dropped.
struct TakeoverGuard {
    app: Arc<App>,
    step: Arc<str>,
}

impl TakeoverGuard {
    fn begin(app: &Arc<App>, step: &Arc<str>) -> Option<Self> {
        let (app, step) = (app.clone(), step.clone());
        app.takeovers.lock().insert(step.clone()).then_some(())?;
        Some(Self { app, step })
    }
}

impl Drop for TakeoverGuard {
    fn drop(&mut self) {
        self.app.takeovers.lock().remove(&self.step);
    }
}

/// Continues a step that was taken over, as soon as its records could be read.
async fn resume(guard: TakeoverGuard, step: Arc<str>, head: Head, ownership: Ownership) {
    let app = guard.app.clone();
    while app.clock.wall() < head.opened + app.settings.result_retention {
        match load(&app, &step, &head).await {
            Ok((spec, progress)) => {
                log::info!(target: "control", id = &*step, segments = progress.segments.len(),
                    pieces = progress.deltas.len(); "records read");
                owner::resume(&app, &step, head, spec, ownership, progress);
                return;
            }
            Err(error) => {
                let why = error.to_string();
                log::warn!(target: "control", id = &*step, why = why.as_str(); "could not read the records of a step");
                if matches!(error, PlatError::Garbled) {
                    return;
                }
            }
        }
        sleep(PASS_INTERVAL).await;
    }
}

/// Reads the progress that the former owner has saved. It is complete, since the former owner can no longer write.
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
    let (deltas, next_seq) = load_deltas(app, step).await?;
    let progress = SavedProgress {
        segments,
        deltas,
        next_seq,
    };
    Ok((spec, progress))
}

/// Reads the saved parts of samples that are not complete, oldest first, and the sequence number of the next segment.
async fn load_deltas(app: &App, step: &str) -> Result<(Vec<DraftDelta>, u32), PlatError> {
    let drafts = app.plat.list(&keys::drafts_prefix(step)).await?;
    let mut deltas = Vec::new();
    let mut next_seq = 0;
    for item in &drafts.items {
        let saved: Vec<DraftDelta> = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
        deltas.extend(saved);
        next_seq = keys::draft_seq(step, &item.key).map_or(next_seq, |last| last + 1);
    }
    Ok((deltas, next_seq))
}

/// Removes the records of a step that can no longer be read. The head is removed last, so that an interrupted removal
/// is continued later, and the end of the step stays known until then.
async fn remove_records(app: &App, step: &str, head: &Item) -> Result<(), PlatError> {
    let mut removed = Vec::new();
    for prefix in [
        keys::spec_prefix(step),
        keys::segments_prefix(step),
        keys::drafts_prefix(step),
    ] {
        let range = app.plat.list(&prefix).await?;
        removed.extend(range.items.into_iter().map(|item| item.key));
    }
    let last = [keys::end(step), head.key.clone()];
    for chunk in removed.chunks(MAX_DELETED_KEYS).chain([&last[..]]) {
        let txn = Txn {
            deletes: chunk.iter().cloned().map(Delete::Key).collect(),
            ..Txn::default()
        };
        app.plat.txn(&txn).await?;
    }
    log::info!(target: "control", id = step, keys = removed.len() + last.len(); "step removed");
    Ok(())
}
