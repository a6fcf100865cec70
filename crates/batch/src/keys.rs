//! The keys under which steps are kept at the platform.

/// The heads of all steps.
pub const HEADS_PREFIX: &str = "snipeway/head/";

/// Longest name of a step that can be part of a key, in bytes: platforms take keys of 200.
const LONGEST: usize = 100;

/// Tells whether a step's name can be part of a key.
///
/// # Examples
///
/// ```
/// assert!(batch::keys::is_valid_name("7c41e09b52d6a3f8"));
/// assert!(!batch::keys::is_valid_name("../a"));
/// ```
pub fn is_valid_name(step: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !step.is_empty() && step.len() <= LONGEST && step.bytes().all(plain)
}

/// The key of a step's head.
pub fn head(step: &str) -> String {
    format!("{HEADS_PREFIX}{step}")
}

/// The step whose head has a key.
pub fn step_of_head(key: &str) -> Option<&str> {
    key.strip_prefix(HEADS_PREFIX)
}

/// The key that says that a step has ended.
pub fn end(step: &str) -> String {
    format!("snipeway/end/{step}")
}

/// The prefix of the parts of a step's samples.
pub fn spec_prefix(step: &str) -> String {
    format!("snipeway/spec/{step}/")
}

/// The key of one part of a step's samples.
pub fn part(step: &str, part: usize) -> String {
    format!("snipeway/spec/{step}/{part:04}")
}

/// The prefix of a step's results.
pub fn segments_prefix(step: &str) -> String {
    format!("snipeway/result/{step}/")
}

/// The key of the segment of a step's results that begins at a position, so that a reader finds the
/// results from any position on without those before it.
pub fn segment(step: &str, first: u32) -> String {
    format!("snipeway/result/{step}/{first:06}")
}

/// The position at which the segment of a step's results begins that has a key.
///
/// # Examples
///
/// ```
/// use batch::keys;
///
/// assert_eq!(keys::segment_start("job", &keys::segment("job", 41)), Some(41));
/// assert_eq!(keys::segment_start("job", &keys::head("job")), None);
/// ```
pub fn segment_start(step: &str, key: &str) -> Option<u32> {
    key.strip_prefix(&segments_prefix(step))?.parse().ok()
}

/// The prefix of what is kept of samples that are not whole yet.
pub fn drafts_prefix(step: &str) -> String {
    format!("snipeway/draft/{step}/")
}

/// The key of what is kept of such samples with one segment.
pub fn draft(step: &str, seq: u32) -> String {
    format!("snipeway/draft/{step}/{seq:06}")
}

/// The number of the segment with which something was kept that has a key.
pub fn draft_seq(step: &str, key: &str) -> Option<u32> {
    key.strip_prefix(&drafts_prefix(step))?.parse().ok()
}
