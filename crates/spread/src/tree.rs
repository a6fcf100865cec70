//! The distribution tree: which instance follows which.
//!
//! Load pattern: a failure domain has hundreds of instances. When all followed the same two, each change was sent
//! hundreds of times over one link, and a simultaneous start of all instances took longer than updates may be late. In
//! a tree each instance serves a bounded number of followers however large the domain is, and each level adds one hop.

use std::cmp::Ordering;
use std::net::SocketAddr;

use kernel::Map;
use kernel::rendezvous_rank;

use crate::Member;

/// Maximum number of followers of an instance within its failure domain, counting those that have it as first source.
pub const DEGREE: usize = 8;

/// Sources of an instance that knows only some of the members.
const PARTIAL_SOURCES: usize = 4;

/// Number of heads of a failure domain: its first instances, in the order of [`order`], which read the platform as
/// soon as their source does not reply.
pub const HEADS_PER_DOMAIN: usize = 2;

/// Position of an instance in the distribution tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreePosition {
    /// Sources that it polls in turn: its parent, the instance beside the parent, the same on each level up to the
    /// first instance of its failure domain, and the first instances of the other domains. Empty if it reads the
    /// platform itself.
    pub sources: Vec<SocketAddr>,
    /// Number of instances between it and the first instance of its failure domain, plus one if that one follows
    /// another.
    pub depth: u32,
    /// Whether it is a head of its failure domain, on which all other instances there depend.
    pub is_head: bool,
    /// Whether it is known to be the first source of no instance.
    pub is_leaf: bool,
    /// Whether it knows only some of the members.
    pub is_partial: bool,
}

/// Orders instances by CPU, highest first: the first instance reads the whole list for all, and the next ones serve
/// the most followers.
pub fn order(a: &Member, b: &Member) -> Ordering {
    let power = b.centicores.cmp(&a.centicores);
    let domain = power.then_with(|| a.domain.cmp(&b.domain));
    domain.then_with(|| a.owner.instance.cmp(&b.owner.instance))
}

/// Returns the position of an instance among the members.
///
/// The first instance of all reads the platform, and the first one of each other failure domain follows it. The other
/// instances of a domain form a tree below its first one. An instance whose parent does not reply polls the one beside
/// the parent, and then those above. All of these come earlier in the order, so instances never wait for each other in
/// a cycle. An instance that does not read for others, or is not listed yet, follows an arbitrary one.
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
///     is_reader: true,
///     centicores: 50,
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
    let readers = || members.iter().filter(|member| member.is_reader);
    let Some(first) = readers().min_by(|a, b| order(a, b)) else {
        return TreePosition::default();
    };
    let same_domain = readers().filter(|member| *member.domain == *domain);
    let mut same_domain: Vec<&Member> = same_domain.collect();
    same_domain.sort_unstable_by(|a, b| order(a, b));
    let Some(head) = same_domain.first() else {
        // No other instance of this domain is known.
        return TreePosition {
            sources: vec![first.addr],
            ..TreePosition::default()
        };
    };
    let extra_hop = u32::from(head.addr != first.addr);
    let heads = || domain_heads(readers(), domain);
    match same_domain
        .iter()
        .position(|member| *member.owner.instance == *me)
    {
        Some(0) => TreePosition {
            sources: if extra_hop == 1 {
                vec![first.addr]
            } else {
                Vec::new()
            },
            is_head: true,
            ..TreePosition::default()
        },
        Some(at) => {
            let parent = (at - 1) / DEGREE;
            child_position(&same_domain, parent, at, extra_hop, heads())
        }
        None => {
            let parent = rendezvous_rank(me, domain) as usize % same_domain.len();
            TreePosition {
                is_leaf: false,
                ..child_position(&same_domain, parent, same_domain.len(), extra_hop, heads())
            }
        }
    }
}

/// Returns the position of an instance that knows only some of the members. It follows any of those that precede it in
/// the order, so that instances that start together form a tree before any of them knows all members.
pub fn partial_position(some: &[Member], me: &Member) -> TreePosition {
    let before = |member: &&Member| member.is_reader && order(member, me) == Ordering::Less;
    let before: Vec<_> = some.iter().filter(before).collect();
    let pick = |turn: usize| {
        let at = rendezvous_rank(&me.owner.instance, turn) as usize % before.len().max(1);
        before.get(at).map(|member| member.addr)
    };
    let mut sources: Vec<_> = (0..PARTIAL_SOURCES).filter_map(pick).collect();
    sources.dedup();
    TreePosition {
        sources,
        is_partial: true,
        ..TreePosition::default()
    }
}

/// Addresses of the first instances of all failure domains but one.
fn domain_heads<'a>(readers: impl Iterator<Item = &'a Member>, domain: &str) -> Vec<SocketAddr> {
    let mut heads: Map<&str, &Member> = Map::default();
    for member in readers.filter(|member| *member.domain != *domain) {
        let head = heads.entry(&*member.domain).or_insert(member);
        if order(member, head) == Ordering::Less {
            *head = member;
        }
    }
    let mut heads: Vec<_> = heads.into_values().collect();
    heads.sort_unstable_by(|a, b| order(a, b));
    heads.into_iter().map(|member| member.addr).collect()
}

/// Position of the instance at index `at` that follows the one at index `parent`. If all instances above it are dead,
/// the first instances of the other failure domains, `heads`, remain.
fn child_position(
    same_domain: &[&Member],
    parent: usize,
    at: usize,
    extra_hop: u32,
    heads: Vec<SocketAddr>,
) -> TreePosition {
    let mut sources = Vec::new();
    let mut ancestor = parent;
    loop {
        // Only instances that precede this one are its sources, so none of them waits for this one.
        for index in [ancestor, ancestor + 1] {
            let source = same_domain.get(index).filter(|_| index < at);
            let source = source.map(|member| member.addr);
            sources.extend(source.filter(|addr| !sources.contains(addr)));
        }
        if ancestor == 0 {
            break;
        }
        ancestor = (ancestor - 1) / DEGREE;
    }
    if at >= HEADS_PER_DOMAIN {
        sources.extend(heads);
    }
    TreePosition {
        sources,
        depth: depth(parent) + extra_hop,
        is_head: at < HEADS_PER_DOMAIN,
        is_leaf: at * DEGREE + 1 >= same_domain.len(),
        is_partial: false,
    }
}

/// Number of levels between the first instance and the children of `parent`.
fn depth(mut parent: usize) -> u32 {
    let mut depth = 0;
    while parent > 0 {
        parent = (parent - 1) / DEGREE;
        depth += 1;
    }
    depth
}
