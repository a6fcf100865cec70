//! Contracts of the customers of a rig.

use contract::TokenDigest;

/// Returns the text of a contract for the model `fitting` and the service `portal`, whose orders are non-idempotent.
///
/// The customer's bearer token is that of [`token`]. The lines of `extra` are appended and replace the default lines
/// with the same key.
pub fn text(customer: &str, extra: &str) -> String {
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
        let is_given = extra.lines().any(|line| line.starts_with(key));
        if !is_given {
            text += &format!("{key} = {value}\n");
        }
    }
    text + extra
}

/// Returns the bearer token of a customer: `token-` followed by the customer's name.
pub fn token(customer: &str) -> String {
    format!("token-{customer}")
}
