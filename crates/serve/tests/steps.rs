//! Steps under faults: whole, fresh, named, exactly once.

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

const MEDIAN: u32 = 40;
const TOKENS: u32 = 300;

fn make() -> RigConfig {
    RigConfig {
        engine: engine::Make {
            median: MEDIAN,
            ..engine::Make::default()
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

/// A trainer that keeps what it took, apart from the code under test.
struct Trainer {
    to: Vec<SocketAddr>,
    at: usize,
    step: String,
    total: u32,
    version: u64,
    cursor: String,
    got: Vec<Sample>,
    done: bool,
}

impl Trainer {
    async fn open(rig: &Rig, groups: usize, samples: u32) -> Self {
        let to = rig.addrs();
        let prompts: Vec<_> = (0..groups).map(|g| format!("case {g}")).collect();
        let open = json!({
            "model": "fitting", "groups": prompts, "samples": samples, "max_tokens": TOKENS,
            "version": 1,
        });
        let answer = Call::json(to[0], "staff", "/v1/steps", &open)
            .send()
            .await
            .unwrap();
        let opened: OpenedStep = answer.json().unwrap();
        Self {
            to,
            at: 0,
            step: opened.step,
            total: opened.total,
            version: 1,
            cursor: String::new(),
            got: Vec::new(),
            done: false,
        }
    }

    fn asked(&self, limit: usize) -> Call {
        let path = format!("/v1/steps/{}/pull", self.step);
        let pull = json!({
            "version": self.version, "cursor": self.cursor, "limit": limit, "wait_ms": 500,
        });
        Call::json(self.to[self.at % self.to.len()], "staff", &path, &pull)
    }

    /// Pulls once and takes the batch; another entry is next when this one does not answer.
    async fn pull(&mut self, limit: usize) -> bool {
        match self.asked(limit).send().await {
            Ok(answer) if answer.status == StatusCode::OK => {
                let batch: Batch = answer.json().unwrap();
                self.got
                    .extend(batch.samples.iter().map(|sample| (**sample).clone()));
                self.cursor = batch.cursor;
                self.done = batch.done;
                true
            }
            Ok(_) | Err(_) => {
                self.at += 1;
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
            "the step did not become whole; {} of {}",
            self.got.len(),
            self.total
        );
    }

    /// Checks every promise on what was taken.
    fn check(&self, samples: u32) {
        let mut indexes: Vec<_> = self.got.iter().map(|s| s.index).collect();
        indexes.sort_unstable();
        assert_eq!(
            indexes,
            (0..self.total).collect::<Vec<_>>(),
            "each exactly once"
        );
        for sample in &self.got {
            let prompt = format!("case {}", sample.index / samples);
            let seed = u64::from(sample.index);
            let tokens = text::length(&prompt, seed, MEDIAN, TOKENS);
            assert_eq!(
                sample.text,
                text::whole(&prompt, seed, tokens),
                "whole and its own"
            );
            assert_eq!(sample.spans.first().map(|s| s.from), Some(0));
            assert_eq!(
                sample.spans.last().map(|s| s.to),
                Some(tokens),
                "named to the end"
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
fn a_step_becomes_whole(fault: Fault) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        rig.standins.engines[0].host.faults.set(fault);
        let mut trainer = Trainer::open(&rig, 8, 4).await;

        trainer.finish().await;

        trainer.check(4);
    });
}

// Symptom: a step stalls, or samples come twice, after an entry crashed.
// Sequence: the entry that works on the step is killed with some samples delivered and some not.
// Cause: progress that is known only to the instance that died.
#[test]
fn a_killed_entry_loses_no_sample_and_doubles_none() {
    block(async {
        let mut rig = Rig::start(&make()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 8, 4).await;
        while trainer.got.len() < 5 {
            trainer.pull(5).await;
        }

        rig.kill(0);
        trainer.finish().await;

        trainer.check(4);
        let states = rig.fleet().step(&trainer.step).await;
        let state: &StepState = states[0].1.as_ref().unwrap();
        assert_eq!(&*state.instance, "syd-0");
        assert!(state.events[0].what.contains("held"), "{:?}", state.events);
    });
}

// Symptom: the answer to a pull is lost and its samples with it.
// Sequence: the trainer does not get the answer and pulls again with the same cursor, elsewhere.
// Cause: counting as delivered what was sent.
#[test]
fn a_lost_batch_comes_again() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        for _ in 0..6 {
            let _lost = trainer.asked(3).send().await.unwrap();
            trainer.at += 1;
            trainer.pull(2).await;
        }

        trainer.finish().await;

        trainer.check(4);
    });
}

// Symptom: a step stops while the platform is away.
// Sequence: the platform goes away right after the step is opened, or before.
// Cause: a write to the platform on the path of samples.
#[parameterized(
    after = { false },
    before = { true },
)]
fn a_step_goes_on_without_the_platform(before: bool) {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let down = Fault {
            down: true,
            ..Fault::default()
        };
        if before {
            rig.standins.platform.host.faults.set(down);
        }
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        rig.standins.platform.host.faults.set(down);

        trainer.at = 1;
        trainer.finish().await;

        trainer.check(4);
    });
}

// Symptom: a trainer that came back from its checkpoint waits for ever, or trains on a part.
// Sequence: it took the whole step, crashed, and pulls with the cursor of its checkpoint.
// Cause: a service that insists on its own record of what was delivered.
#[test]
fn a_trainer_returns_from_its_checkpoint() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        trainer.pull(4).await;
        let (cursor, got) = (trainer.cursor.clone(), trainer.got.clone());
        trainer.finish().await;

        (trainer.cursor, trainer.got, trainer.done) = (cursor, got, false);
        trainer.finish().await;

        trainer.check(4);
    });
}

// Symptom: a trainer learns from samples beyond its bound.
// Sequence: samples are finished, and the trainer moves two versions on before it pulls them; the
// engines follow.
// Cause: the bound checked when the sample was begun only.
#[test]
fn samples_that_grew_too_old_are_made_again() {
    block(async {
        let mut make = make();
        make.with_control = true;
        let rig = Rig::start(&make).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;
        let path = "/v1/weights/fitting";
        let state = async || {
            let states = rig.fleet().step(&trainer.step).await;
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
        let state = rig.fleet().step(&trainer.step).await;
        let state = state.into_iter().find_map(|(_, state)| state.ok()).unwrap();
        assert_eq!(state.counts.stale, 16);
    });
}

#[test]
fn an_ended_step_is_gone_everywhere() {
    block(async {
        let rig = Rig::start(&make()).await.unwrap();
        let trainer = Trainer::open(&rig, 2, 2).await;
        let path = format!("/v1/steps/{}", trainer.step);

        let end = Call::new(rig.addrs()[1], "staff", Method::DELETE, &path);
        let ended = end.send().await.unwrap();

        assert_eq!(ended.status, StatusCode::NO_CONTENT);
        let pull = trainer.asked(1).send().await.unwrap();
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
        let rig = Rig::start(&make()).await.unwrap();
        let mut trainer = Trainer::open(&rig, 2, 2).await;
        trainer.cursor = cursor.into();

        let answer = trainer.asked(1).send().await.unwrap();

        assert_eq!(answer.problem().unwrap().kind, Type::BadRequest);
    });
}

// Symptom: the step's prompts do not fit one value of the platform, and cannot be taken over.
// Sequence: a step with prompts of more than a megabyte is opened; its entry is killed.
// Cause: one value for a whole step.
#[test]
fn a_large_step_is_taken_over() {
    block(async {
        let mut make = make();
        make.extra_settings = "[limits]\nbody = 8000000\n".into();
        let mut rig = Rig::start(&make).await.unwrap();
        let prompts: Vec<_> = (0..4)
            .map(|g| format!("{g}{}", "x".repeat(400_000)))
            .collect();
        let open = json!({
            "model": "fitting", "groups": prompts, "samples": 1, "max_tokens": 16, "version": 1,
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
        panic!("the step did not become whole");
    });
}

fn scored(unscored: &str) -> RigConfig {
    let more = format!("staleness = 1\nscorer = portal\nunscored = {unscored}\n");
    RigConfig {
        services: 1,
        contracts: vec![contracts::text("staff", &more)],
        ..make()
    }
}

#[test]
fn samples_are_scored_before_they_are_delivered() {
    block(async {
        let rig = Rig::start(&scored("wait")).await.unwrap();
        let mut trainer = Trainer::open(&rig, 4, 4).await;

        trainer.finish().await;

        trainer.check(4);
        let right = |s: &Sample| s.score == Some(s.text.len() as f64);
        assert!(trainer.got.iter().all(right));
    });
}

// Symptom: samples are lost, or come without a score, while the scorer is dead.
// Sequence: every scorer is down for a while; the contract says wait, or pass.
// Cause: a sample that is handed to the scorer and kept nowhere else.
#[parameterized(
    wait = { "wait", true },
    pass = { "pass", false },
)]
fn a_dead_scorer_loses_nothing(unscored: &str, delayed: bool) {
    block(async {
        let rig = Rig::start(&scored(unscored)).await.unwrap();
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
        let early = trainer.got.len();
        down(false);

        trainer.finish().await;

        trainer.check(2);
        assert_eq!(early == 0, delayed);
        assert_eq!(trainer.got.iter().all(|s| s.score.is_some()), delayed);
    });
}
