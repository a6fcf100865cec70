//! Runs the samples of the steps that this instance owns, and writes their results to the platform.

mod checks;
mod drafts;
mod load_probes;
mod owned_step;
mod runner;
mod step_end;
mod version_probes;
mod wait_log;
mod write;

use std::sync::Arc;
use std::time::Duration;

use batch::DraftDelta;
use batch::Entry;
use batch::Head;
use batch::Spec;
use kernel::Millis;
use kernel::Set;
use net::Reservation;
use tokio::time::sleep;
use tokio::time::timeout;

pub use self::owned_step::OwnedStep;
use self::runner::StepRunner;
use crate::App;
use crate::fingerprint;
use crate::hint;
use crate::slot_reports;
use crate::step_head::Ownership;
use crate::telemetry;

/// Pause after a platform call whose outcome is unknown.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for which an ended step stays in memory, for late readers and for a later step that adopts its drafts.
const ENDED_RETENTION: Duration = Duration::from_secs(3);

/// Amount by which the age of a step that was taken over is reduced: the clocks of two instances may differ, and its
/// samples must not time out early.
const CLOCK_SKEW_ALLOWANCE: Millis = 2_500;

/// The samples of a step, and the memory that is reserved for them.
pub struct HeldSpec {
    /// The samples.
    pub spec: Spec,
    /// The memory.
    pub memory: Reservation,
}

impl HeldSpec {
    /// Reserves memory for samples that have to be held, whether there is room or not.
    fn required(app: &App, spec: Spec) -> Self {
        let memory = app.uploads.reserve_anyway(spec.size());
        Self { spec, memory }
    }
}

/// Starts a step that was accepted by this instance.
pub fn begin(
    app: &Arc<App>,
    step: &Arc<str>,
    head: Head,
    mut spec: HeldSpec,
    ownership: Ownership,
) {
    let carried_over = apply_leftovers(app, &head, &mut spec.spec);
    let mut owned = OwnedStep::new(app, step, head, spec, &ownership, app.clock.now());
    owned.carried_over = carried_over;
    start(app, owned, "accepted");
}

/// Finds the samples that an earlier step did not finish, and raises their expected length to the length they had
/// reached, which is a better estimate than the one their sender gives. Returns their indices.
fn apply_leftovers(app: &App, head: &Head, spec: &mut Spec) -> Set<u32> {
    let now = app.clock.now();
    let tokens = event_tokens(app, head);
    let mut leftovers = app.leftovers.lock();
    let mut carried_over = Set::default();
    for (index, sample) in spec.samples.iter_mut().enumerate() {
        let Some(events) = leftovers.take(fingerprint::leftover(head.team.as_deref(), sample), now)
        else {
            continue;
        };
        carried_over.insert(index as u32);
        let expected = events.saturating_mul(tokens).try_into().unwrap_or(u32::MAX);
        sample.expected = expected.max(sample.expected);
    }
    carried_over
}

/// Tokens in one event of the step's engines; 0 when unknown.
fn event_tokens(app: &App, head: &Head) -> u64 {
    let config = app.config.load();
    let route = config
        .as_ref()
        .and_then(|config| config.find_route(&head.host, &head.path));
    let service = route.and_then(|route| route.services.first());
    service.map_or(0, |share| {
        u64::from(app.engine_memory(&share.service).event_tokens)
    })
}

/// Records the unfinished samples of an ended step, for the step that asks for them again.
fn record_leftovers(app: &App, owned: &OwnedStep) {
    let incomplete = owned.ledger.lock().incomplete_samples();
    let now = app.clock.now();
    let mut leftovers = app.leftovers.lock();
    for index in incomplete {
        let index = index as usize;
        let draft = owned.drafts[index].lock();
        leftovers.record(
            owned.fingerprint(&owned.spec.samples[index]),
            draft.last_event,
            draft.complete,
            now,
        );
    }
}

/// The progress of a step that its previous owner has saved at the platform.
pub struct SavedProgress {
    /// The results that were written, segment by segment.
    pub segments: Vec<Vec<Entry>>,
    /// The saved parts of samples that are not complete, oldest first.
    pub deltas: Vec<DraftDelta>,
    /// Sequence number of the next segment.
    pub next_seq: u32,
}

/// Continues a step whose owner is gone, from the results and partial samples that were saved.
pub fn resume(
    app: &Arc<App>,
    step: &Arc<str>,
    head: Head,
    spec: Spec,
    ownership: Ownership,
    progress: SavedProgress,
) {
    let age = app.clock.wall().saturating_sub(head.opened);
    let opened_at = app
        .clock
        .now()
        .saturating_sub(age.saturating_sub(CLOCK_SKEW_ALLOWANCE));
    let spec = HeldSpec::required(app, spec);
    let owned = OwnedStep::new(app, step, head, spec, &ownership, opened_at);
    {
        let mut ledger = owned.ledger.lock();
        for segment in progress.segments {
            ledger.restore(segment);
        }
        ledger.set_next_seq(progress.next_seq);
        owned.listed.send_replace(ledger.listed().len());
    }
    for delta in progress.deltas {
        if let Some(draft) = owned.drafts.get(delta.index as usize) {
            let index = delta.index;
            let mut draft = draft.lock();
            draft.apply(delta);
            owned.checkpoints.lock().mark_saved(index, &draft);
        }
    }
    start(app, owned, "taken over");
}

/// Registers a step as run by this instance. Returns false when the instance already runs it with the same or a newer
/// revision of its head; one with an older revision is stopped.
fn register(app: &App, owned: &Arc<OwnedStep>) -> bool {
    app.running_steps.with_shard(&owned.step, |map| {
        if let Some(registered) = map.get(&owned.step) {
            if registered.rev >= owned.rev {
                return false;
            }
            registered.mark_lost();
        }
        map.insert(owned.step.clone(), owned.clone());
        true
    })
}

/// Removes a step from those that this instance runs, unless it runs a newer revision by now.
fn unregister(app: &App, owned: &Arc<OwnedStep>) {
    app.running_steps.with_shard(&owned.step, |map| {
        let registered = map.get(&owned.step);
        if registered.is_some_and(|registered| Arc::ptr_eq(registered, owned)) {
            map.remove(&owned.step);
        }
    });
}

fn start(app: &Arc<App>, owned: OwnedStep, why: &str) {
    let owned = Arc::new(owned);
    let registered = register(app, &owned);
    log::info!(target: "owner", id = &*owned.step, revision = owned.rev, why, begun = registered,
        heard_ms = owned.confirmation_age(app); "step begun");
    if !registered {
        return;
    }
    app.demand.step_started();
    app.result_caches.remove(&owned.step);
    hint::publish(app, &owned.step);
    tokio::spawn(run_until_done(app.clone(), owned));
}

/// Runs a step until it is done, again whenever the task that runs it panics: while the instance lives, no other one takes
/// the step over.
async fn run_until_done(app: Arc<App>, owned: Arc<OwnedStep>) {
    while let Err(error) = tokio::spawn(run(app.clone(), owned.clone())).await {
        let error = error.to_string();
        log::error!(target: "owner", id = &*owned.step, error = error.as_str(); "step runs again after a panic");
        metrics::counter!(telemetry::STEPS, "outcome" => "panicked").increment(1);
        sleep(RETRY_PAUSE).await;
    }
    unregister(&app, &owned);
}

async fn run(app: Arc<App>, owned: Arc<OwnedStep>) {
    adopt_leftover_drafts(&app, &owned);
    let mut runner = StepRunner::new(&app, &owned);
    slot_reports::announce(&app).await;
    runner.run().await;
    let ledger_done = owned.ledger.lock().is_done();
    log::info!(target: "owner", id = &*owned.step, ended = owned.has_ended(),
        lost = owned.is_lost(), whole = ledger_done; "step done");
    if owned.is_lost() {
        return;
    }
    record_leftovers(&app, &owned);
    let retention = async {
        runner.finish_runs().await;
        sleep(ENDED_RETENTION).await;
    };
    // The limit includes the time that running samples take to finish or to be handed over.
    let _ = timeout(ENDED_RETENTION, retention).await;
}

/// Adopts the drafts that earlier steps have left of this step's samples. One instance runs all steps of a route, so
/// the drafts are in its memory.
fn adopt_leftover_drafts(app: &App, owned: &OwnedStep) {
    let single_version = owned.route(app).is_none_or(|route| route.single_version);
    if single_version {
        return;
    }
    let samples = owned.spec.samples.iter();
    let fingerprints: Vec<_> = samples.map(|sample| owned.fingerprint(sample)).collect();
    let mut drafts = Vec::new();
    app.running_steps.for_each_shard(|map| {
        for other in map.values() {
            drafts.extend(other.hand_over_drafts(&owned.head.model, &fingerprints));
        }
    });
    let found = drafts.len();
    let taken = owned.adopt_drafts(drafts);
    if found > 0 {
        log::info!(target: "owner", id = &*owned.step, found, taken; "adopted drafts of earlier steps");
    }
}
