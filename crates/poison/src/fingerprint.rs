//! What a request asks for, whatever its attempts are called.

use std::fmt;

use kernel::digest;
use serde::Deserialize;
use serde::Serialize;

/// The digest of what a request asks for: the same for each attempt, at every instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Makes the digest of a request. `caller` is what the request says of who sends it, if it says so.
    ///
    /// # Examples
    ///
    /// ```
    /// use poison::Fingerprint;
    ///
    /// let one = Fingerprint::new("POST", "shop.example", "/plain/a?b=c", b"", b"body");
    /// assert_eq!(one, Fingerprint::new("POST", "shop.example", "/plain/a?b=c", b"", b"body"));
    /// assert_ne!(one, Fingerprint::new("POST", "shop.example", "/plain/a?b=c", b"Token k", b"body"));
    /// ```
    pub fn new(method: &str, host: &str, path: &str, caller: &[u8], body: &[u8]) -> Self {
        let head = [method, host, path].map(str::as_bytes);
        let [method, host, path] = head;
        let parts = [method, host, path, caller, body];
        Self(u128::from_be_bytes(digest(&parts)))
    }
}

/// How a request is known when upstreams crash under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// What it asks for, to the byte.
    pub exact: Fingerprint,
    /// What it has in common with work of other bytes that crashes upstreams as it does: the samples of
    /// one prompt, or requests for scores at one path.
    pub group: Fingerprint,
}

impl From<Fingerprint> for Identity {
    /// A request that has nothing in common with others.
    fn from(exact: Fingerprint) -> Self {
        Self {
            exact,
            group: exact,
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
