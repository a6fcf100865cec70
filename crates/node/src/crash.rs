//! Requests that crash the upstreams that run them.
//!
//! What a request may do is decided by [`poison::Ledger`]; here crashes are noticed, and [`report`] tells
//! other instances of them.

pub(crate) mod report;

use std::sync::Arc;
use std::time::Duration;

use batch::Sample;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http::request::Parts;
use kernel::Millis;
use poison::Change;
use poison::Print;
use poison::Verdict;
use table::Listed;
use tokio::task::JoinHandle;

use crate::App;
use crate::meter;

/// Time that the look at an upstream may take: within a region a port that nobody listens on answers
/// within milliseconds, and one that says nothing in this time says nothing of its process.
const LOOK: Duration = Duration::from_millis(300);

/// What a request asks for. Its caller is what the request itself says of who sends it: addresses differ
/// from one connection of a caller to the next.
pub(crate) fn print(head: &Parts, body: &[u8]) -> Print {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = head.headers.get(AUTHORIZATION);
    let caller = caller.map_or(&b""[..], |caller| caller.as_bytes());
    let host = host.to_ascii_lowercase();
    Print::new(head.method.as_str(), &host, path, caller, body)
}

/// What a sample asks for.
pub(crate) fn sample(host: &str, sample: &Sample) -> Print {
    let host = host.to_ascii_lowercase();
    Print::new("POST", &host, &sample.path, b"", &sample.body)
}

/// What may be done with a request. Its digest is made only where anything is known of any.
pub(crate) fn verdict(app: &App, print: impl FnOnce() -> Print) -> Verdict {
    let ledger = app.poison.lock();
    match ledger.is_empty() {
        true => Verdict::Free,
        false => ledger.verdict(print(), app.clock.wall()),
    }
}

/// The time for which a request may not run, if it may not.
pub(crate) fn quarantine(app: &App, print: impl FnOnce() -> Print) -> Option<Millis> {
    match verdict(app, print) {
        Verdict::Quarantined(left) => Some(left),
        Verdict::Free | Verdict::Suspect => None,
    }
}

/// Notes that an upstream has answered a request whole.
pub(crate) fn whole(app: &App, print: impl FnOnce() -> Print) {
    let mut ledger = app.poison.lock();
    if ledger.is_empty() {
        return;
    }
    ledger.whole(print(), app.clock.wall());
    tell(app, ledger.changes());
}

/// A suspect at an upstream, for as long as it is there.
pub(crate) struct Stay {
    app: Arc<App>,
    print: Print,
    upstream: Arc<str>,
}

impl Drop for Stay {
    fn drop(&mut self) {
        self.app.poison.lock().leave(self.print, &self.upstream);
    }
}

/// Notes that a request goes to an upstream, if it is a suspect.
pub(crate) fn stay(
    app: &Arc<App>,
    print: impl FnOnce() -> Print,
    upstream: &Arc<str>,
) -> Option<Stay> {
    let mut ledger = app.poison.lock();
    if ledger.is_empty() {
        return None;
    }
    let print = print();
    if ledger.verdict(print, app.clock.wall()) == Verdict::Free {
        return None;
    }
    ledger.enter(print, upstream);
    Some(Stay {
        app: app.clone(),
        print,
        upstream: upstream.clone(),
    })
}

/// The upstreams that a request had better keep away from: suspects run apart from one another, so that the
/// next crash tells the culprit from what was beside it.
pub(crate) fn apart(app: &App, print: impl FnOnce() -> Print) -> Vec<Arc<str>> {
    let ledger = app.poison.lock();
    if ledger.is_empty() {
        return Vec::new();
    }
    let print = print();
    match ledger.verdict(print, app.clock.wall()) {
        Verdict::Free => Vec::new(),
        Verdict::Suspect | Verdict::Quarantined(_) => ledger.taken(print).cloned().collect(),
    }
}

/// Looks whether an upstream has crashed after the connection of a request broke there, and notes it.
///
/// A broken connection alone says nothing of the request: connections are reset, and answers are cut
/// off, by upstreams that live on. Nobody listens at the address of one that has crashed. One that was about
/// to leave, or is not listed any more, may have ended by itself.
pub(crate) fn look(
    app: &Arc<App>,
    id: &Arc<str>,
    print: Print,
    one: &Arc<Listed>,
) -> JoinHandle<()> {
    let (app, id, one) = (app.clone(), id.clone(), one.clone());
    tokio::spawn(async move {
        let refused = net::client::refuses(one.addr, LOOK).await;
        let leaving = {
            let roster = app.roster.lock();
            roster.get(&one.id).is_none_or(|one| one.leaving)
        };
        let outcome = match (refused, leaving) {
            (true, false) => "crashed",
            (true, true) => "left",
            (false, _) => "lives",
        };
        let name = print.to_string();
        log::info!(target: "crash", id = &*id, print = name.as_str(), upstream = &*one.id,
            outcome; "connection broke");
        if refused && !leaving {
            crashed(&app, print, &one.id);
        }
    })
}

fn crashed(app: &App, print: Print, upstream: &Arc<str>) {
    metrics::counter!(meter::CRASHES).increment(1);
    let mut ledger = app.poison.lock();
    ledger.crashed(print, upstream, app.clock.wall());
    tell(app, ledger.changes());
    drop(ledger);
    app.crashes.notify_one();
}

/// Writes what is believed of requests now and was not.
fn tell(app: &App, changes: Vec<Change>) {
    for change in changes {
        let print = change.print.to_string();
        let what = match change.quarantined {
            true => "request quarantined",
            false => "request released",
        };
        log::warn!(target: "crash", print = print.as_str(), crashes = change.crashes; "{what}");
        // A change of belief may let samples go on, or end the wait of others for their places.
        app.room.notify_waiters();
    }
}

/// Forgets what counts no more.
pub(crate) fn tidy(app: &App) {
    let mut ledger = app.poison.lock();
    if ledger.is_empty() {
        return;
    }
    ledger.prune(app.clock.wall());
    tell(app, ledger.changes());
    metrics::gauge!(meter::QUARANTINED).set(ledger.quarantined() as f64);
}
