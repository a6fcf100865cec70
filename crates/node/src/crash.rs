//! Requests whose connection broke, and whether their upstream has ended with them.

use std::sync::Arc;
use std::time::Duration;

use http::header::AUTHORIZATION;
use http::header::HOST;
use http::request::Parts;
use poison::Print;
use table::Listed;

use crate::App;
use crate::run::Run;

/// Time that the look at an upstream may take: within a region a port that nobody listens on answers
/// within milliseconds, and one that says nothing in this time says nothing of its process.
const LOOK: Duration = Duration::from_millis(300);

/// What a request asks for. Its caller is what the request itself says of who sends it: addresses differ
/// from one connection of a caller to the next.
pub(crate) fn print(head: &Parts, body: &[u8]) -> Print {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = head.headers.get(AUTHORIZATION);
    let caller = caller.map_or(&b""[..], |caller| caller.as_bytes());
    Print::new(head.method.as_str(), &host, path, caller, body)
}

/// What a sample asks for.
pub(crate) fn sample(run: &Run, sample: &batch::Sample) -> Print {
    let host = run.host.to_ascii_lowercase();
    Print::new("POST", &host, &sample.path, b"", &sample.body)
}

/// Looks whether an upstream has ended after the connection of a request broke there.
///
/// A broken connection alone says nothing of the request: connections are reset, and answers are cut
/// off, by upstreams that live on. Nobody listens at the address of one that has crashed.
pub(crate) fn look(app: &Arc<App>, id: &Arc<str>, print: Print, one: &Arc<Listed>) {
    let (app, id, one) = (app.clone(), id.clone(), one.clone());
    tokio::spawn(async move {
        let ended = net::client::refuses(one.addr, LOOK).await;
        let outcome = if ended { "ended" } else { "lives" };
        let print = print.to_string();
        let leaving = app.roster.lock().get(&one.id).is_none_or(|one| one.leaving);
        log::info!(target: "crash", id = &*id, print = print.as_str(), upstream = &*one.id,
            leaving, outcome; "connection broke");
    });
}
