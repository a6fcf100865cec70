//! What requests ask for, whatever their attempts are called.

use batch::Sample;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http::request::Parts;
use poison::Fingerprint;
use poison::Identity;
use team::Principal;

/// What a request asks for. Its caller is its team, so that a second key does not begin the count anew, or
/// what the request itself says of who sends it: addresses differ from one connection of a caller to the next.
pub(crate) fn request(head: &Parts, principal: &Principal, body: &[u8]) -> Fingerprint {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let said = head.headers.get(AUTHORIZATION);
    let caller = match principal {
        Principal::NoTeams => said.map_or(&b""[..], |said| said.as_bytes()),
        Principal::Anonymous => b"",
        Principal::Team(team) => team.as_bytes(),
    };
    let host = host.to_ascii_lowercase();
    Fingerprint::new(head.method.as_str(), &host, path, caller, body)
}

/// How a request for a score is known. Steps bring such requests by the hundred, each with the text of its
/// own sample, so those of one path are kin.
pub(crate) fn score(head: &Parts, principal: &Principal, body: &[u8]) -> Identity {
    Identity {
        exact: request(head, principal, body),
        group: request(head, principal, b""),
    }
}

/// How a sample is known: samples of one path whose headers ask for the same are kin, whatever their bytes.
pub(crate) fn sample(host: &str, team: Option<&str>, sample: &Sample) -> Identity {
    let host = host.to_ascii_lowercase();
    let team = team.unwrap_or_default().as_bytes();
    let mut asked = team.to_vec();
    asked.push(b'\n');
    for (name, value) in &sample.headers {
        // A line feed stands in neither.
        asked.extend_from_slice(format!("{name}\n{value}\n").as_bytes());
    }
    Identity {
        exact: Fingerprint::new("POST", &host, &sample.path, team, &sample.body),
        group: Fingerprint::new("POST", &host, &sample.path, b"kin", &asked),
    }
}

/// A number that differs between samples whose requests differ, though their names be alike, and between teams.
pub(crate) fn leftover(team: Option<&str>, sample: &Sample) -> u64 {
    let team = team.unwrap_or_default();
    let of = kernel::digest(&[team.as_bytes(), &sample.fingerprint().to_be_bytes()]);
    u64::from_be_bytes(of)
}
