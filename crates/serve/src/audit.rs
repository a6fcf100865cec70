//! The audit trail's lines: who or what changed something.

/// Writes a line of the audit trail.
pub fn log_change(instance: &str, what: &str, subject: &str, before: &str, after: &str, rev: i64) {
    log::info!(
        target: logs::AUDIT_TARGET,
        instance = instance,
        subject = subject,
        before = before,
        after = after,
        revision = rev;
        "{what}"
    );
}
