//! Lines of the audit trail, which records every change with its origin.

/// Writes one line to the audit trail: `message` describes the change, `before` and `after` are the
/// values of `subject`, and `rev` is the revision on the platform.
pub fn log_change(
    instance: &str,
    message: &str,
    subject: &str,
    before: &str,
    after: &str,
    rev: i64,
) {
    log::info!(
        target: logs::AUDIT_TARGET,
        instance = instance,
        subject = subject,
        before = before,
        after = after,
        revision = rev;
        "{message}"
    );
}
