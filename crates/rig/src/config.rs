//! Configuration of a rig.

use std::time::Duration;

use standin::engine;

/// Configuration of a rig.
#[derive(Clone, Debug)]
pub struct RigConfig {
    /// Names of the failure domains.
    pub domains: Vec<&'static str>,
    /// Entries in each failure domain.
    pub entries: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Configuration of each stand-in engine.
    pub engine: engine::Settings,
    /// Plain services in each failure domain.
    pub services: usize,
    /// Time that a plain service takes for one call.
    pub service_time: Duration,
    /// Number of calls that a plain service serves at the same time.
    pub service_slots: usize,
    /// Whether a controller runs beside each entry.
    pub with_control: bool,
    /// Size of a weight version in bytes, and rate of the weight store in bytes per second; [`None`] for no store.
    pub store: Option<(usize, f64)>,
    /// Whether the first entry of each failure domain caches weights in its own directory.
    pub with_cache: bool,
    /// Order of the queues, as in the settings of a pool.
    pub queue_order: &'static str,
    /// Chooser of upstreams, as in the settings of a pool.
    pub chooser: &'static str,
    /// Policy of steps, as in the settings of steps.
    pub policy: &'static str,
    /// Interval between two load reports of an engine, as in the settings of weights.
    pub report_interval: &'static str,
    /// Additional settings text for each entry.
    pub extra_settings: String,
    /// Texts of the contracts that are applied at the start.
    pub contracts: Vec<String>,
}

impl Default for RigConfig {
    fn default() -> Self {
        Self {
            domains: vec!["nord", "syd"],
            entries: 1,
            engines: 2,
            engine: engine::Settings::default(),
            services: 2,
            service_time: Duration::from_millis(4),
            service_slots: 16,
            with_control: false,
            store: None,
            with_cache: false,
            queue_order: "fair",
            chooser: "scored",
            policy: "longest",
            report_interval: "200ms",
            extra_settings: String::new(),
            contracts: Vec::new(),
        }
    }
}
