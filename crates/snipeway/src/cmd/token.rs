//! `snipeway token`.

use contract::TokenDigest;
use rand::RngCore;

/// Bytes of a token.
const BYTES: usize = 24;

/// Makes a bearer token, and prints it with the line that its contract needs.
pub(crate) fn run() -> eyre::Result<()> {
    let mut bytes = [0; BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let token = hex::encode(bytes);
    args::print_line!("token, for the customer: {token}");
    args::print_line!("token-sha256 = {}", TokenDigest::of(&token));
    Ok(())
}
