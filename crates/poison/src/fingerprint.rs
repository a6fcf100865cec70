//! Content digests that identify a request across attempts and instances.

use std::fmt;

use kernel::digest_segments;
use serde::Deserialize;
use serde::Serialize;

/// The digest of a request's content, which is the same for each attempt at every instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the digest of a request. `caller` identifies the sender; empty if the request does not name one.
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
        Self::of_segments(method, host, path, caller, std::iter::once(body))
    }

    /// Like [`Fingerprint::new`], with a body in segments.
    pub fn of_segments<'a>(
        method: &str,
        host: &str,
        path: &str,
        caller: &[u8],
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Self {
        let [method, host, path] = [method, host, path].map(str::as_bytes);
        let head = [method, host, path, caller];
        Self(u128::from_be_bytes(digest_segments(&head, body)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
