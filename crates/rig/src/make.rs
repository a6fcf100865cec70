//! How a fleet is made.

use std::time::Duration;

use standin::engine;

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct Make {
    /// Names of the failure domains.
    pub domains: Vec<&'static str>,
    /// Entries in each failure domain.
    pub entries: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// How each engine is made.
    pub engine: engine::Settings,
    /// Plain services in each failure domain.
    pub services: usize,
    /// What a plain service works on a call.
    pub work: Duration,
    /// Calls that a plain service works on at once.
    pub slots: usize,
    /// Whether the entries have their control beside them.
    pub control: bool,
    /// Bytes of a weight version and bytes a second of the store; none without a store.
    pub store: Option<(usize, f64)>,
    /// Whether the first entry of each failure domain caches weights, in a folder of its own.
    pub cache: bool,
    /// Order of the queues.
    pub order: &'static str,
    /// Choice of upstreams.
    pub chooser: &'static str,
    /// Policy of steps.
    pub policy: &'static str,
    /// Time between two load reports.
    pub poll: &'static str,
    /// More settings for each entry.
    pub more: String,
    /// Contracts, applied at the start.
    pub contracts: Vec<String>,
}

impl Default for Make {
    fn default() -> Self {
        Self {
            domains: vec!["nord", "syd"],
            entries: 1,
            engines: 2,
            engine: engine::Settings::default(),
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
