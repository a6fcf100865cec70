//! The frame of a case: its folder, its record, its time limit and its exit code.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::node::Deployment;
use crate::node::PROGRAM;
use crate::node::root_of;
use crate::store::Store;

/// The result of a case.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    NotRun(String),
}

/// The record of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Adds a line.
    pub fn add(&self, line: impl std::fmt::Display) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().push(format!("{at:>7} ms  {line}"));
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// What a case starts with.
pub struct Case {
    pub record: Record,
    pub store: Store,
    pub deployment: Deployment,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Time after which a case counts as not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Runs a case whose folder is the first argument.
pub fn run<F>(play: impl FnOnce(Case) -> F) -> ExitCode
where
    F: Future<Output = Verdict>,
{
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let root = root_of(&folder);
    if !root.join(PROGRAM).exists() {
        eprintln!("{PROGRAM} is missing: run the build of deploy/system.toml first");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = !trouble;
    let dir = std::env::temp_dir().join(format!("snipeway-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be made");
    let record = Record {
        start: Instant::now(),
        lines: Arc::default(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let lines = record.clone();
    let verdict = runtime.block_on(async {
        let store = Store::start().await;
        let deployment = Deployment {
            root,
            dir: dir.clone(),
            store: store.addr,
        };
        let case = Case {
            record,
            store,
            deployment,
            trouble,
        };
        let limited = tokio::time::timeout(TIME_LIMIT, play(case));
        limited
            .await
            .unwrap_or_else(|_| Verdict::NotRun("time limit".into()))
    });
    runtime.shutdown_background();
    lines.add(format!("verdict: {verdict:?} (disruption: {trouble})"));
    let text = lines.lines.lock().join("\n") + "\n";
    let _ = std::fs::write(folder.join("record.txt"), text);
    match std::env::var("KEEP_LOGS") {
        Ok(_) => eprintln!("logs: {}", dir.display()),
        Err(_) => drop(std::fs::remove_dir_all(&dir)),
    }
    eprintln!("{verdict:?}");
    match verdict {
        Verdict::Broken => ExitCode::from(1),
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::NotRun(_) => ExitCode::from(2),
    }
}

/// A small generator of pseudo-random numbers with a fixed seed.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
