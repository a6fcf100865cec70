//! One version of the configuration.

use std::sync::Arc;

use capacity::Bounds;
use kernel::Map;
use kernel::Millis;
use team::Teams;

/// What may be repeated on a route, and how its answers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream,
    /// The route takes the steps of a trainer, whose samples run one by one.
    Rollout,
}

/// A service that a route may use, and how much of the route's requests it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host of its requests, in lower case.
    pub host: Arc<str>,
    /// What the path of its requests begins with.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout: Millis,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Time after which an unfinished sample of a step may be given up, in milliseconds.
    pub ttl: Millis,
    /// Whether all tokens of a sample have to come from one version of the weights.
    pub single_version: bool,
    /// Whether a stream that broke may be taken up again behind its last event.
    pub resumable: bool,
    /// Whether its requests need no key, where there are teams.
    pub open: bool,
    /// The services that run its requests.
    pub services: Vec<WeightedService>,
}

/// What a service's model engines are like.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that an engine works on at the same time.
    pub slots: u32,
    /// Tokens that an engine's memory holds; 0 when it is not known.
    pub memory_tokens: u32,
    /// Tokens in one event of its answers; 0 when it is not known.
    pub event_tokens: u32,
    /// The models that every engine has, in the operator's order.
    pub models: Vec<Arc<str>>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// What its upstreams are, when they are model engines.
    pub engine: Option<EngineSpec>,
    /// How many upstreams may be ordered, if they may.
    pub scaling: Option<Bounds>,
}

/// One version of the configuration.
///
/// # Examples
///
/// ```
/// use table::{RouteKind, Config, Route};
///
/// let route = |prefix: &str| Route {
///     name: prefix.into(), host: "shop.example".into(), prefix: prefix.into(),
///     kind: RouteKind::Idempotent, timeout: 1_000, max_attempts: 2, ttl: 0,
///     single_version: false, resumable: false, open: false, services: Vec::new(),
/// };
/// let plan = Config::new(7, vec![route("/a/"), route("/a/b/")], Vec::new(), 1 << 20);
/// let found = plan.find_route("Shop.example:80", "/a/b/c");
/// assert_eq!(found.map(|route| &*route.prefix), Some("/a/b/"));
/// assert!(plan.find_route("shop.example", "/x").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    routes: Vec<Arc<Route>>,
    services: Map<Arc<str>, Arc<Service>>,
    /// Most bytes of a request's body.
    pub max_body: usize,
    /// The teams; without any word of them nobody needs a key.
    pub teams: Option<Teams>,
}

impl Config {
    /// Makes a configuration.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, max_body: usize) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        // The longest prefix first, so that the first match is the closest one.
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        let services = services.into_iter().map(Arc::new);
        Self {
            version,
            routes,
            services: services.map(|one| (one.name.clone(), one)).collect(),
            max_body,
            teams: None,
        }
    }

    /// Adds the teams.
    pub fn with_teams(self, teams: Option<Teams>) -> Self {
        Self { teams, ..self }
    }

    /// Tells whether a host has a route that takes steps and needs no key.
    pub fn has_open_steps(&self, host: &str) -> bool {
        let host = host.split(':').next().unwrap_or(host);
        let open = |route: &&Arc<Route>| route.open && route.kind == RouteKind::Rollout;
        let mut open = self.routes.iter().filter(open);
        open.any(|route| route.host.eq_ignore_ascii_case(host))
    }

    /// Finds the route of a request.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .find(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The routes that a service may get requests of.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter().filter(move |route| {
            route
                .services
                .iter()
                .any(|share| &*share.service == service)
        })
    }

    /// Chooses the service of one request; `draw` is drawn evenly from 0 to 1.
    pub fn pick_service(route: &Route, draw: f64) -> Option<&Arc<str>> {
        let sum: u32 = route.services.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(sum);
        for share in &route.services {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        route.services.last().map(|share| &share.service)
    }
}
