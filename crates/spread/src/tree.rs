//! Whom an instance follows.
//!
//! Load pattern: hundreds of instances in a failure domain. Where all followed the same two, each change was sent
//! hundreds of times over one link, and a start of all at once took longer than news may be late. In a tree an
//! instance tells a bounded number of others however large the domain is, and each level adds one hop.

use std::cmp::Ordering;
use std::net::SocketAddr;

use kernel::Map;
use kernel::rank;

use crate::Member;

/// Instances that follow one instance as their first source.
pub const DEGREE: usize = 8;

/// Instances that one which knows some of the others only asks in turn.
const SOME: usize = 4;

/// Instances of a failure domain, the strongest first, that read for themselves as soon as their source is silent.
pub const HEADS: usize = 2;

/// Where an instance stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreePosition {
    /// Whom it asks in turn: its parent first, the one beside it, on to the first ones of its failure domain, and those
    /// of the others. None when it reads the platform itself.
    pub sources: Vec<SocketAddr>,
    /// Instances between it and the first one of its failure domain, and one more when that one follows another.
    pub depth: u32,
    /// Whether it is among the first of its failure domain, on which all others there depend.
    pub is_head: bool,
    /// Whether it is known that nobody follows it as first source.
    pub is_leaf: bool,
    /// Whether it knows some of the others only.
    pub is_partial: bool,
}

/// The order of instances. The strongest comes first: whoever reads for all has the whole list to read, and the
/// next ones tell the most.
pub fn order(a: &Member, b: &Member) -> Ordering {
    let power = b.power.cmp(&a.power);
    let domain = power.then_with(|| a.domain.cmp(&b.domain));
    domain.then_with(|| a.owner.instance.cmp(&b.owner.instance))
}

/// Where an instance stands among those that have entered.
///
/// The first one of all reads the platform, and the first one of each other failure domain follows it. The others
/// of a domain form a tree below its first one. An instance whose parent is silent asks the next one beside it, and then
/// those above: who waits at one of these waits for nobody that waits for it. Whoever does not read for others, or
/// is not listed yet, hangs below any of them.
///
/// # Examples
///
/// ```
/// use spread::Member;
/// use spread::tree::position;
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
/// let addr = |port| ([127, 0, 0, 1], port).into();
/// let sources = |name, domain| {
///     let position = position(&members, name, domain);
///     (position.sources, position.depth)
/// };
/// assert_eq!(sources("n1", "nord"), (vec![], 0));
/// assert_eq!(sources("s1", "syd"), (vec![addr(1)], 0));
/// assert_eq!(sources("s2", "syd"), (vec![addr(2)], 1));
/// assert_eq!(sources("s3", "syd"), (vec![addr(2), addr(3), addr(1)], 1));
/// ```
pub fn position(members: &[Member], me: &str, domain: &str) -> TreePosition {
    let readers = || members.iter().filter(|one| one.reads);
    let Some(first) = readers().min_by(|a, b| order(a, b)) else {
        return TreePosition::default();
    };
    let near = readers().filter(|one| *one.domain == *domain);
    let mut near: Vec<&Member> = near.collect();
    near.sort_unstable_by(|a, b| order(a, b));
    let Some(head) = near.first() else {
        // Nobody else of this domain is known.
        return TreePosition {
            sources: vec![first.addr],
            ..TreePosition::default()
        };
    };
    let far = u32::from(head.addr != first.addr);
    let heads = || heads(readers(), domain);
    match near.iter().position(|one| *one.owner.instance == *me) {
        Some(0) => TreePosition {
            sources: if far == 1 {
                vec![first.addr]
            } else {
                Vec::new()
            },
            is_head: true,
            ..TreePosition::default()
        },
        Some(at) => {
            let parent = (at - 1) / DEGREE;
            below(&near, parent, at, far, heads())
        }
        None => {
            let parent = rank(me, domain) as usize % near.len();
            TreePosition {
                is_leaf: false,
                ..below(&near, parent, near.len(), far, heads())
            }
        }
    }
}

/// Where an instance stands that knows some of the others only. It follows any of those that come before it, so that
/// whoever starts together forms a tree before anybody knows all.
pub fn partial_position(some: &[Member], me: &Member) -> TreePosition {
    let before = |one: &&Member| one.reads && order(one, me) == Ordering::Less;
    let before: Vec<_> = some.iter().filter(before).collect();
    let any = |turn: usize| {
        let at = rank(&me.owner.instance, turn) as usize % before.len().max(1);
        before.get(at).map(|one| one.addr)
    };
    let mut sources: Vec<_> = (0..SOME).filter_map(any).collect();
    sources.dedup();
    TreePosition {
        sources,
        is_partial: true,
        ..TreePosition::default()
    }
}

/// The first ones of all failure domains but one.
fn heads<'a>(readers: impl Iterator<Item = &'a Member>, domain: &str) -> Vec<SocketAddr> {
    let mut heads: Map<&str, &Member> = Map::default();
    for one in readers.filter(|one| *one.domain != *domain) {
        let head = heads.entry(&*one.domain).or_insert(one);
        if order(one, head) == Ordering::Less {
            *head = one;
        }
    }
    let mut heads: Vec<_> = heads.into_values().collect();
    heads.sort_unstable_by(|a, b| order(a, b));
    heads.into_iter().map(|one| one.addr).collect()
}

/// The place of the instance at position `at` that follows the one at `parent`. When all above it are gone, the
/// first ones of other failure domains, `heads`, are left.
fn below(
    near: &[&Member],
    parent: usize,
    at: usize,
    far: u32,
    heads: Vec<SocketAddr>,
) -> TreePosition {
    let mut sources = Vec::new();
    let mut above = parent;
    loop {
        // The one beside comes after it in the order, and so never hears from the instance itself.
        for place in [above, above + 1] {
            let source = near.get(place).filter(|_| place < at);
            let source = source.map(|one| one.addr);
            sources.extend(source.filter(|addr| !sources.contains(addr)));
        }
        if above == 0 {
            break;
        }
        above = (above - 1) / DEGREE;
    }
    if at >= HEADS {
        sources.extend(heads);
    }
    TreePosition {
        sources,
        depth: depth(parent) + far,
        is_head: at < HEADS,
        is_leaf: at * DEGREE + 1 >= near.len(),
        is_partial: false,
    }
}

/// Levels of the tree between the first one and the children of `parent`.
fn depth(mut parent: usize) -> u32 {
    let mut depth = 0;
    while parent > 0 {
        parent = (parent - 1) / DEGREE;
        depth += 1;
    }
    depth
}
