//! Running the samples of a step that this instance owns, and listing their results.

mod checks;
mod drive;
mod looks;
mod work;
mod write;

use std::sync::Arc;
use std::time::Duration;

use batch::DraftDelta;
use batch::Entry;
use batch::Head;
use batch::Spec;
use kernel::Millis;
use kernel::Set;
use tokio::time::sleep;
use tokio::time::timeout;

use self::drive::Drive;
pub use self::work::OwnedStep;
use crate::App;
use crate::claim::Ownership;
use crate::hint;
use crate::print;

/// Pause after a call of the platform whose outcome is not known.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for which an ended step stays in memory for readers that are late.
const LINGER: Duration = Duration::from_secs(3);

/// Time by which a step that was taken over is taken to be younger than it seems: the clocks of
/// two instances differ, and a sample must not be given up early.
const SKEW: Millis = 2_500;

/// Begins to run a step that was accepted here.
pub fn begin(app: &Arc<App>, step: &Arc<str>, head: Head, mut spec: Spec, open: Ownership) {
    let again = recall(app, &head, &mut spec);
    let mut work = OwnedStep::new(app, step, head, spec, &open, app.clock.now());
    work.again = again;
    start(app, work, "accepted");
}

/// Finds the samples that an earlier step has left over. How long they became says more of how long they
/// will be than their senders do.
fn recall(app: &App, head: &Head, spec: &mut Spec) -> Set<u32> {
    let now = app.clock.now();
    let tokens = event_tokens(app, head);
    let mut known = app.again.lock();
    let mut again = Set::default();
    for (index, sample) in spec.samples.iter_mut().enumerate() {
        let Some(events) = known.take(print::left(head.team.as_deref(), sample), now) else {
            continue;
        };
        again.insert(index as u32);
        let expected = events.saturating_mul(tokens).try_into().unwrap_or(u32::MAX);
        sample.expected = expected.max(sample.expected);
    }
    again
}

/// Tokens in an event of a step's engines; 0 when it is not known.
fn event_tokens(app: &App, head: &Head) -> u64 {
    let plan = app.plan.load();
    let route = plan
        .as_ref()
        .and_then(|plan| plan.find_route(&head.host, &head.path));
    let service = route.and_then(|route| route.services.first());
    service.map_or(0, |share| {
        u64::from(app.memory(&share.service).event_tokens)
    })
}

/// Remembers the samples of groups that an ended step has left over.
fn remember(app: &App, work: &OwnedStep) {
    let left = work.ledger.lock().incomplete_samples();
    let now = app.clock.now();
    let mut again = app.again.lock();
    for index in left {
        let index = index as usize;
        let draft = work.drafts[index].lock();
        again.record(
            work.print(&work.spec.samples[index]),
            draft.last_event,
            draft.complete,
            now,
        );
    }
}

/// What the owner before has left of a step at the platform.
pub struct Left {
    /// The results that are listed.
    pub segments: Vec<Vec<Entry>>,
    /// What is kept of samples that are not whole.
    pub pieces: Vec<DraftDelta>,
    /// A number for the next segment.
    pub seq: u32,
}

/// Goes on with a step whose owner is gone, from the results that are listed and from what is kept of
/// samples that are not whole.
pub fn resume(
    app: &Arc<App>,
    step: &Arc<str>,
    head: Head,
    spec: Spec,
    open: Ownership,
    left: Left,
) {
    let age = app.clock.wall().saturating_sub(head.opened);
    let opened = app.clock.now().saturating_sub(age.saturating_sub(SKEW));
    let work = OwnedStep::new(app, step, head, spec, &open, opened);
    {
        let mut ledger = work.ledger.lock();
        for segment in left.segments {
            ledger.restore(segment);
        }
        ledger.set_next_seq(left.seq);
        work.listed.send_replace(ledger.listed().len());
    }
    for piece in left.pieces {
        if let Some(draft) = work.drafts.get(piece.index as usize) {
            let index = piece.index;
            let mut draft = draft.lock();
            draft.apply(piece);
            work.kept.lock().mark_saved(index, &draft);
        }
    }
    start(app, work, "taken over");
}

/// Keeps a step in memory; false when it is run here already, by what the platform says now.
fn keep(app: &App, work: &Arc<OwnedStep>) -> bool {
    app.works.with_shard(&work.step, |map| {
        if let Some(held) = map.get(&work.step) {
            if held.rev >= work.rev {
                return false;
            }
            held.lose();
        }
        map.insert(work.step.clone(), work.clone());
        true
    })
}

fn start(app: &Arc<App>, work: OwnedStep, why: &str) {
    let work = Arc::new(work);
    let kept = keep(app, &work);
    log::info!(target: "owner", id = &*work.step, revision = work.rev, why, begun = kept,
        heard_ms = work.unheard(app); "step begun");
    if !kept {
        return;
    }
    app.shelves.remove(&work.step);
    hint::tell(app, &work.step);
    let app = app.clone();
    tokio::spawn(async move {
        gather(&app, &work);
        let mut drive = Drive::new(&app, &work);
        drive.run().await;
        let ledger_done = work.ledger.lock().is_done();
        log::info!(target: "owner", id = &*work.step, ended = work.has_ended(),
            lost = work.is_lost(), whole = ledger_done; "step done");
        if !work.is_lost() {
            remember(&app, &work);
            let lingers = async {
                drive.leave().await;
                sleep(LINGER).await;
            };
            // The time is over, or a later step has what was left over.
            let _ = timeout(LINGER, lingers).await;
        }
        drop(drive);
        app.works.with_shard(&work.step, |map| {
            if map
                .get(&work.step)
                .is_some_and(|held| Arc::ptr_eq(held, &work))
            {
                map.remove(&work.step);
            }
        });
    });
}

/// Gathers what earlier steps have left over of this step's samples. The steps of one route are run
/// by one instance, so it is here.
fn gather(app: &App, work: &OwnedStep) {
    let single = work.route(app).is_none_or(|route| route.single_version);
    if single {
        return;
    }
    let samples = work.spec.samples.iter();
    let samples: Vec<_> = samples.map(|sample| work.print(sample)).collect();
    let mut drafts = Vec::new();
    app.works.for_each_shard(|map| {
        for other in map.values() {
            drafts.extend(other.hand(&work.head.model, &samples));
        }
    });
    let found = drafts.len();
    let taken = work.take_drafts(drafts);
    if found > 0 {
        log::info!(target: "owner", id = &*work.step, found, taken; "left-over samples taken up");
    }
}
