//! Digests of several parts.

use sha2::Digest;
use sha2::Sha256;

/// The first `N` bytes of the SHA-256 digest of several parts, at most 32.
///
/// Callers choose what is hashed, so the hash is one for which nobody finds two texts that share it.
///
/// # Examples
///
/// ```
/// use kernel::digest;
///
/// // The length of each part counts.
/// assert_ne!(digest::<16>(&[b"ab", b"c"]), digest::<16>(&[b"a", b"bc"]));
/// ```
pub fn digest<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut sha = Sha256::new();
    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    let hash: [u8; 32] = sha.finalize().into();
    let mut out = [0; N];
    out.copy_from_slice(&hash[..N]);
    out
}
