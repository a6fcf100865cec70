//! Steps under faults: every sample is delivered exactly once, complete, within the staleness bound
//! and with the weight versions of all its tokens.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use standin::Fault;
use standin::engine;
use standin::text;
use step::Sample;
use wire::caller::Batch;
use wire::caller::OpenedStep;
use wire::caller::StepState;
use wire::problem::Type;
use yare::parameterized;

/// Median length of a sample, in tokens.
const MEDIAN_TOKENS: u32 = 40;

/// Maximum length of a sample, in tokens.
const MAX_TOKENS: u32 = 300;

fn rig_config() -> RigConfig {
    RigConfig {
        engine: engine::Settings {
            median: MEDIAN_TOKENS,
            ..engine::Settings::default()
        },
        engines: 3,
        services: 0,
        contracts: vec![contracts::text("staff", "staleness = 1\n")],
        ..RigConfig::default()
    }
}

fn block<F: Future>(future: F) -> F::Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

/// A trainer that keeps the samples it received, independently of the code under test.
struct Trainer {
    entries: Vec<SocketAddr>,
    /// Index of the entry to use, modulo their number.
    next_entry: usize,
    step: String,
    total: u32,
    version: u64,
    cursor: String,
    received: Vec<Sample>,
    done: bool,
}

impl Trainer {
    async fn open(rig: &Rig, groups: usize, samples: u32) -> Self {
        let entries = rig.addrs();
        let prompts: Vec<_> = (0..groups).map(|g| format!("case {g}")).collect();
        let open = json!({
            "model": "fitting", "groups": prompts, "samples": samples, "max_tokens": MAX_TOKENS,
            "version": 1
        });
        let answer = Call::json(entries[0], "staff", "/v1/steps", &open)
            .send()
            .await
            .unwrap();
        let opened: OpenedStep = answer.json().unwrap();
        Self {
            entries,
            next_entry: 0,
            step: opened.step,
            total: opened.total,
            version: 1,
            cursor: String::new(),
            received: Vec::new(),
            done: false,
        }
    }

    fn pull_request(&self, limit: usize) -> Call {
        let path = format!("/v1/steps/{}/pull", self.step);
        let pull = json!({
            "version": self.version, "cursor": self.cursor, "limit": limit, "wait_ms": 500
        });
        Call::json(
            self.entries[self.next_entry % self.entries.len()],
            "staff",
            &path,
            &pull,
        )
    }

    /// Pulls once and receives the batch. On failure, the next pull goes to another entry.
    async fn pull(&mut self, limit: usize) -> bool {
        match self.pull_request(limit).send().await {
            Ok(answer) if answer.status == StatusCode::OK => {
                let batch: Batch = answer.json().unwrap();
                self.received
                    .extend(batch.samples.iter().map(|sample| (**sample).clone()));
                self.cursor = batch.cursor;
                self.done = batch.done;
                true
            }
            Ok(_) | Err(_) => {
                self.next_entry += 1;
                tokio::time::sleep(Duration::from_millis(50)).await;
                false
            }
        }
    }

    async fn finish(&mut self) {
        for _ in 0..600 {
            if self.done {
                return;
            }
            self.pull(64).await;
        }
        panic!(
            "the step was not completed: {} of {} samples",
            self.received.len(),
            self.total
        );
    }

    /// Checks that every sample was received exactly once, complete and fresh.
    fn check(&self, samples: u32) {
        let mut indexes: Vec<_> = self.received.iter().map(|s| s.index).collect();
        indexes.sort_unstable();
        assert_eq!(
            indexes,
            (0..self.total).collect::<Vec<_>>(),
            "each sample exactly once"
        );
        for sample in &self.received {
            let prompt = format!("case {}", sample.index / samples);
            let seed = u64::from(sample.index);
            let tokens = text::length(&prompt, seed, MEDIAN_TOKENS, MAX_TOKENS);
            assert_eq!(
                sample.text,
                text::sample(&prompt, seed, tokens),
                "complete text for its prompt"
            );
            assert_eq!(sample.spans.first().map(|s| s.from), Some(0));
            assert_eq!(
                sample.spans.last().map(|s| s.to),
                Some(tokens),
                "weight versions up to the last token"
            );
            assert!(sample.staleness(self.version) <= 1, "fresh");
        }
    }
}

#[parameterized(
    quiet = { Fault::default() },
    cut = { Fault { cut: 4, ..Fault::default() } },
    shuffled = { Fault { shuffle: true, ..Fault::default() } },
)]
fn a_step_is_completed(fault: Fault) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        rig.standins.engines[0].host.faults.set(fault);
        let mut trainer = Trainer::open(&rig, 8, 4).await;

        trainer.finish().await;

        trainer.check(4);
    });
}

// Guards against a step that stalls or delivers samples twice after the entry that runs it was
// killed with some samples delivered. This happens if only the killed instance knows the progress.
#[test]
fn a_killed_entry_loses_and_duplicates_no_sample() {
    block(async {
        let mut rig = Rig::start(&rig_config()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 8, 4).await;
        while trainer.received.len() < 5 {
            trainer.pull(5).await;
        }

        rig.kill(0);
        trainer.finish().await;

        trainer.check(4);
        let states = rig.fleet().step_state(&trainer.step).await;
        let state: &StepState = states[0].1.as_ref().unwrap();
        assert_eq!(&*state.instance, "syd-0");
        assert!(state.events[0].what.contains("held"), "{:?}", state.events);
    });
}

// Guards against samples that are lost with the response to a pull, when the trainer repeats the
// pull with the same cursor at another entry. This happens if samples count as delivered when sent.
#[test]
fn a_lost_batch_is_delivered_again() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        for _ in 0..6 {
            let _lost = trainer.pull_request(3).send().await.unwrap();
            trainer.next_entry += 1;
            trainer.pull(2).await;
        }

        trainer.finish().await;

        trainer.check(4);
    });
}

// Guards against a step that stops while the platform is unavailable, from before or right after the
// step was opened. This happens if samples depend on a write to the platform.
#[parameterized(
    after = { false },
    before = { true },
)]
fn a_step_continues_without_the_platform(before: bool) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let down = Fault {
            down: true,
            ..Fault::default()
        };
        if before {
            rig.standins.platform.host.faults.set(down);
        }
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        rig.standins.platform.host.faults.set(down);

        trainer.next_entry = 1;
        trainer.finish().await;

        trainer.check(4);
    });
}

// Guards against a trainer that waits forever or receives only part of a step, after it received all
// samples, crashed and pulls with the cursor of its checkpoint. This happens if the service relies
// on its own record of what it delivered.
#[test]
fn a_trainer_returns_from_its_checkpoint() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        trainer.pull(4).await;
        let (cursor, received) = (trainer.cursor.clone(), trainer.received.clone());
        trainer.finish().await;

        (trainer.cursor, trainer.received, trainer.done) = (cursor, received, false);
        trainer.finish().await;

        trainer.check(4);
    });
}

// Guards against the delivery of samples beyond the staleness bound, when the trainer and the engines
// advance by two versions between the end of the samples and the pull. This happens if the bound is
// checked only at the start of a sample.
#[test]
fn samples_that_became_too_stale_are_generated_again() {
    block(async {
        let mut config = rig_config();
        config.with_control = true;
        let rig = Rig::start(&config).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        let path = "/v1/weights/fitting";
        let state = async || {
            let states = rig.fleet().step_state(&trainer.step).await;
            states
                .into_iter()
                .find_map(|(_, state)| state.ok())
                .unwrap()
        };
        while state().await.ready < 16 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        for version in [2, 3] {
            let announce = json!({ "version": version });
            let answer = Call::json(rig.addrs()[0], "staff", path, &announce)
                .send()
                .await;
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }

        trainer.version = 3;
        trainer.finish().await;

        trainer.check(4);
        let state = rig.fleet().step_state(&trainer.step).await;
        let state = state.into_iter().find_map(|(_, state)| state.ok()).unwrap();
        assert_eq!(state.counts.stale, 16);
    });
}

#[test]
fn an_ended_step_is_not_found_at_any_entry() {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let trainer = Trainer::open(&rig, 2, 2).await;
        let path = format!("/v1/steps/{}", trainer.step);

        let end = Call::new(rig.addrs()[1], "staff", Method::DELETE, &path);
        let ended = end.send().await.unwrap();

        assert_eq!(ended.status, StatusCode::NO_CONTENT);
        let pull = trainer.pull_request(1).send().await.unwrap();
        assert_eq!(pull.problem().unwrap().kind, Type::NotFound);
        assert!(
            rig.standins
                .platform
                .state
                .dump("/snipeway/steps/")
                .is_empty()
        );
    });
}

#[parameterized(
    text = { "?" },
    other_step = { "AAAAAAAA" },
)]
fn a_foreign_cursor_is_refused(cursor: &str) {
    block(async {
        let rig = Rig::start(&rig_config()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 2, 2).await;
        trainer.cursor = cursor.into();

        let answer = trainer.pull_request(1).send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, Type::BadRequest);
    });
}

// Guards against a step that cannot be taken over after its entry was killed, because its prompts of
// more than a megabyte do not fit one value of the platform.
#[test]
fn a_large_step_is_taken_over() {
    block(async {
        let mut config = rig_config();
        config.extra_settings = "[limits]\nbody = 8000000\n".into();
        let mut rig = Rig::start(&config).await.unwrap();
        let prompts: Vec<_> = (0..4)
            .map(|g| format!("{g}{}", "x".repeat(400_000)))
            .collect();
        let open = json!({
            "model": "fitting", "groups": prompts, "samples": 1, "max_tokens": 16, "version": 1
        });
        let opened = Call::json(rig.addrs()[0], "staff", "/v1/steps", &open)
            .send()
            .await;
        let opened: OpenedStep = opened.unwrap().json().unwrap();

        rig.kill(0);

        let path = format!("/v1/steps/{}/pull", opened.step);
        let mut cursor = String::new();
        for _ in 0..100 {
            let pull = json!({ "version": 1, "cursor": cursor, "wait_ms": 500 });
            let answer = Call::json(rig.addrs()[0], "staff", &path, &pull)
                .send()
                .await
                .unwrap();
            let batch: Batch = answer.json().unwrap();
            cursor = batch.cursor;
            if batch.done {
                return;
            }
        }
        panic!("the step was not completed");
    });
}

fn make_scored(unscored: &str) -> RigConfig {
    let more = format!("staleness = 1\nscorer = portal\nunscored = {unscored}\n");
    RigConfig {
        services: 1,
        contracts: vec![contracts::text("staff", &more)],
        ..rig_config()
    }
}

#[test]
fn samples_are_scored_before_they_are_delivered() {
    block(async {
        let rig = Rig::start(&make_scored("wait")).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;

        trainer.finish().await;

        trainer.check(4);
        let has_right_score = |s: &Sample| s.score == Some(s.text.len() as f64);
        assert!(trainer.received.iter().all(has_right_score));
    });
}

// Guards against samples that are lost, or delivered without a score against the contract, while all
// scorers are down. This happens if only the request to the scorer holds the sample.
#[parameterized(
    wait = { "wait", true },
    pass = { "pass", false },
)]
fn unavailable_scorers_lose_no_sample(unscored: &str, delayed: bool) {
    block(async {
        let rig = Rig::start(&make_scored(unscored)).await.unwrap();
        let down = |on: bool| {
            for service in &rig.standins.services {
                service.host.faults.change(|fault| fault.down = on);
            }
        };
        down(true);
        let mut trainer = Trainer::open(&rig, 2, 2).await;
        for _ in 0..6 {
            trainer.pull(64).await;
        }
        let received_early = trainer.received.len();
        down(false);

        trainer.finish().await;

        trainer.check(2);
        assert_eq!(received_early == 0, delayed);
        assert_eq!(trainer.received.iter().all(|s| s.score.is_some()), delayed);
    });
}
