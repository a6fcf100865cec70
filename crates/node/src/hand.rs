//! Which instance takes a step that was submitted here.
//!
//! Load pattern: a trainer's steps come every few seconds and overlap, each at another instance. An
//! owner that runs one step alone knows neither which slots the others of its model take nor how fast
//! the engines are, and opens new connections to all of them. So the steps of one route go to one
//! instance of the failure domain, the same in the eyes of all: one of those with the most processor.
//! When it runs as many steps as it can, the next one of them is asked, in an order that is the same in the
//! eyes of all; when one does not answer, or all decline, whoever was asked takes the step itself, however
//! little processor it has. The write that accepts a step succeeds once, whoever makes it.

use std::cmp::Reverse;
use std::sync::Arc;

use kernel::Millis;
use kernel::rendezvous_rank;

use crate::App;
use crate::peer;
use crate::peer::SubmitOutcome;
use crate::steps::accept::AcceptOutcome;
use crate::steps::accept::Submission;
use spread::Member;

/// Part of the most processor that an instance has to have to take steps of others.
const MIN_CORES_RATIO: f64 = 0.9;

/// Time for which an instance that did not answer gets no steps from here, in milliseconds: until
/// then its entry has lapsed, or it is back.
const AVOID_TIME: Millis = 4_000;

/// Instances that are asked in turn: each is sent the whole step, and one that declines answers at once.
const MAX_CANDIDATES: usize = 3;

/// The instances that take the steps of a route, in a failure domain, the first one first.
///
/// # Examples
///
/// ```
/// use node::hand::preferred_owners;
/// use spread::Member;
///
/// let member = |name: &str, domain: &str, centicores| Member {
///     owner: batch::Owner { instance: name.into(), start: 1 },
///     domain: domain.into(),
///     addr: ([127, 0, 0, 1], 7720).into(),
///     is_reader: true,
///     centicores,
/// };
/// let members = [member("a", "nord", 12), member("b", "nord", 50), member("c", "syd", 50)];
/// let owners = preferred_owners(&members, "nord", "steps");
/// assert_eq!(owners.len(), 1);
/// assert_eq!(&*owners[0].owner.instance, "b");
/// assert!(node::hand::preferred_owners(&members, "vest", "steps").is_empty());
/// ```
pub fn preferred_owners<'a>(members: &'a [Member], domain: &str, route: &str) -> Vec<&'a Member> {
    let near = || {
        let all = members.iter();
        all.filter(|one| one.is_reader && *one.domain == *domain)
    };
    let most = near().map(|one| one.centicores).max().unwrap_or(0);
    let strong = |one: &&Member| f64::from(one.centicores) >= f64::from(most) * MIN_CORES_RATIO;
    let mut takers: Vec<_> = near().filter(strong).collect();
    takers.sort_by_key(|one| Reverse(rendezvous_rank(&one.owner.instance, route)));
    takers
}

/// What came of handing a step over.
pub enum HandoverOutcome {
    /// Another instance has answered for it.
    Answered(AcceptOutcome),
    /// It is to be taken here.
    Local,
    /// It is to be taken here, and another instance that was asked and did not answer may have taken it.
    Unclear,
}

/// Hands a step to an instance that takes its route's steps.
pub async fn hand_over(app: &Arc<App>, submission: &Submission) -> HandoverOutcome {
    for member in candidates(app, submission) {
        let name = &member.owner.instance;
        if *name == app.me.instance {
            return HandoverOutcome::Local;
        }
        let handed = peer::submit(app, member.addr, submission).await;
        let outcome = match handed {
            SubmitOutcome::Answered(accepted) => return HandoverOutcome::Answered(accepted),
            SubmitOutcome::Declined => "declined",
            SubmitOutcome::NoReply => "silent",
        };
        log::info!(target: "steps", id = &*submission.id, instance = &**name, outcome;
            "step not handed over");
        app.avoid(name, app.clock.now() + AVOID_TIME);
        if matches!(handed, SubmitOutcome::NoReply) {
            // The trainer has waited a second already.
            return HandoverOutcome::Unclear;
        }
    }
    HandoverOutcome::Local
}

/// The instances to ask, but for those that did not take a step a moment ago.
fn candidates(app: &App, submission: &Submission) -> Vec<Member> {
    let plan = app.config.load();
    let route = plan
        .as_ref()
        .and_then(|plan| plan.find_route(&submission.host, &submission.path));
    let Some(route) = route else {
        return Vec::new();
    };
    let members = app.members.lock();
    let takers = preferred_owners(&members, &app.settings.domain, &route.name);
    let now = app.clock.now();
    let open = takers
        .into_iter()
        .filter(|one| now >= app.avoided_until(&one.owner.instance));
    open.take(MAX_CANDIDATES).cloned().collect()
}
