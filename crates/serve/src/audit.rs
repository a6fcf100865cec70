//! The audit trail's lines: who or what changed something.

/// Writes a line of the audit trail.
pub fn line(instance: &str, what: &str, subject: &str, before: &str, after: &str, rev: i64) {
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
