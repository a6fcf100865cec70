//! Which instance takes a step that was submitted here.
//!
//! Load pattern: a trainer's steps come every few seconds and overlap, each at another instance. An
//! owner that runs one step alone knows neither which slots the others of its model take nor how fast
//! the engines are, and opens new connections to all of them. So the steps of one route go to one
//! instance of the failure domain, the same in the eyes of all: one of those with the most processor.
//! When it does not answer, whoever was asked takes the step itself; the write that accepts a step
//! succeeds once, whoever makes it.

use std::sync::Arc;

use kernel::Millis;
use kernel::rank;

use crate::App;
use crate::member::Member;
use crate::peer;
use crate::steps::accept::Accepted;
use crate::steps::accept::Submission;

/// Part of the most processor that an instance has to have to take steps of others.
const STRONG: f64 = 0.9;

/// Time for which an instance that did not answer gets no steps from here, in milliseconds: until
/// then its entry has lapsed, or it is back.
const SHUN: Millis = 4_000;

/// The instance that takes the steps of a route, in a failure domain.
///
/// # Examples
///
/// ```
/// use node::hand::taker;
/// use node::member::Member;
///
/// let member = |name: &str, domain: &str, power| Member {
///     owner: batch::Owner { instance: name.into(), start: 1 },
///     domain: domain.into(),
///     addr: ([127, 0, 0, 1], 7720).into(),
///     reads: true,
///     power,
/// };
/// let members = [member("a", "nord", 12), member("b", "nord", 50), member("c", "syd", 50)];
/// assert_eq!(taker(&members, "nord", "steps").map(|one| &*one.owner.instance), Some("b"));
/// assert_eq!(taker(&members, "vest", "steps"), None);
/// ```
pub fn taker<'a>(members: &'a [Member], domain: &str, route: &str) -> Option<&'a Member> {
    let near = || {
        let all = members.iter();
        all.filter(|one| one.reads && *one.domain == *domain)
    };
    let most = near().map(|one| one.power).max()?;
    let strong = |one: &&Member| f64::from(one.power) >= f64::from(most) * STRONG;
    near()
        .filter(strong)
        .max_by_key(|one| rank(&one.owner.instance, route))
}

/// Hands a step to the instance that takes its route's steps; [`None`] when it is to be taken here.
pub async fn over(app: &Arc<App>, submission: &Submission) -> Option<Accepted> {
    let member = {
        let plan = app.plan.load();
        let route = plan
            .as_ref()
            .and_then(|plan| plan.find(&submission.host, &submission.path))?;
        let members = app.members.lock();
        taker(&members, &app.settings.domain, &route.name)?.clone()
    };
    let name = &member.owner.instance;
    if *name == app.me.instance || app.clock.now() < app.shunned(name) {
        return None;
    }
    let accepted = peer::submit(app, member.addr, submission).await;
    if accepted.is_none() {
        log::info!(target: "steps", id = &*submission.id, instance = &**name;
            "step not handed over");
        app.shun(name, app.clock.now() + SHUN);
    }
    accepted
}
