//! Fingerprints of requests and samples, independent of the request IDs of their attempts.

use batch::Sample;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http::request::Parts;
use poison::Fingerprint;
use poison::Identity;
use team::Principal;

/// The fingerprint of a request. The caller is identified by its team, so that a second API key of the team does not
/// restart the count of crashes, or else by the `Authorization` header: the address of a caller differs from one
/// connection to the next.
pub(crate) fn request(head: &Parts, principal: &Principal, body: &[u8]) -> Fingerprint {
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
    Fingerprint::new(head.method.as_str(), &host, path, caller, body)
}

/// The identity of a request for a score. A step sends such requests by the hundred, each with the text of another
/// sample, so the requests of a caller to one path form a group.
pub(crate) fn score(head: &Parts, principal: &Principal, body: &[u8]) -> Identity {
    Identity {
        exact: request(head, principal, body),
        group: request(head, principal, b""),
    }
}

/// The identity of a sample: samples of a team with the same path and headers form a group, whatever their bodies.
pub(crate) fn sample(host: &str, team: Option<&str>, sample: &Sample) -> Identity {
    let host = host.to_ascii_lowercase();
    let team = team.unwrap_or_default().as_bytes();
    let mut group = team.to_vec();
    group.push(b'\n');
    for (name, value) in &sample.headers {
        // Neither a name nor a value contains a line feed.
        group.extend_from_slice(format!("{name}\n{value}\n").as_bytes());
    }
    Identity {
        exact: Fingerprint::new("POST", &host, &sample.path, team, &sample.body),
        group: Fingerprint::new("POST", &host, &sample.path, b"kin", &group),
    }
}

/// A fingerprint by which a later step finds the draft of a sample. It differs between samples whose requests differ,
/// even if their IDs are the same, and between teams.
pub(crate) fn leftover(team: Option<&str>, sample: &Sample) -> u64 {
    let team = team.unwrap_or_default();
    let digest = kernel::digest(&[team.as_bytes(), &sample.fingerprint().to_be_bytes()]);
    u64::from_be_bytes(digest)
}
