//! One upstream as one instance sees it.

use std::net::SocketAddr;
use std::str::FromStr;

use kernel::Millis;
use kernel::Name;

use crate::Health;

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The text names no kind of upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected engine or service")]
pub struct KindError;

impl FromStr for UpstreamKind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(KindError),
        }
    }
}

/// What the settings say of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// What it is.
    pub kind: UpstreamKind,
    /// The model or service that it serves.
    pub pool: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it can work on at the same time.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
}

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it was working on.
    pub running: u32,
    /// When it was received.
    pub at: Millis,
    /// What this instance had outstanding there at that time.
    pub mine: u32,
}

/// Time after which a load report says nothing any more.
const REPORT_AGE: Millis = 5_000;

/// Weight of the newest latency in the mean, when it is lower than the mean.
const SMOOTH: f64 = 0.1;

/// Part of a latency above the mean that counts at once, so that a slow upstream shows soon.
const PEAK: f64 = 0.5;

/// One upstream as one instance sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the settings say.
    pub spec: UpstreamSpec,
    /// Its health.
    pub health: Health,
    /// The weight version that it stated last, when it is an engine.
    pub version: Option<u64>,
    /// Requests of this instance that run there.
    pub outstanding: u32,
    /// Mean latency in milliseconds; 0 before the first answer.
    pub latency: f64,
    report: Option<Report>,
}

impl Upstream {
    /// Makes an upstream of which nothing is known yet.
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
            at: now,
            mine: self.outstanding,
        });
    }

    /// Adds the latency of a response, in milliseconds, to the mean.
    pub fn record_latency(&mut self, latency: f64) {
        let weight = if latency > self.latency { PEAK } else { SMOOTH };
        if self.latency == 0.0 {
            self.latency = latency;
            return;
        }
        self.latency += weight * (latency - self.latency);
    }

    /// Returns the requests of other instances by the last report: those running there minus this
    /// instance's own at that time. 0 when the report is too old.
    pub fn other_requests(&self, now: Millis) -> u32 {
        match self.report {
            Some(report) if now < report.at + REPORT_AGE => {
                report.running.saturating_sub(report.mine)
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
