//! One instance's view of the members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kernel::Map;
use kernel::Millis;
use kernel::Name;
use poison::Observations;

use crate::Member;
use crate::MemberState;
use crate::Rumour;
use crate::rumour::Audience;
use crate::rumour::Broadcast;
use crate::rumour::Demand;
use crate::rumour::Scope;

/// Interval between probes of an instance.
pub const PROBE_INTERVAL: Millis = 1_000;

/// Time that a suspected instance has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Millis = 5_000;

/// Time after which a dead instance is removed from the view.
pub const DEAD_RETENTION: Millis = 60_000;

/// Maximum number of peers that are asked to probe an instance that did not answer.
pub const MAX_HELPERS: usize = 2;

/// Number of probe intervals between probes of another failure domain, which only the reader of a domain sends.
const INTERVALS_PER_REMOTE_PROBE: u64 = 3;

/// Age from which on a demand report is ignored.
const MAX_DEMAND_AGE: Millis = 30_000;

/// An instance to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its address.
    pub addr: SocketAddr,
}

impl Probe {
    /// Makes a probe of a member.
    pub fn of(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            domain: member.domain.clone(),
            addr: member.addr,
        }
    }
}

/// What to do after a failed probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// Ask these peers to probe it, then call [`View::probe_failed`] again if none reached it.
    AskHelpers(Vec<Probe>),
    /// The instance is now suspected.
    Suspected,
    /// The instance is unknown or no longer alive in this view; there is nothing to do.
    NotAlive,
}

#[derive(Debug)]
struct KnownMember {
    member: Member,
    since: Millis,
}

#[derive(Debug)]
struct PeerDemand {
    sequence: u64,
    at: Millis,
    rates: Vec<Demand>,
}

/// One instance's view of the members.
///
/// # Examples
///
/// ```
/// use fleet::{MemberState, Member, View};
///
/// let member = |name: &str| Member {
///     name: name.parse().expect("a name"),
///     domain: "nord".parse().expect("a name"),
///     addr: "127.0.0.1:1".parse().expect("an address"),
///     incarnation: 1,
///     state: MemberState::Alive,
/// };
/// let mut view = View::new(member("nord-1"), 0);
/// view.add_member(member("nord-2"), 0);
/// assert_eq!(view.live().count(), 2);
/// assert!(view.is_reader());
/// ```
#[derive(Debug)]
pub struct View {
    me: Member,
    others: BTreeMap<Name, KnownMember>,
    broadcast: Broadcast,
    interval_count: u64,
    demands: Map<Name, PeerDemand>,
    upstreams: Map<Name, (bool, u64)>,
    /// For each engine, the time of its newest known state.
    engines: Map<Name, u64>,
    /// For each instance, the time of its newest crash report.
    crash_reports: Map<Name, u64>,
}

impl View {
    /// Makes the view of an instance that knows no others.
    pub fn new(me: Member, _now: Millis) -> Self {
        let mut broadcast = Broadcast::default();
        broadcast.add(Rumour::Member(me.clone()));
        Self {
            me,
            others: BTreeMap::new(),
            broadcast,
            interval_count: 0,
            demands: Map::default(),
            upstreams: Map::default(),
            engines: Map::default(),
            crash_reports: Map::default(),
        }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Adds an instance from the settings or the platform's list if it is not known.
    pub fn add_member(&mut self, member: Member, now: Millis) {
        if member.name == self.me.name || self.others.contains_key(&member.name) {
            return;
        }
        let name = member.name.clone();
        let since = now;
        self.others.insert(name, KnownMember { member, since });
    }

    /// This instance and the other live ones, including suspects.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values().map(|known| &known.member);
        std::iter::once(&self.me)
            .chain(others)
            .filter(|member| member.state.is_live())
    }

    /// All known instances, including dead ones.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|known| &known.member))
    }

    /// Number of instances that a limit is split over: all but those that left. An instance that does not answer may
    /// be cut off and still serve, so it counts until it is removed.
    pub fn limit_shares(&self) -> usize {
        self.all().filter(|m| m.state != MemberState::Left).count()
    }

    /// The live instances of this instance's failure domain.
    pub fn same_domain(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| member.domain == self.me.domain)
    }

    /// Returns whether this instance reads the platform for its failure domain, which the alive instance with the
    /// lowest name does. While views differ, two instances may read, or none for a moment; the only cost is an extra
    /// call or a delay.
    pub fn is_reader(&self) -> bool {
        let alive = self
            .same_domain()
            .filter(|member| member.state == MemberState::Alive);
        alive.map(|member| &member.name).min() == Some(&self.me.name)
    }

    /// Begins a probe interval: expires suspicions and returns one or two instances to probe.
    pub fn tick(&mut self, now: Millis) -> Vec<Probe> {
        self.interval_count += 1;
        self.expire_suspects(now);
        let mut probes: Vec<_> = self.next_probe(true).into_iter().collect();
        if self
            .interval_count
            .is_multiple_of(INTERVALS_PER_REMOTE_PROBE)
            && self.is_reader()
        {
            probes.extend(self.next_probe(false));
        }
        probes
    }

    /// The next instance to probe, in this failure domain or in another.
    fn next_probe(&self, same_domain: bool) -> Option<Probe> {
        let candidates: Vec<_> = self
            .others
            .values()
            .map(|known| &known.member)
            .filter(|member| (member.domain == self.me.domain) == same_domain)
            .filter(|member| member.state.is_live())
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let interval_count = if same_domain {
            self.interval_count
        } else {
            self.interval_count / INTERVALS_PER_REMOTE_PROBE
        };
        // Each instance starts at a different offset, which distributes the probes.
        let start = self
            .others
            .keys()
            .filter(|name| **name < self.me.name)
            .count() as u64;
        let at = (interval_count + start) % candidates.len() as u64;
        Some(Probe::of(candidates[at as usize]))
    }

    fn expire_suspects(&mut self, now: Millis) {
        let mut dead = Vec::new();
        for known in self.others.values_mut() {
            let timed_out = now >= known.since + SUSPICION_TIMEOUT;
            if known.member.state == MemberState::Suspect && timed_out {
                known.member.state = MemberState::Dead;
                known.since = now;
                dead.push(known.member.clone());
            }
        }
        for member in dead {
            self.demands.remove(&member.name);
            self.broadcast.add(Rumour::Member(member));
        }
        self.others
            .retain(|_, known| known.member.state.is_live() || now < known.since + DEAD_RETENTION);
    }

    /// Records that a probed instance answered.
    pub fn probe_answered(&mut self, member: &Member, now: Millis) {
        self.receive(Rumour::Member(member.clone()), now);
    }

    /// Records that an instance did not answer; `helpers_asked` is whether
    /// other instances were also asked to probe it.
    pub fn probe_failed(&mut self, name: &str, helpers_asked: bool, now: Millis) -> ProbeFailure {
        let Some(known) = self.others.get(name) else {
            return ProbeFailure::NotAlive;
        };
        if known.member.state != MemberState::Alive {
            return ProbeFailure::NotAlive;
        }
        let helpers: Vec<_> = self
            .same_domain()
            .filter(|m| m.state == MemberState::Alive && m.name != self.me.name && &*m.name != name)
            .take(MAX_HELPERS)
            .map(Probe::of)
            .collect();
        if !helpers_asked && !helpers.is_empty() {
            return ProbeFailure::AskHelpers(helpers);
        }
        self.suspect(name, now)
    }

    fn suspect(&mut self, name: &str, now: Millis) -> ProbeFailure {
        let Some(known) = self.others.get_mut(name) else {
            return ProbeFailure::NotAlive;
        };
        known.member.state = MemberState::Suspect;
        known.since = now;
        self.broadcast.add(Rumour::Member(known.member.clone()));
        ProbeFailure::Suspected
    }

    /// The rumours for the next message to an instance of a failure domain.
    pub fn outgoing(&mut self, domain: &Name) -> Vec<Rumour> {
        let scope = match *domain == self.me.domain {
            true => Scope::Local,
            false => Scope::Remote,
        };
        let is_remote = |member: &Member| member.domain != self.me.domain;
        let audience = Audience {
            instances: self.others.len() + 1,
            local: self.same_domain().any(|member| member.name != self.me.name),
            // Instances that are not the reader probe no other domain and would keep these rumours forever.
            remote: self.is_reader() && self.live().any(is_remote),
        };
        self.broadcast.batch(scope, audience)
    }

    /// Processes a rumour; returns whether it was new and will be passed on.
    pub fn receive(&mut self, rumour: Rumour, now: Millis) -> bool {
        let new = match &rumour {
            Rumour::Member(member) => return self.receive_member(member, now),
            Rumour::Upstream { name, leaving, at } => self.receive_upstream(name, *leaving, *at),
            Rumour::Engine { name, at, .. } => record_time(&mut self.engines, name, *at),
            Rumour::Crashes { from, at, .. } => record_time(&mut self.crash_reports, from, *at),
            Rumour::Demand {
                from,
                sequence,
                rates,
            } => self.receive_demand(from, *sequence, rates, now),
        };
        if new {
            self.broadcast.add(rumour);
        }
        new
    }

    fn receive_member(&mut self, rumour: &Member, now: Millis) -> bool {
        if rumour.name == self.me.name {
            return self.refute(rumour);
        }
        let known = self.others.get(&rumour.name);
        if known.is_some_and(|known| !known.member.is_superseded_by(rumour)) {
            return false;
        }
        // A dead instance that was removed is not added again.
        if known.is_none() && !rumour.state.is_live() {
            return false;
        }
        let member = rumour.clone();
        let since = now;
        self.others
            .insert(rumour.name.clone(), KnownMember { member, since });
        self.broadcast.add(Rumour::Member(rumour.clone()));
        true
    }

    /// Refutes a rumour about this instance with a higher incarnation.
    fn refute(&mut self, rumour: &Member) -> bool {
        let stale = rumour.incarnation < self.me.incarnation;
        if stale || (rumour.incarnation == self.me.incarnation && rumour.state == self.me.state) {
            return false;
        }
        self.me.incarnation = rumour.incarnation + 1;
        self.broadcast.add(Rumour::Member(self.me.clone()));
        true
    }

    fn receive_upstream(&mut self, name: &Name, leaving: bool, at: u64) -> bool {
        let known = self.upstreams.get(name);
        if known.is_some_and(|(_, before)| *before >= at) {
            return false;
        }
        self.upstreams.insert(name.clone(), (leaving, at));
        true
    }

    fn receive_demand(
        &mut self,
        from: &Name,
        sequence: u64,
        rates: &[Demand],
        now: Millis,
    ) -> bool {
        if *from == self.me.name {
            return false;
        }
        if self
            .demands
            .get(from)
            .is_some_and(|d| d.sequence >= sequence)
        {
            return false;
        }
        let rates = rates.to_vec();
        let at = now;
        self.demands.insert(
            from.clone(),
            PeerDemand {
                sequence,
                at,
                rates,
            },
        );
        true
    }

    /// Reports this instance's demand to its peers.
    pub fn report_demand(&mut self, sequence: u64, rates: Vec<Demand>) {
        let from = self.me.name.clone();
        self.broadcast.add(Rumour::Demand {
            from,
            sequence,
            rates,
        });
    }

    /// Reports the crashes that this instance has observed to its peers.
    pub fn report_crashes(&mut self, at: u64, report: Observations) {
        let from = self.me.name.clone();
        self.broadcast.add(Rumour::Crashes { from, at, report });
    }

    /// Demand of a customer as reported by other instances.
    pub fn peer_demands(&self, customer: &str, now: Millis) -> Vec<f64> {
        let rate = |demand: &PeerDemand| {
            let mine = |d: &&Demand| &*d.customer == customer;
            demand.rates.iter().find(mine).map(|d| d.rate)
        };
        self.demands
            .values()
            .filter(|demand| now < demand.at + MAX_DEMAND_AGE)
            .filter_map(rate)
            .collect()
    }

    /// Whether an upstream is leaving; [`None`] if no rumour has reported it.
    pub fn is_leaving(&self, upstream: &str) -> Option<bool> {
        self.upstreams.get(upstream).map(|(leaving, _)| *leaving)
    }

    /// Announces that this instance leaves, so that peers stop counting on it at once.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Left;
        self.broadcast.add(Rumour::Member(self.me.clone()));
    }
}

/// Records the time of an observation; returns whether it is newer than the last one.
fn record_time(known: &mut Map<Name, u64>, name: &Name, at: u64) -> bool {
    let known = known.entry(name.clone()).or_insert(0);
    let is_new = at > *known;
    *known = at.max(*known);
    is_new
}
