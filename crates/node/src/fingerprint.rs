//! Fingerprints of calls and samples, independent of the request IDs of their attempts.

use batch::Sample;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http::request::Parts;
use net::Payload;
use poison::Fingerprint;
use team::Principal;

/// The fingerprint of a request. The caller is identified by its team, so that a second API key of the team does not
/// restart the count of crashes, or else by the `Authorization` header: the address of a caller differs from one
/// connection to the next.
pub(crate) fn request(head: &Parts, principal: &Principal, body: &Payload) -> Fingerprint {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let authorization = head.headers.get(AUTHORIZATION);
    let caller = match principal {
        Principal::NoTeams => authorization.map_or(&b""[..], |value| value.as_bytes()),
        Principal::Anonymous => b"",
        Principal::Team(team) => team.as_bytes(),
    };
    let host = host.to_ascii_lowercase();
    Fingerprint::of_segments(head.method.as_str(), &host, path, caller, body.segments())
}

/// A fingerprint by which a later step finds the draft of a sample. It differs between samples whose requests differ,
/// even if their IDs are the same, and between teams.
pub(crate) fn leftover(team: Option<&str>, sample: &Sample) -> u64 {
    let team = team.unwrap_or_default();
    let digest = kernel::digest(&[team.as_bytes(), &sample.fingerprint().to_be_bytes()]);
    u64::from_be_bytes(digest)
}
