//! State of one upstream as observed by one instance.

use std::net::SocketAddr;
use std::str::FromStr;

use kernel::Millis;
use kernel::Name;

use crate::Health;

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A service that is no model engine.
    Service,
}

/// Error for a text that names no kind of upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected engine or service")]
pub struct UpstreamKindError;

impl FromStr for UpstreamKind {
    type Err = UpstreamKindError;

    fn from_str(text: &str) -> Result<Self, UpstreamKindError> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(UpstreamKindError),
        }
    }
}

/// Settings of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Unique name.
    pub name: Name,
    /// Network address.
    pub addr: SocketAddr,
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Pool of the model or service that it serves.
    pub pool: Name,
    /// Failure domain that it runs in.
    pub domain: Name,
    /// Maximum number of requests that it can process concurrently.
    pub slots: u32,
    /// Whether it rejects orders with an outdated fencing token.
    pub fencing: bool,
    /// The identity that a server at the address has to give before it gets a request; [`None`] if it is not asked.
    pub identity: Option<Name>,
}

impl UpstreamSpec {
    /// Returns the URI of a path at this upstream; the client checks the identity before the address if there is one.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::{UpstreamKind, UpstreamSpec};
    ///
    /// let name = |text: &str| text.parse().unwrap();
    /// let spec = UpstreamSpec {
    ///     name: name("portal-1"),
    ///     addr: ([127, 0, 0, 1], 80).into(),
    ///     kind: UpstreamKind::Service,
    ///     pool: name("portal"),
    ///     domain: name("nord"),
    ///     slots: 4,
    ///     fencing: false,
    ///     identity: Some(name("portal-1-7f3a")),
    /// };
    /// assert_eq!(spec.uri("/size"), "http://portal-1-7f3a@127.0.0.1:80/size");
    /// let anonymous = UpstreamSpec { identity: None, ..spec };
    /// assert_eq!(anonymous.uri("/size"), "http://127.0.0.1:80/size");
    /// ```
    pub fn uri(&self, path: &str) -> String {
        let addr = self.addr;
        match &self.identity {
            Some(identity) => format!("http://{identity}@{addr}{path}"),
            None => format!("http://{addr}{path}"),
        }
    }
}

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of requests, of all instances, that the upstream was processing.
    pub running: u32,
    /// When this instance received the report.
    pub received_at: Millis,
    /// Number of outstanding requests from this instance to the upstream when the report was received.
    pub own_requests: u32,
}

/// Age in milliseconds from which a load report is ignored.
const MAX_REPORT_AGE_MS: Millis = 5_000;

/// Weight of a new latency in the moving mean when it is at most the mean.
const FALLING_WEIGHT: f64 = 0.1;

/// Weight of a new latency above the moving mean; higher, so that a slow upstream is noticed soon.
const RISING_WEIGHT: f64 = 0.5;

/// One upstream as observed by one instance.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its settings.
    pub spec: UpstreamSpec,
    /// Whether it may be sent requests.
    pub health: Health,
    /// Weight version that an engine stated last.
    pub version: Option<u64>,
    /// Number of outstanding requests from this instance to the upstream.
    pub outstanding: u32,
    /// Moving mean of the latency in milliseconds; 0 before the first response.
    pub latency: f64,
    report: Option<Report>,
}

impl Upstream {
    /// Creates an upstream without any observation.
    pub fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            health: Health::default(),
            version: None,
            outstanding: 0,
            latency: 0.0,
            report: None,
        }
    }

    /// Records a load report that was received at `now`.
    pub fn record_report(&mut self, running: u32, now: Millis) {
        self.report = Some(Report {
            running,
            received_at: now,
            own_requests: self.outstanding,
        });
    }

    /// Adds the latency of a response, in milliseconds, to the mean.
    pub fn record_latency(&mut self, latency: f64) {
        let weight = if latency > self.latency {
            RISING_WEIGHT
        } else {
            FALLING_WEIGHT
        };
        if self.latency == 0.0 {
            self.latency = latency;
            return;
        }
        self.latency += weight * (latency - self.latency);
    }

    /// Returns the number of requests that the upstream processes for other instances, according to the last
    /// load report: those it was processing minus this instance's outstanding ones at that time. 0 without a
    /// report, or when the report is too old.
    pub fn other_requests(&self, now: Millis) -> u32 {
        match self.report {
            Some(report) if now < report.received_at + MAX_REPORT_AGE_MS => {
                report.running.saturating_sub(report.own_requests)
            }
            _ => 0,
        }
    }

    /// Returns how many more requests this instance may send, when it may use `fraction` of its window and
    /// `instances` instances share the upstream.
    ///
    /// Load reports lag, so they do not decide alone: this instance's own requests count as of now, and an
    /// even share of the slots is always available, whatever a late report says.
    pub fn available_slots(&self, now: Millis, fraction: f64, instances: u32) -> u32 {
        let even = self.spec.slots.div_ceil(instances.max(1));
        let free = self.spec.slots.saturating_sub(self.other_requests(now));
        let window = (f64::from(even.max(free)) * fraction).ceil() as u32;
        window.saturating_sub(self.outstanding)
    }
}
