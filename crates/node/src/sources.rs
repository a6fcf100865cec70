//! Whom an instance follows for the configuration and the list of upstreams.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::App;
use crate::member::Member;

/// Whom an instance follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    /// Whom it asks first; [`None`] when it reads the platform itself.
    pub main: Option<SocketAddr>,
    /// Whom it asks then; without one it reads the platform itself.
    pub spare: Option<SocketAddr>,
    /// Whether the first one follows somebody else.
    pub far: bool,
}

/// What the order of instances follows from. The strongest comes first: whoever reads for all has the whole
/// list to read, page by page.
pub fn order(one: &Member) -> (Reverse<u32>, Arc<str>, Arc<str>) {
    let name = one.owner.instance.clone();
    (Reverse(one.power), one.domain.clone(), name)
}

/// Whom this instance follows.
pub fn sources(app: &App) -> Sources {
    let members = app.members.lock();
    pick(&members, &app.me.instance, &app.settings.domain)
}

/// Whom an instance follows, by processor and then by name. The first one of all reads the platform. The first one of each other
/// failure domain follows it. The second one of a domain follows the first one there, and the rest
/// follow both.
///
/// # Examples
///
/// ```
/// use node::member::Member;
/// use node::sources::pick;
///
/// let member = |name: &str, domain: &str, port| Member {
///     owner: batch::Owner { instance: name.into(), start: 1 },
///     domain: domain.into(),
///     addr: ([127, 0, 0, 1], port).into(),
///     reads: true,
///     power: 50,
/// };
/// let members = [
///     member("n1", "nord", 1),
///     member("s1", "syd", 2),
///     member("s2", "syd", 3),
///     member("s3", "syd", 4),
/// ];
/// let addr = |port| Some(([127, 0, 0, 1], port).into());
/// let sources = |name, domain| {
///     let sources = pick(&members, name, domain);
///     (sources.main, sources.spare, sources.far)
/// };
/// assert_eq!(sources("n1", "nord"), (None, None, false));
/// assert_eq!(sources("s1", "syd"), (addr(1), None, false));
/// assert_eq!(sources("s2", "syd"), (addr(2), None, true));
/// assert_eq!(sources("s3", "syd"), (addr(2), addr(3), true));
/// ```
pub fn pick(members: &[Member], me: &str, domain: &str) -> Sources {
    let mut readers: Vec<_> = members.iter().filter(|one| one.reads).collect();
    readers.sort_by_key(|one| order(one));
    let Some(first) = readers.first() else {
        return Sources::default();
    };
    let mut near = readers.iter().filter(|one| *one.domain == *domain);
    let (head, deputy) = (near.next(), near.next());
    let is_me = |one: &&&Member| *one.owner.instance == *me;
    let Some(head) = head else {
        // Nobody else of this domain is known: it follows the first one of all.
        return Sources {
            main: Some(first.addr),
            ..Sources::default()
        };
    };
    if is_me(&head) {
        let main = (first.addr != head.addr).then_some(first.addr);
        return Sources {
            main,
            ..Sources::default()
        };
    }
    Sources {
        main: Some(head.addr),
        spare: deputy.filter(|one| !is_me(one)).map(|one| one.addr),
        far: head.addr != first.addr,
    }
}
