//! Selects the instance that runs a step submitted here.
//!
//! Load pattern: a trainer's steps arrive every few seconds and overlap, each at another instance. An owner that
//! runs a single step knows neither which slots the other steps of its model take nor how fast the engines are, and
//! opens new connections to all of them. So the steps of one route go to one instance of the failure domain, one of
//! those with the most CPU, ranked alike by all instances. When that one runs as many steps as it can, the next one
//! in rank is asked. When one does not reply, or all decline, the instance that received the step runs it, however
//! little CPU it has. The write that accepts a step succeeds once, whichever instance makes it.

use std::cmp::Reverse;
use std::sync::Arc;

use bytes::Buf;
use kernel::Millis;
use kernel::rendezvous_rank;

use crate::App;
use crate::peer;
use crate::peer::SubmitOutcome;
use crate::steps::accept::AcceptOutcome;
use crate::steps::accept::Submission;
use spread::Member;

/// Fraction of the largest CPU share in the domain that an instance needs to run steps of others.
const MIN_CORES_RATIO: f64 = 0.9;

/// Time for which no steps are handed over to an instance that declined or did not reply, in milliseconds: long
/// enough for its entry to expire or for the instance to recover.
const AVOID_TIME: Millis = 4_000;

/// Instances that are asked in turn: each is sent the complete step, and one that declines replies at once.
const MAX_CANDIDATES: usize = 3;

/// Length of the longest step that is handed over, in bytes: it is copied for it, and what the other instance has for
/// messages is a small part of its memory.
const MAX_HANDOVER_BYTES: usize = 1 << 20;

/// Number of copies of a step while it is handed over.
const HANDOVER_COPIES: usize = 2;

/// Returns the instances of a failure domain that run the steps of a route, in order of preference.
///
/// # Examples
///
/// ```
/// use node::handover::preferred_owners;
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
/// assert!(node::handover::preferred_owners(&members, "vest", "steps").is_empty());
/// ```
pub fn preferred_owners<'a>(members: &'a [Member], domain: &str, route: &str) -> Vec<&'a Member> {
    let in_domain = || {
        let all = members.iter();
        all.filter(|member| member.is_reader && *member.domain == *domain)
    };
    let max_centicores = in_domain()
        .map(|member| member.centicores)
        .max()
        .unwrap_or(0);
    let has_cpu = |member: &&Member| {
        f64::from(member.centicores) >= f64::from(max_centicores) * MIN_CORES_RATIO
    };
    let mut owners: Vec<_> = in_domain().filter(has_cpu).collect();
    owners.sort_by_key(|member| Reverse(rendezvous_rank(&member.owner.instance, route)));
    owners
}

/// The outcome of handing a step over.
pub enum HandoverOutcome {
    /// Another instance has replied whether the step is accepted.
    Answered(AcceptOutcome),
    /// The step is to be accepted here.
    Local,
    /// The step is to be accepted here, but another instance that did not reply may have accepted it.
    Unclear,
}

/// Hands a step over to the instance preferred for its route.
pub async fn hand_over(app: &Arc<App>, submission: &Submission) -> HandoverOutcome {
    let length = submission.body.remaining();
    if length > MAX_HANDOVER_BYTES {
        return HandoverOutcome::Local;
    }
    let Some(_copies) = app.uploads.reserve(length * HANDOVER_COPIES) else {
        return HandoverOutcome::Local;
    };
    for member in candidates(app, submission) {
        let name = &member.owner.instance;
        if *name == app.me.instance {
            return HandoverOutcome::Local;
        }
        let result = peer::submit(app, member.addr, submission).await;
        let outcome = match result {
            SubmitOutcome::Answered(accepted) => return HandoverOutcome::Answered(accepted),
            SubmitOutcome::Declined => "declined",
            SubmitOutcome::NoReply => "silent",
        };
        log::info!(target: "steps", id = &*submission.id, instance = &**name, outcome;
            "step not handed over");
        app.avoid(name, app.clock.now() + AVOID_TIME);
        if matches!(result, SubmitOutcome::NoReply) {
            // The trainer has waited for a second already.
            return HandoverOutcome::Unclear;
        }
    }
    HandoverOutcome::Local
}

/// Returns the instances to ask, without those that recently declined a step or did not reply.
fn candidates(app: &App, submission: &Submission) -> Vec<Member> {
    let config = app.config.load();
    let route = config
        .as_ref()
        .and_then(|config| config.find_route(&submission.host, &submission.path));
    let Some(route) = route else {
        return Vec::new();
    };
    let members = app.members.lock();
    let owners = preferred_owners(&members, &app.settings.domain, &route.name);
    let now = app.clock.now();
    let available = owners
        .into_iter()
        .filter(|member| now >= app.avoided_until(&member.owner.instance));
    available.take(MAX_CANDIDATES).cloned().collect()
}
