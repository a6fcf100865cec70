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
    let hash: [u8; 32] = hasher.finalize().into();
    let mut out = [0; N];
    out.copy_from_slice(&hash[..N]);
    out
}
