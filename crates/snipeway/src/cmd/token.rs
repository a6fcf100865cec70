//! `snipeway token`.

use contract::TokenDigest;
use rand::RngCore;

/// Size of a token before it is hex-encoded, in bytes.
const TOKEN_BYTES: usize = 24;

/// Generates a bearer token, and prints it and the line for its contract.
pub(crate) fn run() -> eyre::Result<()> {
    let mut bytes = [0; TOKEN_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let token = hex::encode(bytes);
    args::print_line!("token, for the customer: {token}");
    args::print_line!("token-sha256 = {}", TokenDigest::of(&token));
    Ok(())
}
