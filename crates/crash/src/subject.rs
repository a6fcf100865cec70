//! Requests under which upstreams crash.

use poison::Fingerprint;

/// A request that is sent to upstreams, as far as their crashes concern it.
///
/// # Examples
///
/// ```
/// use crash::Subject;
/// use poison::Fingerprint;
///
/// let fingerprint = Fingerprint::new("GET", "shop.example", "/a", b"", b"");
/// assert_eq!(Subject::Call(fingerprint).fingerprint(), Some(fingerprint));
/// assert_eq!(Subject::Item.fingerprint(), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A call. Its crashes are counted, and it is rejected once they show that it crashes upstreams.
    Call(Fingerprint),
    /// An item of a step or a batch job, or the request for its score. It is retried until it completes or its step
    /// ends, however many upstreams crash while running it, so its crashes are not counted and restrict nothing.
    Item,
}

impl Subject {
    /// Returns the fingerprint under which crashes are counted; [`None`] if they are not.
    pub fn fingerprint(self) -> Option<Fingerprint> {
        match self {
            Self::Call(fingerprint) => Some(fingerprint),
            Self::Item => None,
        }
    }
}
