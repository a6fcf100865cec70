//! Callers of plain services: an open loop at a given rate, so that a slow answer does not slow
//! the load down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http_body_util::Full;
use net::client::uri;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Ran;
use tokio::task::JoinSet;
use uuid::Uuid;
use wire::Problem;
use wire::caller::IDEMPOTENCY_KEY;
use wire::caller::TIMEOUT;

use crate::report::histogram;

/// Bytes of an answer.
const MOST: usize = 16 << 20;

/// What callers send.
#[derive(Clone, Debug)]
pub struct Callers {
    /// The entries, taken in turn.
    pub entries: Vec<SocketAddr>,
    /// The bearer token.
    pub token: String,
    /// The path of each call; `{n}` is replaced by its number.
    pub path: String,
    /// Calls a second.
    pub rate: f64,
    /// How long.
    pub span: Duration,
    /// Whether each call is a POST with a key of its own.
    pub once: bool,
    /// The deadline of a call in milliseconds.
    pub timeout: u64,
    /// Seed of the times between calls.
    pub seed: u64,
}

/// What callers saw.
#[derive(Debug)]
pub struct Seen {
    /// Calls that were sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Microseconds of the whole answers, from the moment at which the call was due.
    pub micros: Histogram<u64>,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Refusals that say "unknown", and calls without any answer.
    pub unknown: u64,
    /// Answers that were not the call's own.
    pub foreign: u64,
    /// Keys whose call was answered whole.
    pub answered: Vec<String>,
    /// Keys whose call was refused as not run.
    pub refused: Vec<String>,
    /// Types of refusals, with their number.
    pub kinds: Vec<(String, u64)>,
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            sent: 0,
            whole: 0,
            micros: histogram(),
            not_run: 0,
            unknown: 0,
            foreign: 0,
            answered: Vec::new(),
            refused: Vec::new(),
            kinds: Vec::new(),
        }
    }
}

enum Answer {
    Whole,
    Foreign,
    Refused(Box<Problem>),
    None,
}

impl Callers {
    /// Sends calls and waits for the last answer.
    pub async fn run(&self) -> Seen {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let http = net::Client::new();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut number = 0;
        loop {
            // Exponential gaps: arrivals that know nothing of one another.
            let gap = -random.random::<f64>().max(1e-12).ln() / self.rate;
            due += Duration::from_secs_f64(gap);
            if due >= self.span {
                break;
            }
            tokio::time::sleep_until((start + due).into()).await;
            number += 1;
            let entry = self.entries[number as usize % self.entries.len()];
            let call = Call {
                number,
                entry,
                due: start + due,
                http: http.clone(),
                seen: seen.clone(),
            };
            let callers = self.clone();
            calls.spawn(async move { callers.call(call).await });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
        std::mem::take(&mut *seen.lock())
    }

    async fn call(self, call: Call) {
        let key = self.once.then(|| Uuid::now_v7().to_string());
        let answer = self.send(&call, key.as_deref()).await;
        let micros = call.due.elapsed().as_micros() as u64;
        let mut seen = call.seen.lock();
        seen.sent += 1;
        match answer {
            Answer::Whole => {
                seen.whole += 1;
                // The histogram grows by itself, so a value is never out of its range.
                let _ = seen.micros.record(micros);
                seen.answered.extend(key);
            }
            Answer::Foreign => seen.foreign += 1,
            Answer::Refused(problem) => seen.refuse(&problem, key),
            Answer::None => seen.unknown += 1,
        }
    }

    async fn send(&self, call: &Call, key: Option<&str>) -> Answer {
        let path = self.path.replace("{n}", &call.number.to_string());
        let sep = if path.contains('?') { '&' } else { '?' };
        let query = format!("call={}", call.number);
        let request = Request::builder()
            .method(if key.is_some() {
                Method::POST
            } else {
                Method::GET
            })
            .uri(uri(call.entry, &format!("{path}{sep}{query}")))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(TIMEOUT, self.timeout);
        let request = match key {
            Some(key) => request.header(IDEMPOTENCY_KEY, key),
            None => request,
        };
        let Ok(request) = request.body(Full::new(Bytes::new())) else {
            return Answer::None;
        };
        // Longer than the deadline: the answer that the entry promises must have time to come.
        let limit = Duration::from_millis(self.timeout + 2_000);
        match call.http.fetch(request, limit, MOST).await {
            Ok(answer) if answer.status().is_success() => judge(answer.body(), &query),
            Ok(answer) => match serde_json::from_slice(answer.body()) {
                Ok(problem) => Answer::Refused(Box::new(problem)),
                Err(_) if answer.status() == StatusCode::OK => Answer::Foreign,
                Err(_) => Answer::None,
            },
            Err(_) => Answer::None,
        }
    }
}

/// Tells whether an answer is the call's own: the stand-in repeats the query.
fn judge(body: &[u8], query: &str) -> Answer {
    let value: Result<serde_json::Value, _> = serde_json::from_slice(body);
    let echo = value
        .ok()
        .and_then(|value| Some(value["echo"].as_str()?.to_owned()));
    match echo {
        Some(echo) if echo.ends_with(query) => Answer::Whole,
        _ => Answer::Foreign,
    }
}

struct Call {
    number: u64,
    entry: SocketAddr,
    due: Instant,
    http: net::Client,
    seen: Arc<Mutex<Seen>>,
}

impl Seen {
    fn refuse(&mut self, problem: &Problem, key: Option<String>) {
        match problem.ran {
            Ran::No => {
                self.not_run += 1;
                self.refused.extend(key);
            }
            Ran::Unknown => self.unknown += 1,
        }
        let kind = serde_json::to_value(problem.kind).unwrap_or_default();
        let kind = kind.as_str().unwrap_or("?").to_owned();
        match self.kinds.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, count)) => *count += 1,
            None => self.kinds.push((kind, 1)),
        }
    }
}
