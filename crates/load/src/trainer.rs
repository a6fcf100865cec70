//! A trainer: opens steps, pulls samples, trains, announces weight versions, and checks every guarantee on samples.

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

/// Timeout of a call. For a pull, the time that it waits for samples is added.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a pull waits for samples, in milliseconds.
const PULL_WAIT_MS: u64 = 1_000;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A trainer and the steps that it trains on.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// Addresses of the entries; a failed call moves on to the next one.
    pub entries: Vec<SocketAddr>,
    /// The bearer token.
    pub token: String,
    /// The model.
    pub model: Name,
    /// Groups per step.
    pub groups: u32,
    /// Samples per group.
    pub samples: u32,
    /// Maximum number of tokens per sample.
    pub max_tokens: u32,
    /// Number of steps.
    pub steps: u32,
    /// Time that training on one step takes.
    pub train_time: Duration,
    /// The weight version at the start.
    pub start_version: u64,
    /// Prefix of the prompts, so that trainers send different ones.
    pub label: String,
    /// Median tokens per sample of the stand-in engines, to check the texts; 0 disables the check.
    pub median_tokens: u32,
}

/// Results of a trainer's run.
#[derive(Debug)]
pub struct TrainerStats {
    /// Steps of which the trainer received every sample.
    pub steps: u32,
    /// Samples received.
    pub samples: u64,
    /// Samples received more than once.
    pub duplicates: u64,
    /// Samples beyond the staleness bound.
    pub stale: u64,
    /// Samples whose spans do not give a version for each token.
    pub unversioned: u64,
    /// Samples with an index outside of the step, or with a text that the engines do not generate for it.
    pub mismatched: u64,
    /// Samples of more than one version.
    pub mixed: u64,
    /// Staleness of each sample, in versions.
    pub staleness: Histogram<u64>,
    /// Time of each step from opening to its last sample, in milliseconds.
    pub step_ms: Histogram<u64>,
    /// Time spent waiting for samples.
    pub idle: Duration,
    /// Time of the whole run.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens of the longest sample of each step, summed over the steps.
    pub longest_tokens: u64,
    /// Failed calls.
    pub failures: u64,
    /// Identifiers of the completed steps.
    pub step_ids: Vec<String>,
}

impl Default for TrainerStats {
    fn default() -> Self {
        Self {
            steps: 0,
            samples: 0,
            duplicates: 0,
            stale: 0,
            unversioned: 0,
            mismatched: 0,
            mixed: 0,
            staleness: histogram(),
            step_ms: histogram(),
            idle: Duration::ZERO,
            total: Duration::ZERO,
            tokens: 0,
            longest_tokens: 0,
            failures: 0,
            step_ids: Vec::new(),
        }
    }
}

impl TrainerStats {
    /// Returns the number of violations of the guarantees on samples.
    pub fn violations(&self) -> u64 {
        self.duplicates + self.stale + self.unversioned + self.mismatched
    }
}

/// A step that is open.
struct Step {
    opened: OpenedStep,
    open_time: Instant,
    cursor: String,
    prompts: Vec<String>,
    /// Whether each sample has been received, by index.
    received: Vec<bool>,
    /// Tokens of the longest sample received.
    longest: u32,
}

impl Trainer {
    /// Runs all steps and returns the results. The next step is opened before the training on the current one
    /// begins, so that its samples are generated meanwhile.
    pub async fn run(&self) -> TrainerStats {
        let mut stats = TrainerStats::default();
        let mut client = EntryClient::new(self);
        let start = Instant::now();
        let mut version = self.start_version;
        let mut step = self.open(&mut client, 0, version).await;
        for number in 1..=self.steps {
            let pull_start = Instant::now();
            self.pull(&mut client, &mut step, version, &mut stats).await;
            stats.longest_tokens += u64::from(step.longest);
            stats.idle += pull_start.elapsed();
            stats.steps += 1;
            // The histogram resizes itself, so no value is out of range.
            let _ = stats
                .step_ms
                .record(step.open_time.elapsed().as_millis() as u64);
            stats.step_ids.push(step.opened.step.clone());
            let path = format!("/v1/steps/{}", step.opened.step);
            client.delete(&path).await;
            let next = match number < self.steps {
                true => Some(self.open(&mut client, number, version).await),
                false => None,
            };
            tokio::time::sleep(self.train_time).await;
            version += 1;
            let path = format!("/v1/weights/{}", self.model);
            let _: AnnouncedVersion = client
                .call(&path, &AnnounceVersion { version }, CALL_TIMEOUT)
                .await;
            match next {
                Some(next) => step = next,
                None => break,
            }
        }
        stats.total = start.elapsed();
        stats.failures = client.failures;
        stats
    }

    async fn open(&self, client: &mut EntryClient, number: u32, version: u64) -> Step {
        let prompt = |group| format!("{} step {number} case {group}", self.label);
        let prompts: Vec<String> = (0..self.groups).map(prompt).collect();
        let open = OpenStep {
            model: self.model.clone(),
            groups: prompts
                .iter()
                .map(|prompt| prompt.as_str().into())
                .collect(),
            samples: self.samples,
            max_tokens: self.max_tokens,
            version,
        };
        let open_time = Instant::now();
        let opened: OpenedStep = client.call("/v1/steps", &open, CALL_TIMEOUT).await;
        Step {
            received: vec![false; opened.total as usize],
            opened,
            open_time,
            cursor: String::new(),
            prompts,
            longest: 0,
        }
    }

    /// Pulls until every sample of the step is received.
    async fn pull(
        &self,
        client: &mut EntryClient,
        step: &mut Step,
        version: u64,
        stats: &mut TrainerStats,
    ) {
        let path = format!("/v1/steps/{}/pull", step.opened.step);
        loop {
            let pull = PullRequest {
                version,
                cursor: step.cursor.clone(),
                limit: 256,
                wait_ms: PULL_WAIT_MS,
            };
            let timeout = CALL_TIMEOUT + Duration::from_millis(PULL_WAIT_MS);
            let batch: Batch = client.call(&path, &pull, timeout).await;
            for sample in &batch.samples {
                self.check(step, sample, version, stats);
            }
            step.cursor = batch.cursor;
            if batch.done {
                return;
            }
        }
    }

    fn check(&self, step: &mut Step, sample: &Sample, version: u64, stats: &mut TrainerStats) {
        stats.samples += 1;
        stats.tokens += u64::from(sample.tokens);
        step.longest = step.longest.max(sample.tokens);
        let staleness = sample.staleness(version);
        let _ = stats.staleness.record(staleness);
        stats.stale += u64::from(staleness > step.opened.bound);
        stats.mixed += u64::from(sample.spans.len() > 1);
        match step.received.get_mut(sample.index as usize) {
            Some(received) => stats.duplicates += u64::from(std::mem::replace(received, true)),
            None => stats.mismatched += 1,
        }
        stats.unversioned += u64::from(!is_versioned(sample));
        stats.mismatched += u64::from(!self.is_expected(step, sample));
    }

    /// Returns whether the text is the one that the engines generate for this prompt and seed.
    fn is_expected(&self, step: &Step, sample: &Sample) -> bool {
        if self.median_tokens == 0 {
            return true;
        }
        let group = (sample.index / self.samples) as usize;
        let Some(prompt) = step.prompts.get(group) else {
            return false;
        };
        let seed = u64::from(sample.index);
        let tokens = text::length(prompt, seed, self.median_tokens, self.max_tokens);
        sample.tokens == tokens && sample.text == text::sample(prompt, seed, tokens)
    }
}

/// Returns whether the spans give every token a version, in order and without gaps.
fn is_versioned(sample: &Sample) -> bool {
    let mut end = 0;
    for span in &sample.spans {
        if span.from != end || span.to <= end || span.version == 0 {
            return false;
        }
        end = span.to;
    }
    end == sample.tokens
}

/// A client that retries a failed call at the next entry.
struct EntryClient {
    entries: Vec<SocketAddr>,
    token: String,
    http: net::Client,
    /// Index of the current entry, modulo their number.
    current: usize,
    /// Failed calls.
    failures: u64,
}

impl EntryClient {
    fn new(trainer: &Trainer) -> Self {
        Self {
            entries: trainer.entries.clone(),
            token: trainer.token.clone(),
            http: net::Client::new(),
            current: 0,
            failures: 0,
        }
    }

    /// Calls until an entry returns a usable response. There is no limit of retries, because a trainer cannot
    /// proceed without the response.
    async fn call<T: Serialize, R: DeserializeOwned>(
        &mut self,
        path: &str,
        value: &T,
        timeout: Duration,
    ) -> R {
        let bytes = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
        loop {
            if let Some(response) = self.send(Method::POST, path, bytes.clone(), timeout).await
                && let Ok(response) = serde_json::from_slice(&response)
            {
                return response;
            }
            self.failures += 1;
            self.current += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Deletes a resource. A failure is counted but not retried.
    async fn delete(&mut self, path: &str) {
        if self
            .send(Method::DELETE, path, Bytes::new(), CALL_TIMEOUT)
            .await
            .is_none()
        {
            self.failures += 1;
        }
    }

    /// Returns the body of a successful response, or [`None`] for any other outcome.
    async fn send(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
        timeout: Duration,
    ) -> Option<Bytes> {
        let entry = self.entries[self.current % self.entries.len()];
        let request = Request::builder()
            .method(method)
            .uri(uri(entry, path))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .ok()?;
        let response = self
            .http
            .fetch(request, timeout, MAX_RESPONSE_BYTES)
            .await
            .ok()?;
        response.status().is_success().then(|| response.into_body())
    }
}
