//! SHA-256 over several byte strings.

use sha2::Digest;
use sha2::Sha256;

/// Returns the first `N` bytes, at most 32, of the SHA-256 digest of `parts`.
///
/// Clients control the input, so the hash has to be collision-resistant.
///
/// # Examples
///
/// ```
/// use kernel::digest;
///
/// // Each part is prefixed with its length.
/// assert_ne!(digest::<16>(&[b"ab", b"c"]), digest::<16>(&[b"a", b"bc"]));
/// ```
pub fn digest<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    truncate(hasher)
}

/// Returns the digest of `parts` and a last part in segments: the same as [`digest`] returns if that part is in one.
///
/// # Examples
///
/// ```
/// use kernel::digest;
/// use kernel::digest_segments;
///
/// let segments = [&b"bo"[..], &b"dy"[..]];
/// assert_eq!(digest_segments::<16>(&[b"a"], segments.into_iter()), digest::<16>(&[b"a", b"body"]));
/// ```
pub fn digest_segments<'a, const N: usize>(
    parts: &[&[u8]],
    last: impl Iterator<Item = &'a [u8]> + Clone,
) -> [u8; N] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let length: usize = last.clone().map(<[u8]>::len).sum();
    hasher.update((length as u64).to_be_bytes());
    last.for_each(|segment| hasher.update(segment));
    truncate(hasher)
}

fn truncate<const N: usize>(hasher: Sha256) -> [u8; N] {
    let hash: [u8; 32] = hasher.finalize().into();
    let mut out = [0; N];
    out.copy_from_slice(&hash[..N]);
    out
}
