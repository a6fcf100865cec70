//! A trainer: opens steps, pulls samples, trains, announces weights, and checks every promise.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::Name;
use net::client::uri;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standin::text;
use step::Sample;
use wire::caller::AnnounceVersion;
use wire::caller::AnnouncedVersion;
use wire::caller::Batch;
use wire::caller::OpenStep;
use wire::caller::OpenedStep;
use wire::caller::PullRequest;

use crate::report::histogram;

/// Time that a call has, on top of the wait that a pull asks for.
const LIMIT: Duration = Duration::from_secs(5);

/// Milliseconds that a pull waits for samples.
const WAIT: u64 = 1_000;

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Bytes of an answer.
const MOST: usize = 64 << 20;

/// What a trainer does.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// The entries; the next one is tried when one fails.
    pub entries: Vec<SocketAddr>,
    /// The bearer token.
    pub token: String,
    /// The model.
    pub model: Name,
    /// Groups a step.
    pub groups: u32,
    /// Samples a group.
    pub samples: u32,
    /// Tokens at most in a sample.
    pub tokens: u32,
    /// Steps.
    pub steps: u32,
    /// Time that training on a step takes.
    pub train: Duration,
    /// The version that it begins with.
    pub version: u64,
    /// Name that keeps this trainer's prompts apart from others'.
    pub label: String,
    /// The median length that the engines were made with, to check texts; 0 checks none.
    pub median: u32,
}

/// What a trainer saw.
#[derive(Debug)]
pub struct Seen {
    /// Steps that became whole.
    pub steps: u32,
    /// Samples that it took.
    pub samples: u64,
    /// Samples that it already had.
    pub doubled: u64,
    /// Samples beyond the staleness bound.
    pub stale: u64,
    /// Samples whose spans do not name a version for each token.
    pub unnamed: u64,
    /// Samples whose text is not the one that the engines make.
    pub wrong: u64,
    /// Samples with more than one version.
    pub mixed: u64,
    /// Staleness of each sample.
    pub staleness: Histogram<u64>,
    /// Milliseconds that each step took from opening until whole.
    pub whole: Histogram<u64>,
    /// Time without anything to train on.
    pub idle: Duration,
    /// Time in all.
    pub all: Duration,
    /// Tokens that it took.
    pub tokens: u64,
    /// Tokens of each step's longest sample, added up.
    pub longest: u64,
    /// Calls that failed and were tried again.
    pub failures: u64,
    /// Identifiers of the steps.
    pub ids: Vec<String>,
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            steps: 0,
            samples: 0,
            doubled: 0,
            stale: 0,
            unnamed: 0,
            wrong: 0,
            mixed: 0,
            staleness: histogram(),
            whole: histogram(),
            idle: Duration::ZERO,
            all: Duration::ZERO,
            tokens: 0,
            longest: 0,
            failures: 0,
            ids: Vec::new(),
        }
    }
}

impl Seen {
    /// Promises that were broken.
    pub fn broken(&self) -> u64 {
        self.doubled + self.stale + self.unnamed + self.wrong
    }
}

/// An open step.
struct Step {
    opened: OpenedStep,
    at: Instant,
    cursor: String,
    prompts: Vec<String>,
    have: Vec<bool>,
    longest: u32,
}

impl Trainer {
    /// Trains all steps; the next step is opened before the training on one begins, so that
    /// samples are made meanwhile.
    pub async fn run(&self) -> Seen {
        let mut seen = Seen::default();
        let mut caller = Caller::new(self);
        let start = Instant::now();
        let mut version = self.version;
        let mut step = self.open(&mut caller, 0, version).await;
        for number in 1..=self.steps {
            let waiting = Instant::now();
            self.pull(&mut caller, &mut step, version, &mut seen).await;
            seen.longest += u64::from(step.longest);
            seen.idle += waiting.elapsed();
            seen.steps += 1;
            // The histogram grows by itself, so a value is never out of its range.
            let _ = seen.whole.record(step.at.elapsed().as_millis() as u64);
            seen.ids.push(step.opened.step.clone());
            let path = format!("/v1/steps/{}", step.opened.step);
            caller.delete(&path).await;
            let next = match number < self.steps {
                true => Some(self.open(&mut caller, number, version).await),
                false => None,
            };
            tokio::time::sleep(self.train).await;
            version += 1;
            let path = format!("/v1/weights/{}", self.model);
            let _: AnnouncedVersion = caller
                .call(&path, &AnnounceVersion { version }, LIMIT)
                .await;
            match next {
                Some(next) => step = next,
                None => break,
            }
        }
        seen.all = start.elapsed();
        seen.failures = caller.failures;
        seen
    }

    async fn open(&self, caller: &mut Caller, number: u32, version: u64) -> Step {
        let prompt = |group| format!("{} step {number} case {group}", self.label);
        let prompts: Vec<String> = (0..self.groups).map(prompt).collect();
        let open = OpenStep {
            model: self.model.clone(),
            groups: prompts
                .iter()
                .map(|prompt| prompt.as_str().into())
                .collect(),
            samples: self.samples,
            max_tokens: self.tokens,
            version,
        };
        let at = Instant::now();
        let opened: OpenedStep = caller.call("/v1/steps", &open, LIMIT).await;
        Step {
            have: vec![false; opened.total as usize],
            opened,
            at,
            cursor: String::new(),
            prompts,
            longest: 0,
        }
    }

    /// Pulls until the step is whole.
    async fn pull(&self, caller: &mut Caller, step: &mut Step, version: u64, seen: &mut Seen) {
        let path = format!("/v1/steps/{}/pull", step.opened.step);
        loop {
            let pull = PullRequest {
                version,
                cursor: step.cursor.clone(),
                limit: 256,
                wait_ms: WAIT,
            };
            let limit = LIMIT + Duration::from_millis(WAIT);
            let batch: Batch = caller.call(&path, &pull, limit).await;
            for sample in &batch.samples {
                self.check(step, sample, version, seen);
            }
            step.cursor = batch.cursor;
            if batch.done {
                return;
            }
        }
    }

    fn check(&self, step: &mut Step, sample: &Sample, version: u64, seen: &mut Seen) {
        seen.samples += 1;
        seen.tokens += u64::from(sample.tokens);
        step.longest = step.longest.max(sample.tokens);
        let staleness = sample.staleness(version);
        let _ = seen.staleness.record(staleness);
        seen.stale += u64::from(staleness > step.opened.bound);
        seen.mixed += u64::from(sample.spans.len() > 1);
        match step.have.get_mut(sample.index as usize) {
            Some(have) => seen.doubled += u64::from(std::mem::replace(have, true)),
            None => seen.wrong += 1,
        }
        seen.unnamed += u64::from(!is_named(sample));
        seen.wrong += u64::from(!self.is_right(step, sample));
    }

    /// Tells whether the text is the one that the engines make for this prompt and seed.
    fn is_right(&self, step: &Step, sample: &Sample) -> bool {
        if self.median == 0 {
            return true;
        }
        let group = (sample.index / self.samples) as usize;
        let Some(prompt) = step.prompts.get(group) else {
            return false;
        };
        let seed = u64::from(sample.index);
        let tokens = text::length(prompt, seed, self.median, self.tokens);
        sample.tokens == tokens && sample.text == text::sample(prompt, seed, tokens)
    }
}

/// Tells whether every token has a version.
fn is_named(sample: &Sample) -> bool {
    let mut at = 0;
    for span in &sample.spans {
        if span.from != at || span.to <= at || span.version == 0 {
            return false;
        }
        at = span.to;
    }
    at == sample.tokens
}

/// Calls entries until one answers.
struct Caller {
    entries: Vec<SocketAddr>,
    token: String,
    http: net::Client,
    at: usize,
    failures: u64,
}

impl Caller {
    fn new(trainer: &Trainer) -> Self {
        Self {
            entries: trainer.entries.clone(),
            token: trainer.token.clone(),
            http: net::Client::new(),
            at: 0,
            failures: 0,
        }
    }

    /// Calls until there is an answer: a trainer has nothing better to do than try again.
    async fn call<T: Serialize, R: DeserializeOwned>(
        &mut self,
        path: &str,
        value: &T,
        limit: Duration,
    ) -> R {
        let bytes = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
        loop {
            if let Some(answer) = self.send(Method::POST, path, bytes.clone(), limit).await
                && let Ok(answer) = serde_json::from_slice(&answer)
            {
                return answer;
            }
            self.failures += 1;
            self.at += 1;
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn delete(&mut self, path: &str) {
        if self
            .send(Method::DELETE, path, Bytes::new(), LIMIT)
            .await
            .is_none()
        {
            self.failures += 1;
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
        limit: Duration,
    ) -> Option<Bytes> {
        let entry = self.entries[self.at % self.entries.len()];
        let request = Request::builder()
            .method(method)
            .uri(uri(entry, path))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .ok()?;
        let answer = self.http.fetch(request, limit, MOST).await.ok()?;
        answer.status().is_success().then(|| answer.into_body())
    }
}
