//! Configuration of a rig.

use std::time::Duration;

use standin::engine;

/// Configuration of a rig.
#[derive(Clone, Debug)]
pub struct Make {
    /// Names of the failure domains.
    pub domains: Vec<&'static str>,
    /// Entries in each failure domain.
    pub entries: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Configuration of each stand-in engine.
    pub engine: engine::Make,
    /// Plain services in each failure domain.
    pub services: usize,
    /// Time that a plain service takes for one call.
    pub work: Duration,
    /// Number of calls that a plain service serves at the same time.
    pub slots: usize,
    /// Whether a controller runs beside each entry.
    pub control: bool,
    /// Bytes of a weight version and the weight store's rate in bytes per second; [`None`] for no store.
    pub store: Option<(usize, f64)>,
    /// Whether the first entry of each failure domain caches weights in its own directory.
    pub cache: bool,
    /// Order of the queues, as in the settings of a pool.
    pub order: &'static str,
    /// Chooser of upstreams, as in the settings of a pool.
    pub chooser: &'static str,
    /// Policy of steps, as in the settings of steps.
    pub policy: &'static str,
    /// Interval between two load reports of an engine, as in the settings of weights.
    pub poll: &'static str,
    /// Additional settings text for each entry.
    pub more: String,
    /// Texts of the contracts that are applied at the start.
    pub contracts: Vec<String>,
}

impl Default for Make {
    fn default() -> Self {
        Self {
            domains: vec!["nord", "syd"],
            entries: 1,
            engines: 2,
            engine: engine::Make::default(),
            services: 2,
            work: Duration::from_millis(4),
            slots: 16,
            control: false,
            store: None,
            cache: false,
            order: "fair",
            chooser: "scored",
            policy: "longest",
            poll: "200ms",
            more: String::new(),
            contracts: Vec::new(),
        }
    }
}
