//! One instance's picture of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kernel::Map;
use kernel::Millis;
use kernel::Name;
use poison::Seen;

use crate::Member;
use crate::MemberState;
use crate::Rumour;
use crate::rumour::Broadcast;
use crate::rumour::Demand;
use crate::rumour::Due;
use crate::rumour::Way;

/// Time between two probes of an instance.
pub const PROBE_INTERVAL: Millis = 1_000;

/// Time that a suspected instance has to contradict.
pub const SUSPICION: Millis = 5_000;

/// Time after which an instance that is gone is forgotten.
pub const FORGET: Millis = 60_000;

/// Peers that are asked to probe an instance that did not answer.
pub const HELPERS: usize = 2;

/// Periods between two probes of another failure domain by the instance that reads for its own.
const FAR_TURNS: u64 = 3;

/// Time after which a demand report counts no more.
const DEMAND_AGE: Millis = 30_000;

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
    /// A probe of a member.
    pub fn of(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            domain: member.domain.clone(),
            addr: member.addr,
        }
    }
}

/// What a silent probe calls for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// Ask these peers to probe it, then call [`View::silent`] again if none reached it.
    AskHelpers(Vec<Probe>),
    /// It is a suspect now.
    Suspected,
    /// It is not a member any more.
    NotAlive,
}

#[derive(Debug)]
struct Known {
    member: Member,
    since: Millis,
}

#[derive(Debug)]
struct Wanted {
    turn: u64,
    at: Millis,
    rates: Vec<Demand>,
}

/// One instance's picture of the fleet.
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
    others: BTreeMap<Name, Known>,
    broadcast: Broadcast,
    turn: u64,
    demands: Map<Name, Wanted>,
    upstreams: Map<Name, (bool, u64)>,
    /// When the newest that is known of each engine was seen.
    engines: Map<Name, u64>,
    /// When the newest report of crashes of each instance was made.
    reports: Map<Name, u64>,
}

impl View {
    /// Makes the view of an instance that knows nobody.
    pub fn new(me: Member, _now: Millis) -> Self {
        let mut broadcast = Broadcast::default();
        broadcast.add(Rumour::Member(me.clone()));
        Self {
            me,
            others: BTreeMap::new(),
            broadcast,
            turn: 0,
            demands: Map::default(),
            upstreams: Map::default(),
            engines: Map::default(),
            reports: Map::default(),
        }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Adds an instance that the settings or the platform's list name, if it is not known.
    pub fn add_member(&mut self, member: Member, now: Millis) {
        if member.name == self.me.name || self.others.contains_key(&member.name) {
            return;
        }
        let name = member.name.clone();
        let since = now;
        self.others.insert(name, Known { member, since });
    }

    /// This instance and those thought to be there, suspects among them.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values().map(|known| &known.member);
        std::iter::once(&self.me)
            .chain(others)
            .filter(|member| member.state.is_live())
    }

    /// Everyone who is known, those gone among them.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|known| &known.member))
    }

    /// Instances that a limit is split over: all but those that said goodbye. One that fell silent
    /// may be cut off and go on serving, so it counts until it is forgotten.
    pub fn limit_shares(&self) -> usize {
        self.all().filter(|m| m.state != MemberState::Left).count()
    }

    /// The live instances of this instance's failure domain.
    pub fn same_domain(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| member.domain == self.me.domain)
    }

    /// Tells whether this instance reads the platform for its failure domain: the live one with
    /// the first name does. When views differ two may read, or for a moment none, which costs a
    /// call or some time and nothing else.
    pub fn is_reader(&self) -> bool {
        let alive = self
            .same_domain()
            .filter(|member| member.state == MemberState::Alive);
        alive.map(|member| &member.name).min() == Some(&self.me.name)
    }

    /// Begins a period: suspicions run out, and one or two instances are to be probed.
    pub fn tick(&mut self, now: Millis) -> Vec<Probe> {
        self.turn += 1;
        self.expire(now);
        let mut probes: Vec<_> = self.rotate(true).into_iter().collect();
        if self.turn.is_multiple_of(FAR_TURNS) && self.is_reader() {
            probes.extend(self.rotate(false));
        }
        probes
    }

    /// The next instance in turn, in this failure domain or in another.
    fn rotate(&self, near: bool) -> Option<Probe> {
        let wanted: Vec<_> = self
            .others
            .values()
            .map(|known| &known.member)
            .filter(|member| (member.domain == self.me.domain) == near)
            .filter(|member| member.state.is_live())
            .collect();
        if wanted.is_empty() {
            return None;
        }
        let turn = if near {
            self.turn
        } else {
            self.turn / FAR_TURNS
        };
        // Each instance starts at another place, so that probes spread over all.
        let start = self
            .others
            .keys()
            .filter(|name| **name < self.me.name)
            .count() as u64;
        let at = (turn + start) % wanted.len() as u64;
        Some(Probe::of(wanted[at as usize]))
    }

    fn expire(&mut self, now: Millis) {
        let mut gone = Vec::new();
        for known in self.others.values_mut() {
            let over = now >= known.since + SUSPICION;
            if known.member.state == MemberState::Suspect && over {
                known.member.state = MemberState::Dead;
                known.since = now;
                gone.push(known.member.clone());
            }
        }
        for member in gone {
            self.demands.remove(&member.name);
            self.broadcast.add(Rumour::Member(member));
        }
        self.others
            .retain(|_, k| k.member.state.is_live() || now < k.since + FORGET);
    }

    /// Notes that a probed instance answered.
    pub fn probe_answered(&mut self, member: &Member, now: Millis) {
        self.receive(Rumour::Member(member.clone()), now);
    }

    /// Notes that an instance did not answer; `asked` says whether helpers have tried as well.
    pub fn probe_failed(&mut self, name: &str, asked: bool, now: Millis) -> ProbeFailure {
        let Some(known) = self.others.get(name) else {
            return ProbeFailure::NotAlive;
        };
        if known.member.state != MemberState::Alive {
            return ProbeFailure::NotAlive;
        }
        let helpers: Vec<_> = self
            .same_domain()
            .filter(|m| m.state == MemberState::Alive && m.name != self.me.name && &*m.name != name)
            .take(HELPERS)
            .map(Probe::of)
            .collect();
        if !asked && !helpers.is_empty() {
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

    /// The rumours to put into the next message to an instance of a failure domain.
    pub fn outgoing(&mut self, domain: &Name) -> Vec<Rumour> {
        let way = match *domain == self.me.domain {
            true => Way::Near,
            false => Way::Far,
        };
        let is_far = |member: &Member| member.domain != self.me.domain;
        let due = Due {
            instances: self.others.len() + 1,
            near: self.same_domain().any(|member| member.name != self.me.name),
            // Others probe no other domain, and would keep what nobody asks them for.
            far: self.is_reader() && self.live().any(is_far),
        };
        self.broadcast.batch(way, due)
    }

    /// Takes a rumour in; tells whether it was news, so that it is passed on.
    pub fn receive(&mut self, rumour: Rumour, now: Millis) -> bool {
        let new = match &rumour {
            Rumour::Member(member) => return self.hear_member(member, now),
            Rumour::Upstream { name, leaving, at } => self.hear_upstream(name, *leaving, *at),
            Rumour::Engine { name, at, .. } => is_newer(&mut self.engines, name, *at),
            Rumour::Crashes { from, at, .. } => is_newer(&mut self.reports, from, *at),
            Rumour::Demand { from, turn, rates } => self.hear_demand(from, *turn, rates, now),
        };
        if new {
            self.broadcast.add(rumour);
        }
        new
    }

    fn hear_member(&mut self, news: &Member, now: Millis) -> bool {
        if news.name == self.me.name {
            return self.hear_of_me(news);
        }
        let known = self.others.get(&news.name);
        if known.is_some_and(|known| !known.member.yields_to(news)) {
            return false;
        }
        // One that is gone and was forgotten stays forgotten.
        if known.is_none() && !news.state.is_live() {
            return false;
        }
        let member = news.clone();
        let since = now;
        self.others
            .insert(news.name.clone(), Known { member, since });
        self.broadcast.add(Rumour::Member(news.clone()));
        true
    }

    /// Contradicts a suspicion against this instance by a higher incarnation.
    fn hear_of_me(&mut self, news: &Member) -> bool {
        let stale = news.incarnation < self.me.incarnation;
        if stale || (news.incarnation == self.me.incarnation && news.state == self.me.state) {
            return false;
        }
        self.me.incarnation = news.incarnation + 1;
        self.broadcast.add(Rumour::Member(self.me.clone()));
        true
    }

    fn hear_upstream(&mut self, name: &Name, leaving: bool, at: u64) -> bool {
        let known = self.upstreams.get(name);
        if known.is_some_and(|(_, before)| *before >= at) {
            return false;
        }
        self.upstreams.insert(name.clone(), (leaving, at));
        true
    }

    fn hear_demand(&mut self, from: &Name, turn: u64, rates: &[Demand], now: Millis) -> bool {
        if *from == self.me.name {
            return false;
        }
        if self.demands.get(from).is_some_and(|d| d.turn >= turn) {
            return false;
        }
        let rates = rates.to_vec();
        let at = now;
        self.demands
            .insert(from.clone(), Wanted { turn, at, rates });
        true
    }

    /// Reports this instance's own demand to its peers.
    pub fn report_demand(&mut self, turn: u64, rates: Vec<Demand>) {
        let from = self.me.name.clone();
        self.broadcast.add(Rumour::Demand { from, turn, rates });
    }

    /// Reports to its peers what this instance has seen of crashes.
    pub fn report_crashes(&mut self, at: u64, report: Seen) {
        let from = self.me.name.clone();
        self.broadcast.add(Rumour::Crashes { from, at, report });
    }

    /// What other live instances reported of a customer.
    pub fn peer_demands(&self, customer: &str, now: Millis) -> Vec<f64> {
        let rate = |wanted: &Wanted| {
            let mine = |d: &&Demand| &*d.customer == customer;
            wanted.rates.iter().find(mine).map(|d| d.rate)
        };
        self.demands
            .values()
            .filter(|wanted| now < wanted.at + DEMAND_AGE)
            .filter_map(rate)
            .collect()
    }

    /// What is known of an upstream's leaving.
    pub fn is_leaving(&self, upstream: &str) -> Option<bool> {
        self.upstreams.get(upstream).map(|(leaving, _)| *leaving)
    }

    /// Says goodbye: peers stop counting on this instance at once.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Left;
        self.broadcast.add(Rumour::Member(self.me.clone()));
    }
}

/// Notes when something was seen; tells whether that is later than what was known.
fn is_newer(known: &mut Map<Name, u64>, name: &Name, at: u64) -> bool {
    let known = known.entry(name.clone()).or_insert(0);
    let news = at > *known;
    *known = at.max(*known);
    news
}
