//! Contracts for fleets of stand-ins.

use contract::TokenDigest;

/// Writes a contract for the model `fitting` and the service `portal`, whose orders are marked as
/// non-idempotent. The token is `token-` and the customer; `more` adds lines.
pub fn text(customer: &str, more: &str) -> String {
    let token = TokenDigest::of(&token(customer));
    let mut text = format!(
        "[contract]\ncustomer = {customer}\ntoken-sha256 = {token}\nmodels = fitting\n\
         services = portal\nonce = portal:POST:/orders\n"
    );
    let defaults = [
        ("rate", "1000"),
        ("concurrency", "512"),
        ("tokens", "1000000"),
        ("deadline", "5s"),
    ];
    for (key, value) in defaults {
        let given = more.lines().any(|line| line.starts_with(key));
        if !given {
            text += &format!("{key} = {value}\n");
        }
    }
    text + more
}

/// The bearer token of a customer of [`text`].
pub fn token(customer: &str) -> String {
    format!("token-{customer}")
}
