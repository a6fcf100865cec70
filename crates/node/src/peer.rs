//! What instances ask one another, as HTTP with MessagePack bodies.
//!
//! Everything here spares the platform calls or gets round an outage that concerns one instance;
//! nothing depends on an answer. Others are known from their entries at the platform.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use batch::record;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::Millis;
use net::Reply;
use net::SendError;
use plat::Answer;
use plat::Call;
use plat::PlatError;
use plat::Relay;
use plat::relay::Relayed;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::App;
use crate::board::Have;
use crate::board::News;
use crate::hint;
use crate::member::Member;
use crate::news::FRESH;
use crate::steps::accept;
use crate::steps::accept::Accepted;
use crate::steps::accept::Submission;

/// Time that an answer may take beyond what it may wait for: milliseconds within a region, and a
/// busy instance has a part of one core.
const LIMIT: Millis = 350;

/// Time that a relayed call may take beyond its own wait: the platform's time limit and ours.
const RELAY: Millis = 1_300;

/// Time that an answer to a question for news may take beyond what it may wait for: what is new has
/// to be in force within seconds, and one that is gone is noticed by this.
const NEWS: Millis = 200;

/// Time that an instance has to accept a step that is handed to it: the store may take half a second
/// on a slow day, and the trainer waits.
const HAND: Millis = 1_000;

/// Time that the keeper of a step's hint has to answer; the platform answers within milliseconds too.
const HINT: Millis = 120;

/// Others through which a call is tried: a third of all instances may be turned away at the same time.
const HELPERS: usize = 3;

/// Most bytes of a question or an answer.
const MOST: usize = 16 << 20;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Ask {
    /// Results of a step that the other one runs.
    Page {
        step: Arc<str>,
        from: usize,
        wait: Millis,
    },
    /// A step to accept.
    Submit(Submission),
    /// The body of a sample of a step that the other one runs.
    Body { step: Arc<str>, sample: Arc<str> },
    /// Who runs a step.
    Owner(Arc<str>),
    /// That an instance runs a step.
    Own { step: Arc<str>, owner: Arc<str> },
    /// A read of the platform that is newer than what the follower has.
    News { have: Have, wait: Millis },
    /// A call of the platform.
    Relay(Call),
}

/// An answer.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
enum Told {
    /// Nothing when the asking one had better take the step.
    Submit(Option<Accepted>),
    /// Nothing when the step is not run here; inside, nothing when it has no such sample.
    Body(Option<Option<Vec<u8>>>),
    Owner(Option<Arc<str>>),
    Noted,
    News(Option<News>),
    /// There is no newer read, since the platform does not answer.
    Blind,
    Relay(Result<Answer, PlatError>),
}

/// Answers a question.
pub async fn answer(app: &Arc<App>, call: net::Call) -> Reply {
    let body = match net::body::read(call.body, MOST).await {
        Ok(body) => body,
        Err(error) => return improper(&error),
    };
    let told = match record::decode(&body) {
        Ok(Ask::Page { step, from, wait }) => return tell_page(app, &step, from, wait).await,
        Ok(ask) => tell(app, ask).await,
        Err(error) => return improper(&error),
    };
    match record::encode(&told) {
        Ok(bytes) => net::body::reply(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => improper(&error),
    }
}

fn improper(error: &dyn std::fmt::Display) -> Reply {
    let error = error.to_string();
    log::warn!(target: "peer", error = error.as_str(); "improper question");
    net::body::reply(StatusCode::BAD_REQUEST, "text/plain", error)
}

/// Answers with results as they go to the caller, or with nothing when this instance is not sure of
/// them.
async fn tell_page(app: &Arc<App>, step: &Arc<str>, from: usize, wait: Millis) -> Reply {
    let page = match app.works.get(step) {
        Some(work) => work.page(app, from, wait).await,
        None => None,
    };
    match page {
        Some(page) => page.reply(app, from),
        None => net::body::reply(StatusCode::NO_CONTENT, "text/plain", Vec::new()),
    }
}

async fn tell(app: &Arc<App>, ask: Ask) -> Told {
    match ask {
        // Answered with the results themselves.
        Ask::Page { .. } => Told::Noted,
        Ask::Submit(submission) => Told::Submit(accept::handed(app, submission).await),
        Ask::Body { step, sample } => {
            let work = app.works.get(&step);
            Told::Body(work.map(|work| work.body(&sample)))
        }
        Ask::Owner(step) => Told::Owner(hint::known(app, &step)),
        Ask::Own { step, owner } => {
            hint::note(app, step, owner);
            Told::Noted
        }
        Ask::News { have, wait } => match newer(app, have, wait).await {
            None if app.is_blind() => Told::Blind,
            news => Told::News(news),
        },
        Ask::Relay(_) if app.plat.is_turned_away() => Told::Relay(Err(PlatError::Unreachable)),
        // Never through a third one: two that are turned away would ask each other forever.
        Ask::Relay(call) => Told::Relay(app.plat.direct(&call).await),
    }
}

/// Waits for something that a follower does not have yet.
async fn newer(app: &App, have: Have, wait: Millis) -> Option<News> {
    let mut counts = app.news.subscribe();
    let newer = counts.wait_for(|_| {
        let board = app.board.lock();
        // Told by its count alone, one that was started anew would never have anything new.
        let other = board.count() != have.count;
        other && board.is_fresh(app.clock.now(), FRESH)
    });
    let found = tokio::time::timeout(Duration::from_millis(wait), newer).await;
    // Neither over time nor dropped.
    found.ok()?.ok()?;
    Some(app.board.lock().since(have))
}

fn question(addr: SocketAddr, ask: &Ask) -> Option<Request<Full<Bytes>>> {
    let body = record::encode(ask).ok()?;
    Request::post(net::client::uri(addr, "/peer"))
        .body(Full::new(Bytes::from(body)))
        .ok()
}

fn silent(addr: SocketAddr, error: &SendError) {
    let (error, addr) = (error.to_string(), addr.to_string());
    log::debug!(target: "peer", address = addr.as_str(), error = error.as_str();
        "no answer from a peer");
}

async fn ask(app: &App, addr: SocketAddr, ask: &Ask, limit: Millis) -> Option<Told> {
    let request = question(addr, ask)?;
    let limit = Duration::from_millis(limit);
    match app.peers.fetch(request, limit, MOST).await {
        Ok(answer) => record::decode(answer.body()).ok(),
        Err(error) => {
            silent(addr, &error);
            None
        }
    }
}

/// Asks the owner of a step for results; [`None`] when it does not answer or is not sure.
///
/// They are passed on as they come. Read whole, decoded and written anew they took some times the
/// megabyte that an answer may have, at each of dozens of instances that callers read at.
pub async fn page(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
) -> Option<Reply> {
    let addr = address(app, owner)?;
    let ask = Ask::Page {
        step: step.clone(),
        from,
        wait,
    };
    let request = question(addr, &ask)?;
    let limit = Duration::from_millis(wait + LIMIT);
    match app.peers.send(request, limit).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let kind = answer.headers().get(CONTENT_TYPE).cloned();
            let mut reply = Reply::new(net::body::pass(answer.into_body()));
            reply
                .headers_mut()
                .extend(kind.map(|kind| (CONTENT_TYPE, kind)));
            Some(reply)
        }
        Ok(_) => None,
        Err(error) => {
            silent(addr, &error);
            None
        }
    }
}

/// The address of an instance that has entered.
fn address(app: &App, instance: &str) -> Option<SocketAddr> {
    let members = app.members.lock();
    let found = members.iter().find(|one| &*one.owner.instance == instance);
    found.map(|one| one.addr)
}

/// Asks the owner of a step for the body of a sample; [`None`] when it does not run the step.
pub async fn body(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    sample: &Arc<str>,
) -> Option<Option<Vec<u8>>> {
    let addr = address(app, owner)?;
    let question = Ask::Body {
        step: step.clone(),
        sample: sample.clone(),
    };
    match ask(app, addr, &question, LIMIT).await? {
        Told::Body(body) => body,
        _ => None,
    }
}

/// Hands a step over; [`None`] when the other one does not take it, or nothing was heard of it. It
/// may have accepted the step all the same.
pub async fn submit(app: &App, to: SocketAddr, submission: &Submission) -> Option<Accepted> {
    let question = Ask::Submit(submission.clone());
    match ask(app, to, &question, HAND).await? {
        Told::Submit(accepted) => accepted,
        _ => None,
    }
}

/// Tells the keeper of a step's hint who runs it.
pub async fn own(app: &App, keeper: SocketAddr, step: Arc<str>, owner: Arc<str>) {
    // It need not arrive.
    let _ = ask(app, keeper, &Ask::Own { step, owner }, HINT).await;
}

/// Asks the keeper of a step's hint who runs it.
pub async fn owner(app: &App, keeper: SocketAddr, step: &Arc<str>) -> Option<Arc<str>> {
    match ask(app, keeper, &Ask::Owner(step.clone()), HINT).await? {
        Told::Owner(owner) => owner,
        _ => None,
    }
}

/// What was heard from whoever reads the platform.
pub enum Heard {
    /// A newer read.
    News(News),
    /// The platform does not answer it.
    Blind,
    /// It had none in time, or did not answer.
    Nothing,
}

/// The addresses of all other instances.
fn others(app: &App) -> Vec<SocketAddr> {
    let members = app.members.lock();
    let others = members
        .iter()
        .filter(|one| one.owner.instance != app.me.instance);
    others.map(|one| one.addr).collect()
}

/// Asks another instance for a read that is newer than what this one has.
pub async fn news(app: &App, addr: SocketAddr, have: Have, wait: Millis) -> Heard {
    match ask(app, addr, &Ask::News { have, wait }, wait + NEWS).await {
        Some(Told::News(Some(news))) => Heard::News(news),
        Some(Told::Blind) => Heard::Blind,
        _ => Heard::Nothing,
    }
}

/// Whom an instance follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    /// Whom it asks first; [`None`] when it reads the platform itself.
    pub main: Option<SocketAddr>,
    /// Whom it asks then; without one it reads the platform itself.
    pub spare: Option<SocketAddr>,
    /// Whether the first one follows somebody else.
    pub far: bool,
}

/// Whom this instance follows.
pub fn sources(app: &App) -> Sources {
    let members = app.members.lock();
    pick(&members, &app.me.instance, &app.settings.domain)
}

/// Whom an instance follows, by processor and then by name. The first one of all reads the platform. The first one of each other
/// failure domain follows it. The second one of a domain follows the first one there, and the rest
/// follow both.
///
/// # Examples
///
/// ```
/// use node::member::Member;
/// use node::peer::pick;
///
/// let member = |name: &str, domain: &str, port| Member {
///     owner: batch::Owner { instance: name.into(), start: 1 },
///     domain: domain.into(),
///     addr: ([127, 0, 0, 1], port).into(),
///     reads: true,
///     power: 50,
/// };
/// let members = [
///     member("n1", "nord", 1),
///     member("s1", "syd", 2),
///     member("s2", "syd", 3),
///     member("s3", "syd", 4),
/// ];
/// let addr = |port| Some(([127, 0, 0, 1], port).into());
/// let sources = |name, domain| {
///     let sources = pick(&members, name, domain);
///     (sources.main, sources.spare, sources.far)
/// };
/// assert_eq!(sources("n1", "nord"), (None, None, false));
/// assert_eq!(sources("s1", "syd"), (addr(1), None, false));
/// assert_eq!(sources("s2", "syd"), (addr(2), None, true));
/// assert_eq!(sources("s3", "syd"), (addr(2), addr(3), true));
/// ```
pub fn pick(members: &[Member], me: &str, domain: &str) -> Sources {
    let mut readers: Vec<_> = members.iter().filter(|one| one.reads).collect();
    // The strongest first: whoever reads for all has the whole list to read, page by page.
    readers.sort_by_key(|one| {
        let name = (one.domain.clone(), one.owner.instance.clone());
        (Reverse(one.power), name)
    });
    let Some(first) = readers.first() else {
        return Sources::default();
    };
    let mut near = readers.iter().filter(|one| *one.domain == *domain);
    let (head, deputy) = (near.next(), near.next());
    let is_me = |one: &&&Member| *one.owner.instance == *me;
    let Some(head) = head else {
        // Nobody else of this domain is known: it follows the first one of all.
        return Sources {
            main: Some(first.addr),
            ..Sources::default()
        };
    };
    if is_me(&head) {
        let main = (first.addr != head.addr).then_some(first.addr);
        return Sources {
            main,
            ..Sources::default()
        };
    }
    Sources {
        main: Some(head.addr),
        spare: deputy.filter(|one| !is_me(one)).map(|one| one.addr),
        far: head.addr != first.addr,
    }
}

/// Makes calls of the platform through another instance.
pub struct Through(pub Weak<App>);

impl Relay for Through {
    fn relay(&self, call: Call) -> Relayed {
        let app = self.0.clone();
        Box::pin(async move {
            let app = app.upgrade().ok_or(PlatError::Unreachable)?;
            through(&app, call).await
        })
    }
}

/// Makes a call through the instance that helped last, or through others in turn. With a third of all
/// instances turned away, one that asked a single other at random could write nothing for a second
/// whenever it met one of them.
async fn through(app: &App, call: Call) -> Result<Answer, PlatError> {
    let wait = match &call {
        Call::Poll { wait, .. } => *wait,
        _ => 0,
    };
    let mut failed = PlatError::Unreachable;
    for addr in helpers(app) {
        match ask(app, addr, &Ask::Relay(call.clone()), wait + RELAY).await {
            Some(Told::Relay(Err(error))) if error.is_away() && !error.is_unclear() => {
                failed = error;
            }
            Some(Told::Relay(answer)) => {
                app.set_helper(Some(addr));
                return answer;
            }
            // Nobody knows whether the other one has sent it.
            _ => {
                app.set_helper(None);
                return Err(PlatError::Silent);
            }
        }
    }
    app.set_helper(None);
    Err(failed)
}

/// The instances through which a call is tried, the one that helped last first.
fn helpers(app: &App) -> Vec<SocketAddr> {
    let mut others = others(app);
    others.shuffle(&mut rand::rng());
    let last = app.helper();
    others.sort_by_key(|addr| Some(*addr) != last);
    others.truncate(HELPERS);
    others
}
